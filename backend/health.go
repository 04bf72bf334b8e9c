package backend

import (
	"math"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/detect"
)

const (
	latencyWeight   = 0.2 // weight of the newest answer in the moving average
	failuresToEject = 5   // failures in a row
	baseEjection    = 2 * time.Second
	maxEjection     = 60 * time.Second
	slowStartFloor  = 0.1 // share of full weight at the start of a slow start
)

// Health is a backend server's health as seen from real traffic. It ignores
// health endpoints, which lag or mislead. It is safe for concurrent use.
type Health struct {
	mu             sync.Mutex
	slowStart      time.Duration
	latency        float64 // moving average in seconds; 0 before the first answer
	failures       int     // in a row
	ejections      int     // in a row
	ejectedUntil   time.Time
	slowStartBegan time.Time
}

// NewHealth returns the health of a server that was not contacted yet.
func NewHealth(slowStart time.Duration) *Health {
	return &Health{slowStart: slowStart}
}

// Observe takes in the result of one contact.
func (h *Health) Observe(now time.Time, result detect.Result, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if result == detect.Answered {
		h.recordAnswer(latency)
		return
	}
	h.failures++
	if h.failures < failuresToEject || now.Before(h.ejectedUntil) {
		return
	}
	d := baseEjection << min(h.ejections, 10)
	h.ejectedUntil = now.Add(min(d, maxEjection))
	h.slowStartBegan = h.ejectedUntil
	h.ejections++
	h.failures = 0
}

func (h *Health) recordAnswer(latency time.Duration) {
	h.failures = 0
	if h.ejections > 0 {
		h.ejections--
	}
	s := latency.Seconds()
	if h.latency == 0 {
		h.latency = s
		return
	}
	h.latency += latencyWeight * (s - h.latency)
}

// BeginSlowStart tells that the server said it is starting; its slow start begins.
func (h *Health) BeginSlowStart(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slowStartBegan = now
}

// Ejected reports whether the server is taken out of the choice at now.
func (h *Health) Ejected(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.ejectedUntil)
}

// Cost returns the server's expected delay in seconds with outstanding
// requests, raised during a slow start.
func (h *Health) Cost(now time.Time, outstanding int) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	latency := math.Max(h.latency, 1e-4)
	return float64(outstanding+1) * latency / h.weight(now)
}

func (h *Health) weight(now time.Time) float64 {
	if h.slowStartBegan.IsZero() || h.slowStart <= 0 {
		return 1
	}
	done := now.Sub(h.slowStartBegan).Seconds() / h.slowStart.Seconds()
	return min(1, max(slowStartFloor, done))
}
