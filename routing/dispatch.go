package routing

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

// dispatch sends q and retries within the profile's number of attempts, the
// retry budget and the deadline. An order that is not idempotent is retried only
// while it certainly did not run.
func (r *Router) dispatch(ctx context.Context, q *request) (*reply, error) {
	t := q.target
	t.budget.deposit(t.profile.Retry.Budget)
	var failed attemptErrors
	for n := 1; ; n++ {
		a, err := r.attemptHedged(ctx, q)
		if err == nil {
			return a, nil
		}
		result := failed.add(err)
		if !q.mayRetry(err) || n >= t.profile.Retry.Attempts || !t.budget.withdraw(q.highPriority()) {
			return nil, result
		}
		if !sleepWithinDeadline(ctx, retryDelay(n, err)) {
			return nil, result
		}
	}
}

// attemptErrors collects the errors of a request's attempts.
type attemptErrors struct {
	mayHaveRun error // of the first attempt that may have run
}

// add records the error of an attempt and returns that of the request: once an attempt
// may have run, a later one that did not run does not change what is told.
func (e *attemptErrors) add(err error) error {
	notRun := fault.AnswerOf(fault.KindOf(err)).Outcome == fault.NotRun
	if e.mayHaveRun == nil && !notRun {
		e.mayHaveRun = err
	}
	if notRun && e.mayHaveRun != nil {
		return e.mayHaveRun
	}
	return err
}

// mayRetry reports whether err allows another attempt.
func (q *request) mayRetry(err error) bool {
	var e *fault.Error
	if !errors.As(err, &e) || !q.resendable() {
		return false
	}
	switch e.Kind {
	case fault.Refused, fault.DialFailed, fault.NotSent, fault.NotAccepted, fault.StaleToken, fault.Overloaded:
		return true
	case fault.SendFailed, fault.AnswerCut, fault.AnswerMismatch:
		return q.idempotent()
	}
	return false
}

// sleepWithinDeadline waits for d. It returns false at once when ctx's deadline
// is earlier, or when ctx ends meanwhile.
func sleepWithinDeadline(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	return wait.Sleep(ctx, d) == nil
}

// attempt sends q once. A route that changes before the first byte is written
// does not count as an attempt: the destination is looked up again.
func (r *Router) attempt(ctx context.Context, q *request) (*reply, error) {
	for {
		d, err := r.locate(ctx, q)
		if err != nil {
			return nil, err
		}
		d.server.SetMembers(len(r.deps.Source.Snapshot().View.Members))
		if err := d.server.Limiter.Acquire(ctx, q.highPriority()); err != nil {
			return nil, err
		}
		a, err := r.send(ctx, q, d)
		if err != nil && fault.KindOf(err) == fault.Moving {
			continue
		}
		return a, err
	}
}

// send sends q to d and releases the slot that the caller acquired. A request that
// delays moves is registered as in flight before the route and the lease are
// checked for the last time, so that a move that starts afterwards waits for it.
func (r *Router) send(ctx context.Context, q *request, d destination) (*reply, error) {
	x := &transmission{router: r, q: q, d: d, start: time.Now()}
	r.recordSent(q, d)
	var a *reply
	err := x.register()
	if err == nil {
		a, err = x.exchange(ctx)
	}
	if err != nil {
		r.recordFailed(q, d, err)
		x.release(err)
		return nil, err
	}
	if a.buffered() {
		x.release(nil)
		return a, nil
	}
	a.done = func() { x.release(nil) }
	return a, nil
}

// transmission is one attempt to send a request to one server.
type transmission struct {
	router *Router
	q      *request
	d      destination
	start  time.Time
	entry  inFlightRequest
	resp   *http.Response
}

// register registers a keyed request that delays moves as in flight and then
// checks its route.
func (x *transmission) register() error {
	if !x.q.keyed() {
		return nil
	}
	now := x.router.deps.Source.Now()
	x.entry = inFlightRequest{
		service: x.q.service(),
		shard:   x.d.shard,
		token:   x.d.route.Token,
		until:   now + ownership.Instant(time.Until(x.q.deadline)),
	}
	if x.q.delaysMoves() {
		x.router.deps.InFlight.add(now, &x.entry)
	}
	if err := x.router.checkRoute(x.q, x.d); err != nil {
		return err
	}
	return nil
}

// checkBeforeWrite is called immediately before the first byte is written. An
// error keeps the request from being sent.
func (x *transmission) checkBeforeWrite() *fault.Error {
	if !time.Now().Before(x.q.deadline) {
		return fault.New(fault.NotSent, "the deadline passed before the request was sent")
	}
	if !x.q.keyed() {
		return nil
	}
	return x.router.checkRoute(x.q, x.d)
}

// exchange sends the request and reads the answer.
func (x *transmission) exchange(ctx context.Context) (*reply, error) {
	resp, err := x.d.server.RoundTrip(ctx, x.q.outgoing(x.d), x.checkBeforeWrite)
	if err != nil {
		return nil, err
	}
	x.resp = resp
	if err := x.q.checkAnswer(resp); err != nil {
		x.recordRefusal(err)
		return nil, err
	}
	a, err := x.q.readAnswer(ctx, resp)
	if err != nil {
		x.d.server.RecordFailure(fault.KindOf(err), x.start)
		return nil, err
	}
	x.d.server.Limiter.RecordAnswer()
	a.header[HeaderServer] = []string{x.d.server.Spec.ID}
	return a, nil
}

// recordRefusal updates the server's limit or health after an answer that
// checkAnswer refused.
func (x *transmission) recordRefusal(err error) {
	var e *fault.Error
	if !errors.As(err, &e) {
		return
	}
	switch e.Kind {
	case fault.Overloaded:
		x.d.server.Limiter.RecordShed(e.RetryAfter)
	case fault.NotAccepted:
		if e.Detail == reasonStarting {
			x.d.server.Health.BeginSlowStart(time.Now())
		}
	case fault.AnswerMismatch:
		// Later answers on this connection may belong to other requests too.
		x.d.server.RecordFailure(e.Kind, x.start)
	}
}

// release frees the slot. When the server may still be running the request, the
// request stays registered as in flight until its deadline.
func (x *transmission) release(err error) {
	if x.resp != nil {
		_ = x.resp.Body.Close()
	}
	x.d.server.Limiter.Release()
	if !x.q.keyed() {
		return
	}
	if err != nil && fault.AnswerOf(fault.KindOf(err)).Outcome == fault.Unknown {
		return
	}
	x.router.deps.InFlight.remove(&x.entry)
}
