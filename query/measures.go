package query

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/lacewingsaddle/lacewingsaddle/control"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

// sampleInterval is the time between two samples of the view.
const sampleInterval = 250 * time.Millisecond

// ServiceMeasures holds the measures of one service in one failure domain of
// backend servers, as observed by one entry host since it started.
type ServiceMeasures struct {
	Service     string        `json:"service"`
	Domain      string        `json:"domain"`      // of the backend servers
	Imbalance   float64       `json:"imbalance"`   // shards of the server with the most, divided by the service's mean
	Churn       int64         `json:"churn"`       // shards that moved to its servers from another owner
	Unavailable time.Duration `json:"unavailable"` // shard-time without a usable owner, divided by the shards
}

// series identifies the measures of one service in one failure domain.
type series struct{ service, domain string }

// seriesMetrics holds the registered metrics of one series.
type seriesMetrics struct {
	imbalance   metrics.GaugeFloat64
	churn       metrics.Counter
	unavailable metrics.Counter // microseconds
}

// Measures samples imbalance, churn and unavailable time from the view and
// keeps them in a metrics registry. It is safe for concurrent use.
type Measures struct {
	registry metrics.Registry

	mu     sync.Mutex
	series map[series]*seriesMetrics
	owners map[string][]string // last owner of each shard, by service
}

// NewMeasures returns measures that register their metrics in r under the names
// imbalance, churn and unavailable_us, each followed by service and domain.
func NewMeasures(r metrics.Registry) *Measures {
	return &Measures{registry: r, series: map[series]*seriesMetrics{}, owners: map[string][]string{}}
}

// Run samples until ctx ends.
func (m *Measures) Run(ctx context.Context, c Control) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	last := c.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := c.Now()
			m.Sample(c.Snapshot(), now, now-last)
			last = now
		}
	}
}

// Sample updates the measures with the view of snap. since is the time since the
// last sample.
func (m *Measures) Sample(snap *control.Snapshot, now ownership.Instant, since time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, doc := range snap.Catalog.Services {
		sv := snap.View.Services[name]
		if sv == nil || len(sv.Routes) == 0 {
			continue
		}
		domains := map[string]string{}
		for _, server := range doc.Value.Servers {
			domains[server.ID] = server.Domain
		}
		m.sampleService(name, sv, domains, snap.View.MayRoute(now), since)
	}
}

func (m *Measures) sampleService(name string, sv *ownership.ServiceView, domains map[string]string, mayRoute bool, since time.Duration) {
	last := m.owners[name]
	if len(last) != len(sv.Routes) {
		last = make([]string, len(sv.Routes))
		m.owners[name] = last
	}
	owned := map[string]int{}
	unserved := map[string]int{}
	for i, route := range sv.Routes {
		if route.Server != "" && route.Server != last[i] {
			if last[i] != "" {
				m.metricsFor(name, domainOf(domains, route.Server)).churn.Inc(1)
			}
			last[i] = route.Server
		}
		owned[last[i]]++
		if !mayRoute || route.Held || route.Server == "" {
			unserved[domainOf(domains, last[i])]++
		}
	}
	for domain, n := range unserved {
		us := since.Microseconds() * int64(n) / int64(len(sv.Routes))
		m.metricsFor(name, domain).unavailable.Inc(us)
	}
	m.updateImbalance(name, owned, domains, len(sv.Routes))
}

// noDomain stands for servers that the service does not declare, and for
// shards that never had an owner.
const noDomain = "none"

func domainOf(domains map[string]string, server string) string {
	if d, ok := domains[server]; ok {
		return d
	}
	return noDomain
}

func (m *Measures) updateImbalance(name string, owned map[string]int, domains map[string]string, shards int) {
	if len(domains) == 0 {
		return
	}
	mean := float64(shards) / float64(len(domains))
	mostShards := map[string]int{}
	for server, domain := range domains {
		mostShards[domain] = max(mostShards[domain], owned[server])
	}
	for domain, n := range mostShards {
		m.metricsFor(name, domain).imbalance.Update(float64(n) / mean)
	}
}

func (m *Measures) metricsFor(service, domain string) *seriesMetrics {
	key := series{service, domain}
	if s, ok := m.series[key]; ok {
		return s
	}
	suffix := "." + service + "." + domain
	s := &seriesMetrics{
		imbalance:   metrics.NewRegisteredGaugeFloat64("imbalance"+suffix, m.registry),
		churn:       metrics.NewRegisteredCounter("churn"+suffix, m.registry),
		unavailable: metrics.NewRegisteredCounter("unavailable_us"+suffix, m.registry),
	}
	m.series[key] = s
	return s
}

// All returns every series by service and domain.
func (m *Measures) All() []ServiceMeasures {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]ServiceMeasures, 0, len(m.series))
	for key, s := range m.series {
		out = append(out, ServiceMeasures{
			Service: key.service, Domain: key.domain,
			Imbalance: s.imbalance.Value(), Churn: s.churn.Count(),
			Unavailable: time.Duration(s.unavailable.Count()) * time.Microsecond,
		})
	}
	slices.SortFunc(out, func(a, b ServiceMeasures) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain))
	})
	return out
}
