package gateway

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/eligibility"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/upstream"
)

const (
	// maxSends is the maximum number of attempts to send one request.
	maxSends = 4
	// ownerWaitShare is the share of the latency target, counted from the
	// request's arrival, for which it may wait until its key has an owner.
	ownerWaitShare = 0.45
	// queueWaitShare is the share of the latency target, counted from the
	// request's arrival, for which it may wait in its server's limiter.
	queueWaitShare = 0.5
	// staleOwnerWait is how long a request waits for a new owner of its key after a
	// server answered that it does not hold the key.
	staleOwnerWait = 120 * time.Millisecond
	// overloadBackoff times the number of attempts so far is the delay before a
	// request is retried at an overloaded owner.
	overloadBackoff = 100 * time.Millisecond
	// sheddingTime is how long a server's cost is raised after it shed load.
	sheddingTime = 150 * time.Millisecond
)

// Values of Retry-After before jitter is added.
const (
	retryAfterMoving  = 300 * time.Millisecond
	retryAfterShed    = 400 * time.Millisecond
	retryAfterDefault = 250 * time.Millisecond
)

// dispatch sends q until it is answered or must not be retried.
func (g *Gateway) dispatch(q *request) (*upstream.Response, error) {
	for {
		s, err := g.locate(q)
		if err != nil {
			return q.giveUp(err)
		}
		if err := g.admit(q, s); err != nil {
			return q.giveUp(err)
		}
		a, err := g.queueAndSend(q, s)
		if err == nil {
			q.dropFailure()
			return a, nil
		}
		if isIneligible(err) {
			continue
		}
		if !g.retry(q, s, err) {
			return q.giveUp(g.withPause(q, s, err))
		}
	}
}

// isIneligible reports whether a request was not sent because its server leaves or became
// full meanwhile. The request is placed anew, which is not a retry.
func isIneligible(err error) bool {
	var e *ineligible
	return errors.As(err, &e)
}

// dropFailure closes the error response of an earlier attempt, if there is one.
func (q *request) dropFailure() {
	if q.failure != nil {
		q.failure.Close()
		q.failure = nil
	}
}

// giveUp returns the error response of an earlier attempt if there is one, else err.
func (q *request) giveUp(err error) (*upstream.Response, error) {
	if q.failure != nil {
		return q.failure, nil
	}
	return nil, err
}

// locate returns the backend server for the next attempt of q.
func (g *Gateway) locate(q *request) (*server, error) {
	if q.keyed {
		return g.waitForOwner(q)
	}
	return g.pickServer(q)
}

// pickServer chooses among the servers of a service that is not sharded. Servers
// that q was sent to before are used only if there are already as many of them as
// the route's Attempts, or if no other server is left.
func (g *Gateway) pickServer(q *request) (*server, error) {
	o := g.options(q)
	list := o.untried
	if len(q.tried) >= q.route.Attempts || len(list) == 0 {
		list = o.tried
	}
	s := choose(list, time.Now(), origin{g.cfg.Domain, q.length}, randomIndex)
	switch {
	case s != nil:
		return s, nil
	case len(o.untried) > 0:
		return nil, notRun(fault.NotAccepted, "the request was sent to as many backend servers as its route allows", retryAfterShed)
	case !o.pauseEnd.IsZero():
		return nil, allFullError(o.pauseEnd)
	}
	return nil, notRun(fault.NoOwner, "the service has no backend server", retryAfterDefault)
}

// options are the servers that a request may be sent to.
type options struct {
	untried, tried []*server
	pauseEnd       time.Time // the earliest end of the full servers' pauses; zero if none is full
}

// options returns the eligible servers of q's service.
func (g *Gateway) options(q *request) options {
	view := g.view()
	var o options
	for i := range view.Servers.Servers {
		v := &view.Servers.Servers[i]
		if v.Service != q.service.Name {
			continue
		}
		switch verdict := g.checkServer(q, v.Holder); verdict.Standing {
		case eligibility.Eligible:
			o.add(g.server(v, q, view), q.triedBefore(v.Holder.ID))
		case eligibility.Full:
			o.addPause(verdict.Until)
		}
	}
	return o
}

// add adds a server that the request may be sent to.
func (o *options) add(s *server, tried bool) {
	if tried {
		o.tried = append(o.tried, s)
	} else {
		o.untried = append(o.untried, s)
	}
}

// addPause adds the end of a full server's pause.
func (o *options) addPause(end time.Time) {
	if o.pauseEnd.IsZero() || end.Before(o.pauseEnd) {
		o.pauseEnd = end
	}
}

func (g *Gateway) server(v *directory.Server, q *request, view *cluster.View) *server {
	return g.servers.get(v, connectionLimit(q.service.MaxConns, view.Hosts))
}

