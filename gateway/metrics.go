package gateway

import (
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// samples is the number of values that a latency histogram keeps.
const samples = 256

// Metrics counts what became of requests.
type Metrics struct{ Registry metrics.Registry }

func newMetrics() *Metrics { return &Metrics{Registry: metrics.NewRegistry()} }

func (m *Metrics) count(name string) {
	metrics.GetOrRegisterCounter(name, m.Registry).Inc(1)
}

func (m *Metrics) answered(q *request, status int, took time.Duration) {
	m.count("answered." + q.service.Name + "." + strconv.Itoa(status))
	h := m.Registry.GetOrRegister("latency_ms."+q.service.Name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(samples))
	}).(metrics.Histogram)
	h.Update(took.Milliseconds())
}

func (m *Metrics) refused(q *request, status int, err error) {
	m.count("not_answered." + strconv.Itoa(status) + "." + string(fault.KindOf(err)))
}

func (m *Metrics) sendFailed(err error) { m.count("send_failed." + string(fault.KindOf(err))) }
