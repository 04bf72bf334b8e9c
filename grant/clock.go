package grant

import "github.com/lacewingsaddle/lacewingsaddle/ownership"

// clock is a reading of a backend server's own clock, taken from its last answer. A
// grant whose end is given on that clock is not extended if the server is paused
// between the grant's arrival and the moment at which the server reads it.
type clock struct {
	boot   string // identifies the server's process, whose clock this is
	millis int64
	at     ownership.Instant // when the reading arrived, on this host's clock
}

// endOf converts until to the server's clock. The result is not after until even if
// the server's clock runs slower than this host's, by up to one part in driftDivisor.
func (c *clock) endOf(until ownership.Instant) int64 {
	left := until - c.at
	return c.millis + (left - left/driftDivisor).Milliseconds()
}

// setClock stores the clock reading of an answer, nil if the answer had none.
func (s *server) setClock(c *clock) {
	s.clock = c
	s.clockless = c == nil
}

// clockUnknown reports whether the server has not answered yet, so that it is unknown
// whether it reports its clock.
func (s *server) clockUnknown() bool { return s.clock == nil && !s.clockless }
