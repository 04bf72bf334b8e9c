package gateway

import (
	"sync"

	"github.com/lacewingsaddle/lacewingsaddle/routetable"
)

// splitter distributes a route's requests to its services by weighted round robin,
// so that each service gets its share in any longer sequence of requests.
type splitter struct {
	mu     sync.Mutex
	routes map[string]*splitState
}

// splitState holds the current credit of each service of a route.
type splitState struct {
	split  []routetable.WeightedService
	credit []float64
}

func newSplitter() *splitter { return &splitter{routes: map[string]*splitState{}} }

// pick returns the service for the next request of a route.
func (s *splitter) pick(r *routetable.Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.routes[r.Name]
	if d == nil || !sameSplit(d.split, r.Split) {
		d = &splitState{split: r.Split, credit: make([]float64, len(r.Split))}
		s.routes[r.Name] = d
	}
	return r.Split[d.next()].Service
}

// next adds its weight to each credit, and returns the index of the largest credit
// after subtracting the sum of the weights from it.
func (d *splitState) next() int {
	total, best := 0.0, 0
	for i, p := range d.split {
		d.credit[i] += p.Weight
		total += p.Weight
		if d.credit[i] > d.credit[best] {
			best = i
		}
	}
	d.credit[best] -= total
	return best
}

func sameSplit(a, b []routetable.WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
