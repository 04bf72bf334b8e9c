package routing

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/peer"
)

// Peers forwards requests to other entry hosts. peer.RequestClient implements it.
type Peers interface {
	Forward(ctx context.Context, addr string, r peer.ForwardRequest) (*peer.ForwardAnswer, error)
}

const maxForwardAttempts = 3

// ForwardedHandler returns the handler for requests forwarded by other entry
// hosts. It never forwards them again.
func (r *Router) ForwardedHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		r.handle(w, in, true)
	})
}

// forward sends q through another member, because this host holds no view lease.
// It tries the next member only when the last one did not send the request on.
func (r *Router) forward(ctx context.Context, v *ownership.View, q *request) (*reply, error) {
	if q.forwarded || r.deps.Peers == nil {
		return nil, noLease()
	}
	var last error = noLease()
	for n, m := range r.forwardOrder(v) {
		if n == maxForwardAttempts || !q.resendable() {
			break
		}
		a, err := r.forwardTo(ctx, m, q)
		if err == nil {
			return a, nil
		}
		last = err
		if kind, _ := kindOf(err); kind != fault.PeerUnavailable && kind != fault.NoLease {
			break
		}
	}
	return nil, last
}

// forwardOrder returns the other members in random order, those of this host's
// failure domain first.
func (r *Router) forwardOrder(v *ownership.View) []ownership.Member {
	var near, far []ownership.Member
	for _, i := range rand.Perm(len(v.Members)) {
		m := v.Members[i]
		switch {
		case m.ID == v.Self:
		case m.Domain == r.deps.Domain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	return append(near, far...)
}

// forwardTo sends q through the member m.
func (r *Router) forwardTo(ctx context.Context, m ownership.Member, q *request) (*reply, error) {
	r.recordForwarded(q, string(m.ID))
	answer, err := r.deps.Peers.Forward(ctx, m.PeerAddr, q.forwardRequest())
	if err != nil {
		return nil, err
	}
	outcome := fault.Outcome(answer.Header.Get(HeaderOutcome))
	if outcome == "" {
		_ = answer.Body.Close()
		return nil, fault.New(fault.AnswerMismatch, "the peer's answer has no outcome header")
	}
	if outcome == fault.NotRun && answer.Header.Get(headerKind) == string(fault.NoLease) {
		_ = answer.Body.Close()
		return nil, fault.New(fault.NoLease, "neither this host nor the peer holds a view lease")
	}
	return q.forwardedReply(ctx, answer, outcome)
}

// forwardRequest returns the message that forwards q. Its deadline header holds
// the time that is left.
func (q *request) forwardRequest() peer.ForwardRequest {
	header := endToEnd(q.in.Header)
	remaining := max(time.Until(q.deadline).Milliseconds(), 0)
	header.Set(HeaderDeadlineMS, strconv.FormatInt(remaining, 10))
	f := peer.ForwardRequest{
		Method: q.in.Method,
		URI:    q.in.URL.RequestURI(),
		Host:   q.in.Host,
		Remote: q.in.RemoteAddr,
		Header: header,
		Length: int64(len(q.body)),
	}
	if q.upload != nil {
		f.Body, f.Length = q.upload, q.in.ContentLength
	} else if len(q.body) > 0 {
		f.Body = bytes.NewReader(q.body)
	}
	return f
}

// forwardedReply buffers the peer's answer up to the profile's limit; a longer
// one is streamed.
func (q *request) forwardedReply(ctx context.Context, answer *peer.ForwardAnswer, outcome fault.Outcome) (*reply, error) {
	a := &reply{
		status:  answer.Status,
		header:  endToEnd(answer.Header),
		outcome: outcome,
		length:  answer.Length,
	}
	kind := answer.Header.Get(headerKind)
	if kind != "" {
		a.header[headerKind] = []string{kind}
	}
	var err error
	a.body, err = readUpTo(answer.Body, q.target.profile.Limits.AnswerBytes, false)
	if err == errOverLimit {
		a.rest = answer.Body
		a.done = func() { _ = answer.Body.Close() }
		return a, nil
	}
	_ = answer.Body.Close()
	if err != nil {
		return nil, readError(ctx, err)
	}
	if q.in.Method != http.MethodHead {
		a.length = int64(len(a.body))
	}
	return a, nil
}

var _ io.Reader = (*uploadBody)(nil)
