package gateway

import (
	"errors"
	"net/http"
	"strconv"
	"time"

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

// queueAndSend waits until the concurrency limit of s admits q, and sends it.
func (g *Gateway) queueAndSend(q *request, s *server) (*upstream.Response, error) {
	wait := time.Duration(queueWaitShare*float64(q.target())) - time.Since(q.arrived)
	check := func() error { return g.ineligibleError(q, s) }
	if err := s.limiter.acquire(q.ctx, q.route.Priority, wait, check); err != nil {
		return nil, err
	}
	start := time.Now()
	a, err := g.send(q, s)
	s.limiter.release(time.Since(start), q.target(), err)
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

// isRejection reports whether an error may mean that the server was full. Some servers shed
// load by closing the connections of requests in their queue: if only responses that say
// so counted, every host would keep its limit while such a server drops what it is sent.
// A wrong guess costs little, as the limit rises with the next responses.
func isRejection(err error) bool {
	return err != nil && (isShed(err) || fault.KindOf(err) == fault.AnswerCut)
}

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
		switch fault.KindOf(err) {
		case fault.Canceled, fault.NotSent, fault.StaleToken, fault.TooLarge, fault.BadRequest:
			return false
		}
		return true
	}
	return a.Status >= http.StatusInternalServerError
}

// outgoing builds the request that is sent to a server.
func (g *Gateway) outgoing(q *request, s *server) *upstream.Request {
	left := max(q.remaining().Milliseconds(), 1)
	out := &upstream.Request{
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
		Length:   q.length,
		Once:     q.atMostOnce(),
		Keyed:    q.keyed,
		Retry:    q.delivered,
		Attempts: &q.attempts,
		Deadline: q.deadline,
	}
	if q.rest != nil {
		out.Rest = q.rest
	}
	return out
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
