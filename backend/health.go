package backend

import (
	"math"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/detect"
)

const (
	latencyWeight   = 0.2 // weight of the newest answer in the moving average
	failuresToEject = 5   // consecutive failures
	baseEjection    = 2 * time.Second
	maxEjection     = 60 * time.Second
	slowStartFloor  = 0.1 // share of full weight at the start of a slow start
)

// Health is a backend server's health as observed on requests. It ignores health
// endpoints, which may be late or wrong. It is safe for concurrent use.
type Health struct {
	mu             sync.Mutex
	slowStart      time.Duration
	latency        float64 // moving average in seconds; 0 before the first answer
	failures       int     // consecutive
	ejections      int     // raised by each ejection, lowered by each answer
	ejectedUntil   time.Time
	slowStartBegan time.Time
}

// NewHealth returns the health of a server that has not been contacted yet.
func NewHealth(slowStart time.Duration) *Health {
	return &Health{slowStart: slowStart}
}

// Observe records the result of one contact. failuresToEject consecutive failures
// eject the server. The duration doubles with each ejection, up to maxEjection,
// and answers reduce it again.
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

// recordAnswer updates the moving average of the latency and shortens the next
// ejection.
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

// BeginSlowStart starts the slow start of a server that reported it is starting.
func (h *Health) BeginSlowStart(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slowStartBegan = now
}

// Ejected reports whether the server is excluded from Choose at now.
func (h *Health) Ejected(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.ejectedUntil)
}

// Cost returns the server's expected delay in seconds with a number of outstanding
// requests. During a slow start it is higher.
func (h *Health) Cost(now time.Time, outstanding int) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	latency := math.Max(h.latency, 1e-4)
	return float64(outstanding+1) * latency / h.weight(now)
}

// weight returns the server's share of its full weight; it rises linearly from
// slowStartFloor during a slow start.
func (h *Health) weight(now time.Time) float64 {
	if h.slowStartBegan.IsZero() || h.slowStart <= 0 {
		return 1
	}
	done := now.Sub(h.slowStartBegan).Seconds() / h.slowStart.Seconds()
	return min(1, max(slowStartFloor, done))
}
