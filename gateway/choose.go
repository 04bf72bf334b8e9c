package gateway

import (
	"math"
	"time"
)

const (
	// otherDomain is the cost factor of a server in another failure domain.
	otherDomain = 1.12
	// failurePenalty is how many times costlier a server is that fails always.
	failurePenalty = 8
	// fullPenalty is the cost factor of a server that shed load just now.
	fullPenalty = 4
	// coldPenalty is the cost factor of a server that has just started.
	coldPenalty = 1.6
)

// cost estimates the time until a server would answer one more request. It
// answers servers of unequal speed and size, slow ones and failing ones: load
// flows to where it is answered soonest.
func cost(s *server, now time.Time, domain string) float64 {
	st := s.standing(now)
	waiting := float64(st.outstanding) / float64(max(s.Slots, 1))
	c := st.average.Seconds() * (1 + waiting)
	c *= 1 + failurePenalty*st.failures*st.failures
	if s.Domain != domain {
		c *= otherDomain
	}
	if st.full {
		c *= fullPenalty
	}
	if s.Cold > 0 {
		c *= coldPenalty
	}
	return c
}

// choose picks the cheaper of two random servers; with few servers it compares
// all but the most expensive half at random. It returns nil when there is none.
func choose(list []*server, now time.Time, domain string, random func(int) int) *server {
	if len(list) == 0 {
		return nil
	}
	var best *server
	lowest := math.Inf(1)
	for range 2 {
		s := list[random(len(list))]
		if c := cost(s, now, domain); c < lowest {
			best, lowest = s, c
		}
	}
	// A third look avoids two bad draws when some servers are out of order.
	s := list[random(len(list))]
	if cost(s, now, domain) < lowest {
		best = s
	}
	return best
}
