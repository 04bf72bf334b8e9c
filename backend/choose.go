package backend

import (
	"math/rand/v2"
	"time"
)

const (
	maxEjectedShare = 1.0 / 3 // largest share of a service's servers that may be ejected
	remotePenalty   = 1.5     // cost factor of servers in other failure domains
)

// Choose picks a server of a service without keys by the power of two choices:
// the one of two random candidates with the lower cost. The cost grows with
// outstanding requests and observed latency, and is higher outside the given
// failure domain. rnd returns a random number below n; nil means rand.IntN.
// Choose returns nil when servers is empty.
func Choose(now time.Time, servers []*Server, domain string, rnd func(n int) int) *Server {
	if len(servers) == 0 {
		return nil
	}
	if rnd == nil {
		rnd = rand.IntN
	}
	candidates := healthy(now, servers)
	a := candidates[rnd(len(candidates))]
	b := candidates[rnd(len(candidates))]
	if cost(now, b, domain) < cost(now, a, domain) {
		return b
	}
	return a
}

// healthy returns the servers that are not ejected, or all servers when more than
// maxEjectedShare are ejected, so that a general failure ejects none.
func healthy(now time.Time, servers []*Server) []*Server {
	ejected := 0
	for _, s := range servers {
		if s.Health.Ejected(now) {
			ejected++
		}
	}
	if ejected == 0 || float64(ejected) > maxEjectedShare*float64(len(servers)) {
		return servers
	}
	out := make([]*Server, 0, len(servers)-ejected)
	for _, s := range servers {
		if !s.Health.Ejected(now) {
			out = append(out, s)
		}
	}
	return out
}

// cost returns the cost of s for requests from a failure domain.
func cost(now time.Time, s *Server, domain string) float64 {
	used, queued := s.Limiter.Outstanding()
	c := s.Health.Cost(now, used+queued)
	if s.Spec.Domain != domain {
		c *= remotePenalty
	}
	return c
}
