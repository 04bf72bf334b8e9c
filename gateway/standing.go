package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/eligibility"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
	"github.com/lacewingsaddle/lacewingsaddle/upstream"
)

const (
	// defaultDrain applies if the drain time is not configured.
	defaultDrain = 2 * time.Second
	// reportLeavingEvery is the interval at which the assigner is told again of a server
	// that leaves while the directory lists it as ready: the report may have been lost,
	// and another host may be the assigner now.
	reportLeavingEvery = 3 * time.Second
	// headerRetryAfter is the standard header by which a full server asks for a pause.
	headerRetryAfter = "Retry-After"
)

// standings holds the judgements on the backend servers, from the directory and from the
// servers' answers.
type standings struct {
	mu       sync.Mutex
	book     *eligibility.Book
	listed   *directory.Snapshot // applied to book last
	reported time.Time           // when the leaving servers were last reported again
}

func newStandings(drain time.Duration) *standings {
	if drain <= 0 {
		drain = defaultDrain
	}
	return &standings{book: eligibility.NewBook(drain)}
}

// check decides whether a request may be sent to h now.
func (s *standings) check(h keyrange.Holder, r eligibility.Request) eligibility.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Check(h, time.Now(), r)
}

// isLeaving reports whether h leaves.
func (s *standings) isLeaving(h keyrange.Holder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.IsLeaving(h)
}

func (s *standings) answered(h keyrange.Holder, a eligibility.Signal) []eligibility.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Answered(h, time.Now(), a)
}

func (s *standings) expire() []eligibility.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Expire(time.Now())
}

// follow returns the current view after it has applied its directory. Views are applied
// in their order.
func (s *standings) follow(control Control) (*cluster.View, []eligibility.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := control.View()
	if view.Servers == s.listed {
		return view, nil
	}
	s.listed = view.Servers
	return view, s.book.Listed(time.Now(), view.Servers)
}

// unnoticed returns the servers that said that they leave and are still listed as ready,
// if it is time to report them again.
func (s *standings) unnoticed(now time.Time) []keyrange.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listed == nil || now.Sub(s.reported) < reportLeavingEvery {
		return nil
	}
	s.reported = now
	var out []keyrange.Holder
	for _, h := range s.book.LeavingByAnswer() {
		if v := s.listed.Find(h.ID); v != nil && v.Holder == h && v.State == directory.Ready {
			out = append(out, h)
		}
	}
	return out
}

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

// view returns the current view. Its directory is part of the judgements.
func (g *Gateway) view() *cluster.View {
	v, changes := g.standings.follow(g.control)
	g.applyChanges(changes)
	return v
}

// checkServer decides whether q may be sent to h now.
func (g *Gateway) checkServer(q *request, h keyrange.Holder) eligibility.Verdict {
	return g.standings.check(h, eligibility.Request{Keyed: q.keyed, Retry: q.sends > 0})
}

// observe applies what the head of an answer says about its server.
//
// An answer that says that the server does not own the key counts as well. It may be from
// another process at the server's address, but then the server itself has ended.
func (g *Gateway) observe(h keyrange.Holder, status int, header http.Header) {
	leaving, err := eligibility.ParseLeaving(header.Values(g.cfg.Headers.Leaving))
	if err != nil {
		g.recordUnreadable(h, g.cfg.Headers.Leaving, err)
	}
	signal := eligibility.Signal{Leaving: leaving}
	if status == http.StatusServiceUnavailable {
		d, err := eligibility.ParseRetryAfter(header.Values(headerRetryAfter), header.Get("Date"), time.Now())
		if err != nil {
			g.recordUnreadable(h, headerRetryAfter, err)
		}
		signal.RetryAfter = d
	}
	if signal == (eligibility.Signal{}) {
		return
	}
	g.applyChanges(g.standings.answered(h, signal))
}

// applyChanges acts on changed judgements: it logs them, tells the assigner of those that
// it cannot know, and places the requests that wait for the server anew.
func (g *Gateway) applyChanges(changes []eligibility.Change) {
	for _, c := range changes {
		g.recordStanding(c)
		if c.Phase == eligibility.Ended {
			continue
		}
		g.reportStanding(c)
		if s := g.servers.find(c.Holder); s != nil {
			s.limiter.evict(&ineligible{c.Holder.ID, eligibility.Verdict{Standing: c.Standing, Until: c.Until}})
			if c.Standing == eligibility.Leaving {
				s.conns.Close()
			}
		}
	}
	if len(changes) > 0 {
		g.updateStandingGauges()
	}
}

// reportStanding tells the assigner of a judgement from an answer.
func (g *Gateway) reportStanding(c eligibility.Change) {
	switch {
	case c.Source != eligibility.FromAnswer:
	case c.Standing == eligibility.Leaving:
		g.control.AddLeaving(c.Holder)
	case c.Standing == eligibility.Full:
		g.control.AddFull(c.Holder, c.Until)
	}
}

// sweepStandings ends the judgements whose time is over, and reports again what may not
// have reached the assigner.
func (g *Gateway) sweepStandings() {
	g.view()
	g.applyChanges(g.standings.expire())
	for _, h := range g.standings.unnoticed(time.Now()) {
		g.control.AddLeaving(h)
	}
	g.updateStandingGauges()
}

func (g *Gateway) updateStandingGauges() {
	g.standings.mu.Lock()
	leaving, full := g.standings.book.Count(time.Now())
	g.standings.mu.Unlock()
	metrics.GetOrRegisterGauge("servers_leaving", g.Metrics.Registry).Update(int64(leaving))
	metrics.GetOrRegisterGauge("servers_full", g.Metrics.Registry).Update(int64(full))
}

// recordStanding logs and counts the begin or the end of a judgement.
func (g *Gateway) recordStanding(c eligibility.Change) {
	until := c.Until.UTC().Format(time.RFC3339Nano)
	switch c.Phase {
	case eligibility.Begun:
		g.Metrics.count("server_" + string(c.Standing) + "." + string(c.Source))
		g.writeEvent(event.StandingBegun{Server: c.Holder.ID, StartedMS: c.Holder.StartedMS, Standing: string(c.Standing), Source: string(c.Source), Until: until})
	case eligibility.Ended:
		g.writeEvent(event.StandingEnded{Server: c.Holder.ID, StartedMS: c.Holder.StartedMS, Standing: string(c.Standing), Source: string(c.Source), Until: until, AfterMS: event.Millis(time.Since(c.Since))})
	}
}

// recordUnreadable logs an unreadable header, once for each server.
func (g *Gateway) recordUnreadable(h keyrange.Holder, header string, err error) {
	g.Metrics.count("header_unreadable." + header)
	g.standings.mu.Lock()
	first := g.standings.book.ReportUnreadable(h)
	g.standings.mu.Unlock()
	if first {
		g.writeEvent(event.HeaderUnreadable{Server: h.ID, StartedMS: h.StartedMS, Header: header, Error: err.Error()})
	}
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
