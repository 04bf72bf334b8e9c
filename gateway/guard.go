package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/eligibility"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
	"github.com/lacewingsaddle/lacewingsaddle/upstream"
)

// ineligible is the error of a request that must not be sent to a server now. The request
// was not sent and is placed anew.
type ineligible struct {
	server  string
	verdict eligibility.Verdict
}

// Error implements error.
func (e *ineligible) Error() string {
	return fmt.Sprintf("backend server %s is %s", e.server, e.verdict.Standing)
}

// guard is the guard of one server's connections.
type guard struct {
	gateway *Gateway
	holder  keyrange.Holder
}

// Check implements upstream.Guard.
func (u guard) Check(r *upstream.Request) error {
	v := u.gateway.standings.check(u.holder, eligibility.Request{Keyed: r.Keyed, Retry: r.Retry})
	if v.Allowed() {
		return nil
	}
	u.gateway.Metrics.count("withheld." + string(v.Standing))
	return &ineligible{u.holder.ID, v}
}

// Answered implements upstream.Guard.
func (u guard) Answered(status int, header http.Header) { u.gateway.observe(u.holder, status, header) }

// KeepsIdle implements upstream.Guard.
func (u guard) KeepsIdle() bool { return !u.gateway.standings.isLeaving(u.holder) }

// checkServer decides whether q may be sent to h now.
func (g *Gateway) checkServer(q *request, h keyrange.Holder) eligibility.Verdict {
	return g.standings.check(h, eligibility.Request{Keyed: q.keyed, Retry: q.delivered})
}

// ineligibleError returns an *ineligible error if q must not be sent to s now, else nil.
func (g *Gateway) ineligibleError(q *request, s *server) error {
	if v := g.checkServer(q, s.Holder); !v.Allowed() {
		return &ineligible{s.Holder.ID, v}
	}
	return nil
}

// ownerFullError refuses a request whose key's owner is full.
func ownerFullError(s *server, v eligibility.Verdict) *fault.Error {
	e := fault.Wrap(fault.NotAccepted, &ineligible{s.Holder.ID, v}, "the key's owner asked for a pause")
	e.RetryAfter = pauseLeft(v.Until)
	return e
}

// allFullError refuses a request that only full servers could run.
func allFullError(until time.Time) *fault.Error {
	e := fault.New(fault.NotAccepted, "every backend server of the service is full and asked for a pause")
	e.RetryAfter = pauseLeft(until)
	return e
}

// refusedFor returns the id of the server for whose sake err refuses a request, or "".
func refusedFor(err error) string {
	var e *ineligible
	if errors.As(err, &e) {
		return e.server
	}
	return ""
}

// pauseLeft is the time until the end of a pause, rounded up to a full millisecond as
// Retry-After has no finer unit.
func pauseLeft(until time.Time) time.Duration {
	return max(time.Until(until), 0).Truncate(time.Millisecond) + time.Millisecond
}

// ownerPause returns what is left of the pause of a key's owner. It is 0 for requests
// without a key, which other servers can run.
func (g *Gateway) ownerPause(q *request, s *server) time.Duration {
	if !q.keyed {
		return 0
	}
	if r := rangeOf(q, g.control.View()); r != nil && r.Owner != s.Holder {
		return 0 // the key is moving, or has moved
	}
	if v := g.checkServer(q, s.Holder); v.Standing == eligibility.Full {
		return pauseLeft(v.Until)
	}
	return 0
}

// withPause returns err with a Retry-After that is no shorter than the pause of the key's
// owner.
func (g *Gateway) withPause(q *request, s *server, err error) error {
	left := g.ownerPause(q, s)
	if left == 0 {
		return err
	}
	e := fault.Wrap(fault.KindOf(err), err, "the key's owner is full and asked for a pause")
	e.RetryAfter = left
	return e
}
