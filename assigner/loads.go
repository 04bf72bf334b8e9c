package assigner

import (
	"math"
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

const (
	// loadMemory is the time constant with which load is forgotten.
	loadDecayTime = 2500 * time.Millisecond
	// decayEvery is the pause between decays of the counters.
	decayInterval = 250 * time.Millisecond
	// timesKept is the number of recent request times kept for each server.
	maxLatencies = 24
	// timesNeeded is the number of request times from which a speed is told.
	minLatencies = 6
	// speedQuantile is the quantile of request times that tells a server's
	// speed: low, since waiting in a queue lengthens the others.
	latencyQuantile = 0.3
	// minSpeed and maxSpeed bound a server's speed relative to the median.
	minSpeed = 0.15
	maxSpeed = 2.5
)

// keyLoads counts the requests for each key of a service, with decay.
type keyLoads struct {
	count [keyrange.KeyCount]float32
	total float64
}

// loads is what the assigner knows of load and speed.
type loads struct {
	services  map[string]*keyLoads
	latencies map[string][]int // recent request latencies in milliseconds, by server id
	addrs     map[keyrange.Holder]string
	decayed   Time
}

func newLoads() *loads {
	return &loads{
		services:  map[string]*keyLoads{},
		latencies: map[string][]int{},
		addrs:     map[keyrange.Holder]string{},
	}
}

// reset forgets the load that was seen under an earlier epoch.
func (l *loads) reset(now Time) {
	clear(l.services)
	clear(l.latencies)
	l.decayed = now
}

func (l *loads) rememberAddress(h keyrange.Holder, addr string) { l.addrs[h] = addr }

func (l *loads) address(h keyrange.Holder) string { return l.addrs[h] }

func (l *loads) forService(service string) *keyLoads {
	s := l.services[service]
	if s == nil {
		s = &keyLoads{}
		l.services[service] = s
	}
	return s
}

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

// speeds returns each server's speed relative to the median of those given; 1
// where too little is known.
func (l *loads) speeds(ids []string) map[string]float64 {
	typical := make(map[string]float64, len(ids))
	var all []float64
	for _, id := range ids {
		if q, ok := quantile(l.latencies[id], latencyQuantile); ok {
			typical[id] = q
			all = append(all, q)
		}
	}
	out := make(map[string]float64, len(ids))
	for _, id := range ids {
		out[id] = 1
	}
	if len(all) == 0 {
		return out
	}
	slices.Sort(all)
	median := all[len(all)/2]
	for id, q := range typical {
		out[id] = min(max(median/q, minSpeed), maxSpeed)
	}
	return out
}

func quantile(times []int, q float64) (float64, bool) {
	if len(times) < minLatencies {
		return 0, false
	}
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	return float64(max(sorted[int(q*float64(len(sorted)))], 1)), true
}
