package gateway

import (
	"math"
	"time"
)

const (
	// otherDomain is the cost factor of a server in another failure domain, with
	// otherDomainByte added for each byte of the request's body: links between
	// failure domains are costly.
	otherDomain     = 1.12
	otherDomainByte = 1.0 / (60 << 10)
	// failurePenalty is how many times costlier a server is that fails always.
	failurePenalty = 8
	// fullPenalty is the cost factor of a server that shed load just now.
	fullPenalty = 4
	// looks is the number of servers that are compared for one request.
	looks = 4
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
	st := s.standing(now)
	waiting := float64(st.outstanding) / float64(max(s.Slots, 1))
	c := st.average.Seconds() * (1 + waiting)
	c *= 1 + failurePenalty*st.failures*st.failures
	if s.Domain != from.domain {
		c *= otherDomain + otherDomainByte*float64(max(from.bytes, 0))
	}
	if st.full {
		c *= fullPenalty
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
	for range looks {
		s := list[random(len(list))]
		if c := cost(s, now, from); c < lowest {
			best, lowest = s, c
		}
	}
	return best
}
