package gateway

import (
	"math"
	"time"
)

const (
	// crossDomainFactor is the cost factor of a server in another failure domain, with
	// otherDomainByte added for each byte of the request's body: links between
	// failure domains are costly.
	crossDomainFactor  = 1.12
	crossDomainPerByte = 1.0 / (60 << 10)
	// failurePenalty is how many times costlier a server is that fails always.
	failurePenalty = 8
	// sheddingPenalty is the cost factor of a server that shed load just now.
	sheddingPenalty = 4
	// candidates is the number of servers that are compared for one request.
	candidates = 4
	// coldPenalty is the cost factor of a server that has just started.
	coldPenalty = 1.6
)

// origin is where a request comes from and how long its body is.
type origin struct {
	domain string
	bytes  int64
}

// cost estimates the time until a server would answer one more request. It
// answers servers of unequal speed and size, slow ones and failing ones: load
// flows to where it is answered soonest.
func cost(s *server, now time.Time, from origin) float64 {
	st := s.stats(now)
	waiting := float64(st.outstanding) / float64(max(s.Slots, 1))
	c := st.average.Seconds() * (1 + waiting)
	c *= 1 + failurePenalty*st.failures*st.failures
	if s.Domain != from.domain {
		c *= crossDomainFactor + crossDomainPerByte*float64(max(from.bytes, 0))
	}
	if st.shedding {
		c *= sheddingPenalty
	}
	if s.Cold > 0 {
		c *= coldPenalty
	}
	return c
}

// choose picks the cheapest of a few random servers, so that hosts that know the
// same do not all go to one. It returns nil when there is none.
func choose(list []*server, now time.Time, from origin, random func(int) int) *server {
	if len(list) == 0 {
		return nil
	}
	var best *server
	lowest := math.Inf(1)
	for range candidates {
		s := list[random(len(list))]
		if c := cost(s, now, from); c < lowest {
			best, lowest = s, c
		}
	}
	return best
}