// waitForOwner waits until the key has an owner whose grant is in force.
func (g *Gateway) waitForOwner(q *request) (*server, error) {
	var timer *time.Timer
	for {
		view := g.view()
		s, err := g.eligibleOwner(q, view)
		if s != nil || err != nil {
			return s, err
		}
		if timer == nil {
			timer = time.NewTimer(q.ownerWait())
			defer timer.Stop()
		}
		select {
		case <-view.Next:
		case <-timer.C:
			return nil, notRun(fault.Moving, "the key has no owner", retryAfterMoving)
		case <-q.ctx.Done():
			return nil, notRun(fault.NotSent, "the request ended while its key had no owner", retryAfterMoving)
		}
	}
}

// ownerWait returns for how much longer q may wait for an owner of its key.
func (q *request) ownerWait() time.Duration {
	return max(time.Duration(ownerWaitShare*float64(q.target()))-time.Since(q.arrived), 0)
}

// eligibleOwner returns the server that owns the key according to a view, or nil if there
// is none that q may be sent to: it then waits for another owner. It returns an error if
// the owner is full, as no other server can run q, or leaves and is the last of its service.
func (g *Gateway) eligibleOwner(q *request, view *cluster.View) (*server, error) {
	s := g.ownerIn(q, view)
	if s == nil {
		return nil, nil
	}
	switch v := g.checkServer(q, s.Holder); v.Standing {
	case eligibility.Full:
		return nil, ownerFullError(s, v)
	case eligibility.Leaving:
		return nil, g.lastServerError(q, view)
	}
	return s, nil
}

// lastServerError refuses a request whose key's owner leaves, if no other server is there
// that may become the owner. Otherwise it returns nil.
func (g *Gateway) lastServerError(q *request, view *cluster.View) error {
	if g.hasStayingServer(q, view) {
		return nil
	}
	return notRun(fault.NoOwner, "the key's owner leaves, and the service has no other backend server", retryAfterDefault)
}

// hasStayingServer reports whether the directory lists a server of q's service that does
// not leave.
func (g *Gateway) hasStayingServer(q *request, view *cluster.View) bool {
	return slices.ContainsFunc(view.Servers.Servers, func(v directory.Server) bool {
		return v.Service == q.service.Name && !g.standings.isLeaving(v.Holder)
	})
}

// ownerIn returns the server that owns the key according to a view, or nil.
func (g *Gateway) ownerIn(q *request, view *cluster.View) *server {
	r := rangeOf(q, view)
	if r == nil || !r.Granted {
		return nil
	}
	v := view.Servers.Find(r.Owner.ID)
	if v == nil || v.Holder != r.Owner || v.Service != q.service.Name {
		return nil
	}
	return g.server(v, q, view)
}

// queueAndSend waits until the concurrency limit of s admits q, and sends it.
func (g *Gateway) queueAndSend(q *request, s *server) (*upstream.Response, error) {
	wait := time.Duration(queueWaitShare*float64(q.target())) - time.Since(q.arrived)
	if err := s.limiter.acquire(q.ctx, q.route.Priority, wait); err != nil {
		return nil, err
	}
	start := time.Now()
	a, err := g.send(q, s)
	s.limiter.release(time.Since(start), q.target(), isShed(err), err != nil)
	return a, err
}

// isShed reports whether an error shows that the server was full: it shed the request, or
// closed a new connection.
func isShed(err error) bool {
	if err == nil {
		return false
	}
	kind := fault.KindOf(err)
	return kind == fault.NotAccepted || kind == fault.Overloaded
}

// isRejection reports whether an error may mean that the server was full: some servers
// close the connections of requests in their queue.
func isRejection(err error) bool { return isShed(err) || fault.KindOf(err) == fault.AnswerCut }

// send sends q once and classifies the response.
func (g *Gateway) send(q *request, s *server) (*upstream.Response, error) {
	before := q.progress
	if q.rest != nil {
		q.restConsumed = true
	}
	q.recordAttempt(s.Holder.ID)
	g.recordSent(q, s, time.Since(q.queuedAt))
	start := time.Now()
	s.requestStarted()
	a, err := s.conns.Do(q.ctx, g.outgoing(q, s))
	err = q.cutOffError(err)
	took := time.Since(start)
	if isIneligible(err) {
		s.requestWithdrawn()
		q.progress = before
		return nil, err
	}
	if err == nil {
		err = g.classify(q, a)
	}
	s.requestEnded(took, countsAsFailure(a, err))
	q.delivered = q.delivered || !isUnsent(err)
	if err != nil {
		q.mayHaveRun = q.mayHaveRun || mayHaveRun(err)
		if isRejection(err) {
			g.control.AddRejected(s.Holder.ID)
		}
		g.recordSendFailed(q, s, err, took)
		return nil, err
	}
	if a.Status < http.StatusBadRequest {
		g.control.AddResponseTime(s.Holder.ID, took)
	}
	return a, nil
}

