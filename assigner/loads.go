package assigner

import (
	"math"
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

const (
	// loadDecayTime is the time constant of the exponential decay of load counts.
	loadDecayTime = 2500 * time.Millisecond
	// decayInterval is the interval between decays of the counts.
	decayInterval = 250 * time.Millisecond
	// maxLatencies is the number of recent request latencies kept for each server.
	maxLatencies = 24
	// minLatencies is the number of latencies needed to estimate a server's speed.
	minLatencies = 6
	// latencyQuantile is the quantile of the latencies that is taken as a measure of
	// a server's speed. It is low because queueing lengthens the others.
	latencyQuantile = 0.3
	// minSpeed and maxSpeed bound a server's speed relative to the median.
	minSpeed = 0.15
	maxSpeed = 2.5
)

// keyLoads holds the decaying request count of each key of a service.
type keyLoads struct {
	count [keyrange.KeyCount]float32
	total float64
}

// loads holds the load and the latencies that hosts have reported, and the last known
// addresses of servers.
type loads struct {
	services  map[string]*keyLoads
	latencies map[string][]int // recent request latencies in milliseconds, by server id
	addrs     map[keyrange.Holder]string
	decayed   Time // when the counts were last decayed
}

func newLoads() *loads {
	return &loads{
		services:  map[string]*keyLoads{},
		latencies: map[string][]int{},
		addrs:     map[keyrange.Holder]string{},
	}
}

// reset discards the load that was reported under an earlier epoch.
func (l *loads) reset(now Time) {
	clear(l.services)
	clear(l.latencies)
	l.decayed = now
}

// rememberAddress records the last known address of a server.
func (l *loads) rememberAddress(h keyrange.Holder, addr string) { l.addrs[h] = addr }

// address returns the last known address of a server, or "".
func (l *loads) address(h keyrange.Holder) string { return l.addrs[h] }

// forService returns the load of a service's keys.
func (l *loads) forService(service string) *keyLoads {
	s := l.services[service]
	if s == nil {
		s = &keyLoads{}
		l.services[service] = s
	}
	return s
}

// add adds the load and the latencies of a report.
func (l *loads) add(now Time, r Report) {
	l.decay(now)
	for _, k := range r.Keys {
		s := l.forService(k.Service)
		s.count[k.Key] += float32(k.Count)
		s.total += float64(k.Count)
	}
	for _, t := range r.Latencies {
		kept := append(l.latencies[t.ID], t.Millis)
		if len(kept) > maxLatencies {
			kept = kept[len(kept)-maxLatencies:]
		}
		l.latencies[t.ID] = kept
	}
}

// decay reduces every count with its age, once per decayInterval.
func (l *loads) decay(now Time) {
	if now-l.decayed < decayInterval {
		return
	}
	f := float32(math.Exp(-float64(now-l.decayed) / float64(loadDecayTime)))
	l.decayed = now
	for _, s := range l.services {
		s.total *= float64(f)
		for i := range s.count {
			if s.count[i] != 0 {
				s.count[i] *= f
			}
		}
	}
}

// typicalMillis returns the typical latency of each server in milliseconds, where enough
// are known, and their median, or 0 if there is none.
func (l *loads) typicalMillis(ids []string) (typical map[string]float64, median float64) {
	typical = make(map[string]float64, len(ids))
	var all []float64
	for _, id := range ids {
		if q, ok := quantile(l.latencies[id], latencyQuantile); ok {
			typical[id] = q
			all = append(all, q)
		}
	}
	if len(all) == 0 {
		return typical, 0
	}
	slices.Sort(all)
	return typical, all[len(all)/2]
}

// speeds returns each server's speed relative to the median of those given, or 1
// where there are too few latencies.
func (l *loads) speeds(ids []string) map[string]float64 {
	typical, median := l.typicalMillis(ids)
	out := make(map[string]float64, len(ids))
	for _, id := range ids {
		out[id] = 1
	}
	for id, q := range typical {
		out[id] = min(max(median/q, minSpeed), maxSpeed)
	}
	return out
}

// quantile returns a quantile of latencies in milliseconds. ok is false if there are too
// few.
func quantile(times []int, q float64) (millis float64, ok bool) {
	if len(times) < minLatencies {
		return 0, false
	}
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	return float64(max(sorted[int(q*float64(len(sorted)))], 1)), true
}
