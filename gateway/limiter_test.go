package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// closingServer is a backend server that closes the connection of every request for which
// it has neither a slot nor room in its queue.
type closingServer struct {
	slots, queue int
	service      time.Duration
	busyUntil    []time.Duration // when each slot's last request ends
	ends         []time.Duration // when the requests in slots and queue end
}

// take accepts a request and returns its response time, or reports that it closed the
// connection.
func (s *closingServer) take(now time.Duration) (took time.Duration, closed bool) {
	present := s.ends[:0]
	for _, end := range s.ends {
		if end > now {
			present = append(present, end)
		}
	}
	s.ends = present
	if len(s.ends) >= s.slots+s.queue {
		return 0, true
	}
	first := 0
	for i := range s.busyUntil {
		if s.busyUntil[i] < s.busyUntil[first] {
			first = i
		}
	}
	end := max(s.busyUntil[first], now) + s.service
	s.busyUntil[first] = end
	s.ends = append(s.ends, end)
	return end - now, false
}

// sent is a request in flight at one host.
type sent struct {
	end  time.Duration
	took time.Duration
	err  error
}

// Replays eight hosts that together send four times what a server can serve, which
// closes the connections of what exceeds its queue. The hosts learn its room from that:
// in the second half of the time it closes less than a tenth of what they send.
func TestHostsLearnTheRoomOfAServerThatClosesConnections(t *testing.T) {
	const (
		hosts   = 8
		ceiling = 12
		step    = 5 * time.Millisecond
		length  = 8 * time.Second
		target  = 600 * time.Millisecond
		// reset is the time from a request to the close of its connection.
		reset     = 10 * time.Millisecond
		perSecond = 80
	)
	server := closingServer{slots: 4, queue: 16, service: 200 * time.Millisecond}
	server.busyUntil = make([]time.Duration, server.slots)
	rng := rand.New(rand.NewPCG(7, 1))
	limiters := make([]*limiter, hosts)
	for i := range limiters {
		limiters[i] = newLimiter(ceiling)
	}
	inFlight := make([][]sent, hosts)
	total, closed := 0, 0
	for now := time.Duration(0); now < length; now += step {
		for i, l := range limiters {
			inFlight[i] = releaseEnded(l, inFlight[i], now, target)
			if rng.Float64() >= perSecond*step.Seconds()/hosts || l.acquire(t.Context(), 0, 0, alwaysEligible) != nil {
				continue
			}
			took, dropped := server.take(now)
			s := sent{end: now + took, took: took}
			if dropped {
				s = sent{end: now + reset, took: reset, err: fault.New(fault.AnswerCut, "the connection was closed")}
			}
			inFlight[i] = append(inFlight[i], s)
			if now >= length/2 {
				total++
				closed += boolToInt(dropped)
			}
		}
	}
	t.Logf("%d of %d closed", closed, total)
	require.Positive(t, total)
	require.Less(t, float64(closed), 0.1*float64(total))
}

// releaseEnded releases the requests that have ended, and returns the others.
func releaseEnded(l *limiter, list []sent, now, target time.Duration) []sent {
	var left []sent
	for _, s := range list {
		if s.end > now {
			left = append(left, s)
			continue
		}
		l.release(s.took, target, s.err)
	}
	return left
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
