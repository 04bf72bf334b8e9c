package grant

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

// issuedGrant is a content that a server may hold a grant for.
type issuedGrant struct {
	epoch   uint64
	content *content
	until   ownership.Instant // no grant of it outlasts this
}

// server is what the keeper knows of one backend server.
type server struct {
	service  string
	id       string
	address  string
	content  *content // the newest content sent
	epoch    uint64   // its epoch
	active   ownership.Offset
	revision uint64 // rises with each content on the same active offset
	// confirmed is true once the server has taken content whole under epoch.
	confirmed bool
	// unanswered is true after a message without an answer. The next one is then a
	// renewal for no longer than what was given already, never a whole body: a
	// server that was paused reads late what it was sent, and a late renewal of
	// an ended grant has no effect.
	unanswered bool
	sending    bool
	notBefore  ownership.Instant // nothing is sent before this
	until      ownership.Instant // the server's grant lasts until here at least
	issued     []issuedGrant
	// clock is the newest reading of the server's clock. Clockless servers told none.
	clock     *clock
	clockless bool
}

// message is one grant on its way.
type message struct {
	epoch   uint64
	content *content // nil for a renewal
	ttl     time.Duration
	// boot and end say when the grant ends by the server's own clock; boot is empty
	// while that is not known.
	boot string
	end  int64 // milliseconds
}

const (
	// renewBelow is the remaining time of a grant at which it is renewed.
	renewBelow = 250 * time.Millisecond
	// minExtension is the least time by which a renewal must extend a grant.
	minExtension = 50 * time.Millisecond
	// refusalBackoff is the time between messages to a server that refuses them.
	refusalBackoff = 100 * time.Millisecond
	// driftDivisor is the part of a grant's time that is left out, because the
	// server's clock may run slower than this host's: one in driftDivisor.
	driftDivisor = 50
)

// ttlOf returns the time to live of a grant sent at now: it has ended by the end
// of the view lease even when it takes the whole time-out to arrive.
func ttlOf(now, lease ownership.Instant) time.Duration {
	left := lease - now - sendTimeout
	return (left - left/driftDivisor).Truncate(time.Millisecond)
}

// nextMessage returns the message that the server needs now, if any, and registers it
// as given. The caller holds the keeper's lock.
func (s *server) nextMessage(now, lease ownership.Instant, want *content, epoch func(s *server) uint64) (message, bool) {
	s.expire(now)
	ttl := ttlOf(now, lease)
	if s.sending || ttl <= 0 || now < s.notBefore {
		return message{}, false
	}
	if s.content == nil || !s.content.equal(want) {
		s.content, s.confirmed = want, false
		s.epoch = epoch(s)
	}
	if s.confirmed && (s.until-now > renewBelow || now+ttl < s.until+minExtension) {
		return message{}, false
	}
	m := message{epoch: s.epoch, ttl: ttl}
	if s.unanswered || !s.confirmed && s.clockUnknown() {
		// It must not hold up a failover, so it extends nothing already given. The
		// answer tells the server's clock.
		m.ttl = min(ttl, max(ttlOf(now, s.issuedUntil(s.epoch)), 0))
		s.sending = true
		return m, true
	}
	if s.clock != nil {
		m.boot, m.end = s.clock.boot, s.clock.endOf(now+ttl)
	}
	if !s.confirmed {
		m.content = s.content
	}
	s.recordIssued(lease)
	s.sending = true
	return m, true
}

// issuedUntil returns until when contents under the epoch may be granted.
func (s *server) issuedUntil(epoch uint64) ownership.Instant {
	var until ownership.Instant
	for _, g := range s.issued {
		if g.epoch == epoch {
			until = max(until, g.until)
		}
	}
	return until
}

// recordIssued registers that the present content may be granted until the given instant.
func (s *server) recordIssued(until ownership.Instant) {
	for i := range s.issued {
		if s.issued[i].epoch == s.epoch && s.issued[i].content == s.content {
			s.issued[i].until = max(s.issued[i].until, until)
			return
		}
	}
	s.issued = append(s.issued, issuedGrant{epoch: s.epoch, content: s.content, until: until})
}

func (s *server) expire(now ownership.Instant) {
	kept := s.issued[:0]
	for _, g := range s.issued {
		if g.until > now {
			kept = append(kept, g)
		}
	}
	s.issued = kept
}

// reply is how a grant's message ended.
type reply int

const (
	noReply reply = iota
	accepted
	staleEpoch
	unknownEpoch
	refused // any other answer
)

// handleReply takes in the end of message m, sent at the given instant, and the clock that
// the answer told.
func (s *server) handleReply(now ownership.Instant, m message, sent ownership.Instant, r reply, c *clock) {
	s.sending = false
	s.unanswered = r == noReply
	if !s.unanswered {
		s.setClock(c)
	}
	if m.epoch != s.epoch {
		return
	}
	switch r {
	case accepted:
		s.confirmed = true
		s.until = sent + m.ttl
		s.dropOlder()
	case staleEpoch:
		s.confirmed = false
		s.notBefore = now + refusalBackoff
		s.revision = 2*s.revision + 1
		s.epoch = 0
		s.content = nil
	case unknownEpoch:
		s.confirmed = false
	case refused:
		s.confirmed = false
		s.notBefore = now + refusalBackoff
	}
}

// dropOlder forgets older contents: a server that has taken a newer one holds
// them no more and refuses their messages that are still on their way.
func (s *server) dropOlder() {
	kept := s.issued[:0]
	for _, g := range s.issued {
		if g.epoch >= s.epoch {
			kept = append(kept, g)
		}
	}
	s.issued = kept
}

// heldUntil returns until when the shard may be granted below the token.
func (s *server) heldUntil(shard ownership.Shard, below ownership.Token) ownership.Instant {
	var until ownership.Instant
	for _, g := range s.issued {
		if g.content.grantsBelow(shard, below) {
			until = max(until, g.until)
		}
	}
	return until
}