// cutOffError returns the error of a request that the end of this process canceled, not
// its caller; other errors are returned as they are.
func (q *request) cutOffError(err error) error {
	if err == nil || fault.KindOf(err) != fault.Canceled || q.in.Context().Err() != nil {
		return err
	}
	return fault.Wrap(fault.Timeout, err, "this host stops and the server has not answered")
}

// isUnsent reports whether no byte of a request reached the server, as its send failed
// with err.
func isUnsent(err error) bool {
	if err == nil {
		return false
	}
	switch fault.KindOf(err) {
	case fault.Refused, fault.DialFailed, fault.Overloaded, fault.NotSent:
		return true
	}
	return false
}

// mayHaveRun reports whether the server may have run a request whose send failed
// with err.
func mayHaveRun(err error) bool {
	if isUnsent(err) {
		return false
	}
	kind := fault.KindOf(err)
	return kind != fault.StaleToken && kind != fault.NotAccepted
}

// countsAsFailure reports whether an outcome counts towards the server's failure rate.
func countsAsFailure(a *upstream.Response, err error) bool {
	if err != nil {
		k := fault.KindOf(err)
		return k != fault.Canceled && k != fault.NotSent && k != fault.StaleToken
	}
	return a.Status >= http.StatusInternalServerError
}

// outgoing builds the request that is sent to a server.
func (g *Gateway) outgoing(q *request, s *server) *upstream.Request {
	left := max(q.remaining().Milliseconds(), 1)
	return &upstream.Request{
		Method: q.in.Method,
		URI:    q.uri,
		Host:   q.in.Host,
		Header: q.header,
		Extra: []upstream.Field{
			{Name: g.cfg.Headers.Deadline, Value: strconv.FormatInt(left, 10)},
			{Name: g.cfg.Headers.Expected, Value: s.Holder.ID},
		},
		ID:       q.id,
		IDHeader: g.cfg.Headers.RequestID,
		Body:     q.body,
		Rest:     q.rest,
		Length:   q.length,
		Once:     q.atMostOnce(),
		Keyed:    q.keyed,
		Retry:    q.delivered,
		Attempts: &q.attempts,
		Deadline: q.deadline,
	}
}

// classify returns nil if a response is to be forwarded to the caller, else an
// error whose kind says whether the request may have run.
func (g *Gateway) classify(q *request, a *upstream.Response) error {
	if err := g.refusal(q, a); err != nil {
		a.Close()
		return err
	}
	q.mayHaveRun = true
	if promisesNotRun(a.Status) {
		a.Close()
		return fault.Newf(fault.AnswerMismatch, "the response (status %d) does not prove that the request did not run", a.Status)
	}
	if a.Status < http.StatusMultipleChoices && a.Header.Get(g.cfg.Headers.Signature) == "" {
		a.Close()
		return fault.New(fault.AnswerMismatch, "the response has no signature of a backend server")
	}
	if a.Status >= http.StatusInternalServerError && q.retriable() && a.Rest == nil {
		q.dropFailure()
		q.failure = a
		return fault.Newf(fault.AnswerCut, "the server answered with status %d", a.Status)
	}
	return nil
}

// refusal returns the error of a response that states that the request did not run, or
// nil. Such a response names its request: without its id, it may be a second copy of the
// refusal of an earlier one.
func (g *Gateway) refusal(q *request, a *upstream.Response) error {
	if a.Header.Get(g.cfg.Headers.RequestID) != q.id {
		return nil
	}
	if a.Status == http.StatusMisdirectedRequest {
		return fault.New(fault.StaleToken, "the server does not own the key, or another server answers at its address")
	}
	if a.Header.Get(g.cfg.Headers.NotRun) != "" {
		return fault.Newf(fault.NotAccepted, "the server did not run the request (status %d)", a.Status)
	}
	return nil
}

// promisesNotRun reports whether callers take a status as a promise that their request
// did not run and will not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// retriable reports whether a request that a server answered with an error is worth
// a retry: it is idempotent, was sent once, and has more than half of its latency
// target left.
func (q *request) retriable() bool {
	return !q.atMostOnce() && q.rest == nil && q.sends < 2 && q.remaining() > q.target()/2
}

func notRun(k fault.Kind, detail string, retry time.Duration) error {
	e := fault.New(k, detail)
	e.RetryAfter = retry
	return e
}
