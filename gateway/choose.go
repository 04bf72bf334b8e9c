package gateway

import (
	"math"
	"time"
)

const (
	// crossDomainFactor is the cost factor of a server in another failure domain;
	// crossDomainPerByte is added to it for each byte of the request's body, as
	// links between failure domains are expensive.
	crossDomainFactor  = 1.12
	crossDomainPerByte = 1.0 / (60 << 10)
	// failurePenalty weights the square of the failure rate: a server that always
	// fails costs 1+failurePenalty times as much.
	failurePenalty = 8
	// sheddingPenalty is the cost factor of a server that shed load recently.
	sheddingPenalty = 4
	// candidates is the number of random servers that are compared for one request.
	candidates = 4
	// coldPenalty is the cost factor of a server that started recently.
	coldPenalty = 1.6
)

// origin is the failure domain that a request comes from and its body's length.
type origin struct {
	domain string
	bytes  int64
}

// cost estimates how long a server would take to answer one more request. It
// accounts for servers of unequal speed and size and for slow or failing ones, so
// that load goes to the servers that answer soonest.
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

// choose returns the cheapest of a few random servers, so that hosts with the same
// information do not all pick the same one. It returns nil for an empty list.
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
