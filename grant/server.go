package grant

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

// issuedGrant is a grant that a server may still hold.
type issuedGrant struct {
	epoch   uint64
	content *content
	until   ownership.Instant // no grant of the content under the epoch outlasts this
}

// server is the keeper's state of one backend server.
type server struct {
	service  string
	id       string
	address  string
	content  *content // the newest content to send
	epoch    uint64   // of content
	active   ownership.Offset
	revision uint64 // increases with each new content at the same active offset
	// confirmed is true once the server has accepted the full grant of content under
	// epoch.
	confirmed bool
	// unanswered is true after a message without an answer. The next message is then
	// never a full grant but a renewal that does not outlast the grants issued already:
	// a server that was paused reads its messages late, and a late renewal of an
	// expired grant has no effect.
	unanswered bool
	sending    bool
	notBefore  ownership.Instant // no message is sent before this
	until      ownership.Instant // the last accepted grant lasts at least until here
	issued     []issuedGrant
	// clock is the newest reading of the server's clock, nil if there is none.
	// clockless is true if the server's last answer reported no clock.
	clock     *clock
	clockless bool
}

// message is one grant or renewal to be sent.
type message struct {
	epoch   uint64
	content *content // nil for a renewal
	ttl     time.Duration
	// boot and end say when the grant ends by the server's own clock; boot is empty
	// while that clock is unknown.
	boot string
	end  int64 // milliseconds
}

const (
	// renewBelow is the remaining time at which a grant is renewed.
	renewBelow = 250 * time.Millisecond
	// minExtension is the least time by which a renewal must extend a grant.
	minExtension = 50 * time.Millisecond
	// refusalBackoff is the pause before the next message to a server that refused one.
	refusalBackoff = 100 * time.Millisecond
	// driftDivisor determines the safety margin for clock drift: one part in
	// driftDivisor of a grant's time is subtracted, because the server's clock may run
	// slower than this host's.
	driftDivisor = 50
)

// ttlOf returns the time to live of a grant sent at now. The grant ends by the end
// of the view lease even if it arrives only just before sendTimeout.
func ttlOf(now, lease ownership.Instant) time.Duration {
	left := lease - now - sendTimeout
	return (left - left/driftDivisor).Truncate(time.Millisecond)
}

// nextMessage returns the message that the server needs now, if any, and records it
// as issued. The caller holds the keeper's lock.
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
		// The renewal must not delay a failover, so it extends no grant that was issued.
		// Its answer reports the server's clock.
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

// issuedUntil returns until when the server may hold grants of the epoch.
func (s *server) issuedUntil(epoch uint64) ownership.Instant {
	var until ownership.Instant
	for _, g := range s.issued {
		if g.epoch == epoch {
			until = max(until, g.until)
		}
	}
	return until
}

// recordIssued records that the server may hold the present content until the given
// instant.
func (s *server) recordIssued(until ownership.Instant) {
	for i := range s.issued {
		if s.issued[i].epoch == s.epoch && s.issued[i].content == s.content {
			s.issued[i].until = max(s.issued[i].until, until)
			return
		}
	}
	s.issued = append(s.issued, issuedGrant{epoch: s.epoch, content: s.content, until: until})
}

// expire removes the issued grants that have ended.
func (s *server) expire(now ownership.Instant) {
	kept := s.issued[:0]
	for _, g := range s.issued {
		if g.until > now {
			kept = append(kept, g)
		}
	}
	s.issued = kept
}

// reply is the outcome of sending a message.
type reply int

const (
	noReply reply = iota
	accepted
	staleEpoch
	unknownEpoch
	refused // any other answer
)

// handleReply updates the server's state with the outcome of message m, sent at the
// given instant, and the clock that the answer reported.
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

// dropOlder removes the issued grants of older epochs: a server that has accepted a
// newer one no longer holds them and refuses their messages that are still in flight.
func (s *server) dropOlder() {
	kept := s.issued[:0]
	for _, g := range s.issued {
		if g.epoch >= s.epoch {
			kept = append(kept, g)
		}
	}
	s.issued = kept
}

// outstandingUntil returns until when the server may hold the shard, or a pinned
// key in it, under a token below the given one.
func (s *server) outstandingUntil(shard ownership.Shard, below ownership.Token) ownership.Instant {
	var until ownership.Instant
	for _, g := range s.issued {
		if g.content.grantsBelow(shard, below) {
			until = max(until, g.until)
		}
	}
	return until
}
