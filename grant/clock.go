package grant

import "github.com/lacewingsaddle/lacewingsaddle/ownership"

// clock is a reading of a backend server's own clock, as its last answer told it.
// A grant that ends by it can not be made longer by a pause of the server between
// the grant's arrival and the moment at which the server reads it.
type clock struct {
	boot   string // names the run of the server's process that the clock belongs to
	millis int64
	at     ownership.Instant // when the reading had arrived here
}

// endOf returns a moment on the server's clock that does not lie after until, also
// when that clock runs slower than this host's.
func (c *clock) endOf(until ownership.Instant) int64 {
	left := until - c.at
	return c.millis + (left - left/driftDivisor).Milliseconds()
}

// setClock takes the clock that an answer told; nil when it told none.
func (s *server) setClock(c *clock) {
	s.clock = c
	s.clockless = c == nil
}

// clockUnknown reports whether the server has not been asked for its clock yet.
func (s *server) clockUnknown() bool { return s.clock == nil && !s.clockless }
