package routing

import (
	"context"
	"errors"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingsaddle/lacewingsaddle/claim"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

// Claimer claims the ids of orders, so that an order that arrives twice is sent
// once. claim.Coordinator implements it.
type Claimer interface {
	Claim(ctx context.Context, v *ownership.View, r claim.Request) (claim.Ticket, claim.Verdict, error)
	Settle(t claim.Ticket, outcome fault.Outcome, answer *claim.Answer)
}

// maxOrderIDBytes bounds a caller's order id.
const maxOrderIDBytes = 256

// dispatchOnce claims the id of an order and sends it when the claim is granted.
// An order whose id was claimed before is not sent: its caller gets the outcome
// of the first one. A profile without a window for duplicates needs no claims.
func (r *Router) dispatchOnce(ctx context.Context, v *ownership.View, q *request) (*reply, error) {
	if q.target.profile.Duplicates.Window <= 0 {
		return r.dispatch(ctx, q)
	}
	if r.deps.Claims == nil {
		return r.withoutClaims(ctx, q, fault.New(fault.NoClaim, "this host has no claim table"))
	}
	ids := q.in.Header[HeaderOrderID]
	if len(ids) != 1 || len(ids[0]) > maxOrderIDBytes {
		return nil, fault.Newf(fault.BadRequest, "header %s must be given exactly once, with at most %d bytes", HeaderOrderID, maxOrderIDBytes)
	}
	ticket, verdict, err := r.deps.Claims.Claim(ctx, v, q.claimRequest(ids[0]))
	if err != nil {
		return r.afterClaimError(ctx, q, ticket, err)
	}
	if verdict.State != claim.Granted {
		return duplicateReply(verdict)
	}
	return r.dispatchClaimed(ctx, q, ticket)
}

func (q *request) claimRequest(order string) claim.Request {
	h := xxhash.New()
	for _, part := range []string{q.in.Method, " ", q.in.URL.RequestURI(), "\n"} {
		_, _ = h.WriteString(part)
	}
	_, _ = h.Write(q.body)
	return claim.Request{
		ID:          claim.ID{Service: q.service(), Order: order},
		Fingerprint: h.Sum64(),
		Attempt:     q.id,
		MaxRunTime:  q.rule.Timeout,
		Window:      q.target.profile.Duplicates.Window,
	}
}

// afterClaimError applies the profile's fallback when the claim could not be
// decided because a member did not answer.
func (r *Router) afterClaimError(ctx context.Context, q *request, t claim.Ticket, err error) (*reply, error) {
	if q.target.profile.Duplicates.Fallback == profile.ClaimSend {
		return r.dispatchClaimed(ctx, q, t)
	}
	r.deps.Claims.Settle(t, fault.NotRun, nil)
	return nil, err
}

// withoutClaims applies the profile's fallback on a host without claims.
func (r *Router) withoutClaims(ctx context.Context, q *request, err error) (*reply, error) {
	if q.target.profile.Duplicates.Fallback == profile.ClaimSend {
		return r.dispatch(ctx, q)
	}
	return nil, err
}

// dispatchClaimed sends the order and records the outcome in its claim before the
// caller is answered, so that the caller's next attempt finds the outcome.
func (r *Router) dispatchClaimed(ctx context.Context, q *request, t claim.Ticket) (*reply, error) {
	a, err := r.dispatch(ctx, q)
	if err != nil {
		r.deps.Claims.Settle(t, fault.AnswerOf(fault.KindOf(err)).Outcome, nil)
		return nil, err
	}
	r.deps.Claims.Settle(t, fault.Answered, a.claimAnswer())
	return a, nil
}

// claimAnswer returns the answer to store for later claims of the same id, or nil
// when it is too large to store.
func (a *reply) claimAnswer() *claim.Answer {
	if !a.buffered() || len(a.body) > claim.MaxAnswerBytes {
		return nil
	}
	return &claim.Answer{Status: a.status, Header: a.header, Body: a.body}
}

// duplicateReply returns the outcome of the order that holds the claim.
func duplicateReply(v claim.Verdict) (*reply, error) {
	switch v.State {
	case claim.InProgress:
		return nil, fault.New(fault.InProgress, "another order with this id is in progress")
	case claim.Mismatch:
		return nil, fault.New(fault.BadRequest, "the order id was used for an order with other content")
	case claim.Answered:
		if v.Answer != nil {
			return storedReply(v.Answer), nil
		}
		return nil, fault.New(fault.Duplicate, "an order with this id was answered, and its answer is not stored")
	}
	return nil, fault.New(fault.Duplicate, "an order with this id may have run")
}

func storedReply(a *claim.Answer) *reply {
	header := make(http.Header, len(a.Header))
	for name, values := range a.Header {
		header[name] = values
	}
	return &reply{
		status:  a.Status,
		header:  header,
		outcome: fault.Answered,
		length:  int64(len(a.Body)),
		body:    a.Body,
	}
}

// kindOf returns the kind of err and whether it is a *fault.Error.
func kindOf(err error) (fault.Kind, bool) {
	var e *fault.Error
	if errors.As(err, &e) {
		return e.Kind, true
	}
	return "", false
}
