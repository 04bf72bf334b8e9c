package gateway

import (
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// histogramSize is the number of values that a histogram keeps.
	histogramSize = 256
	// histogramDecay is the decay rate of a histogram's sample; with this rate,
	// values lose their weight within about five minutes.
	histogramDecay = 0.015
)

// Metrics counts the outcomes of requests. docs/OPERATIONS.md lists the names.
type Metrics struct{ Registry metrics.Registry }

func newMetrics() *Metrics { return &Metrics{Registry: metrics.NewRegistry()} }

func (m *Metrics) count(name string) {
	metrics.GetOrRegisterCounter(name, m.Registry).Inc(1)
}

// observe adds a duration to a histogram in milliseconds.
func (m *Metrics) observe(name string, d time.Duration) {
	h := m.Registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSize, histogramDecay))
	}).(metrics.Histogram)
	h.Update(d.Milliseconds())
}

func (m *Metrics) answered(q *request, status int, took time.Duration) {
	m.count("answered." + q.service.Name + "." + strconv.Itoa(status))
	outcome := "in_time"
	if took > q.target() {
		outcome = "late"
	}
	m.observe("latency_ms."+q.service.Name+"."+q.route.Name+"."+outcome, took)
}

// observeQueueTime records how long a request waited for an owner and in its
// server's limiter before it was first sent.
func (m *Metrics) observeQueueTime(q *request, d time.Duration) {
	if q.sends == 1 {
		m.observe("queue_ms."+q.service.Name, d)
	}
}

func (m *Metrics) refused(status int, err error) {
	m.count("not_answered." + strconv.Itoa(status) + "." + string(fault.KindOf(err)))
}

func (m *Metrics) sendFailed(err error) { m.count("send_failed." + string(fault.KindOf(err))) }
