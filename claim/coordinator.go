package claim

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

const (
	// Candidates is the number of members that may hold a claim.
	Candidates = 3
	// Quorum is the number of candidates that must grant a claim. Any two quorums
	// of the same candidates overlap in one.
	Quorum       = 2
	claimTimeout = 250 * time.Millisecond
	// unresponsiveTimeout bounds the wait for a candidate that this host has not
	// heard from recently and that is probably down.
	unresponsiveTimeout = 20 * time.Millisecond
	settleTimeout       = 250 * time.Millisecond
)

// Transport calls the tables of other members. After an error the call may or may
// not have taken effect.
type Transport interface {
	Claim(ctx context.Context, addr string, r Request) (Verdict, error)
	Settle(ctx context.Context, addr string, s Settlement) error
}

// Coordinator claims orders at the candidates for their ids. It is safe for
// concurrent use.
type Coordinator struct {
	self       ownership.MemberID
	table      *Table
	transport  Transport
	sequential bool // for tests: call one candidate after another
}

// NewCoordinator returns the coordinator of member self. table holds the claims
// that self granted.
func NewCoordinator(self ownership.MemberID, table *Table, transport Transport) *Coordinator {
	return &Coordinator{self: self, table: table, transport: transport}
}

// Ticket is a claim that was granted by all or some of its candidates.
type Ticket struct {
	Request Request
	holders []ownership.Member // members that granted the claim or may have
}

// Claim claims r at its candidates. Of those that are responsive in v, the first
// Quorum must grant it: if others stood in for one that fails, the claim could
// miss one that was granted before. The first candidate is called
// alone, so that of two concurrent claims one is granted; the others are called
// in parallel. The remaining candidate need not answer, but its refusal counts.
// A verdict other than Granted is that of the first candidate that refused.
// Errors are of kind NoClaim. The ticket must be settled in every case but a
// refusal.
func (c *Coordinator) Claim(ctx context.Context, v *ownership.View, r Request) (Ticket, Verdict, error) {
	ticket := Ticket{Request: r}
	calls, err := plan(v, r.ID)
	if err != nil {
		return ticket, Verdict{}, err
	}
	c.askAll(ctx, calls[:1], r)
	if calls[0].err == nil && calls[0].verdict.State == Granted {
		c.askAll(ctx, calls[1:], r)
	} else {
		calls = calls[:1]
	}
	var missing error
	var refusal *Verdict
	for _, a := range calls {
		refused, err := a.result()
		switch {
		case refused && refusal == nil:
			refusal = &a.verdict
		case !refused && a.verdict.State != Full:
			// After an error the member may hold the claim, so it is settled there too.
			ticket.holders = append(ticket.holders, a.member)
		}
		if err != nil && a.required {
			missing = err
		}
	}
	if refusal != nil {
		c.settleRefused(ticket, *refusal)
		return Ticket{}, *refusal, nil
	}
	if missing != nil {
		return ticket, Verdict{}, fault.Wrap(fault.NoClaim, missing, "a required candidate did not grant the claim")
	}
	return ticket, Verdict{State: Granted}, nil
}

// askAll calls the given candidates in parallel and waits for them.
func (c *Coordinator) askAll(ctx context.Context, calls []*candidateCall, r Request) {
	if c.sequential || len(calls) == 1 {
		for _, a := range calls {
			c.ask(ctx, a, r)
		}
		return
	}
	var wait sync.WaitGroup
	for _, a := range calls {
		wait.Go(func() { c.ask(ctx, a, r) })
	}
	wait.Wait()
}

// settleRefused settles a refused claim at the members that granted it. They did
// not know the id, as they joined later, and take over the refusal's outcome.
func (c *Coordinator) settleRefused(t Ticket, v Verdict) {
	switch v.State {
	case Answered:
		c.Settle(t, fault.Answered, v.Answer)
	case Unknown:
		c.Settle(t, fault.Unknown, nil)
	default:
		c.Settle(t, fault.NotRun, nil)
	}
}

// Settle reports to the holders of a ticket how the order ended. A holder that
// cannot be reached keeps the id as in progress and later as unknown.
func (c *Coordinator) Settle(t Ticket, outcome fault.Outcome, answer *Answer) {
	s := Settlement{ID: t.Request.ID, Attempt: t.Request.Attempt, Outcome: outcome, Answer: answer}
	if answer != nil && len(answer.Body) > MaxAnswerBytes {
		s.Answer = nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for _, m := range t.holders {
		if m.ID == c.self {
			c.table.Settle(s)
			continue
		}
		_ = c.transport.Settle(ctx, m.PeerAddr, s)
	}
}

func (c *Coordinator) ask(ctx context.Context, a *candidateCall, r Request) {
	if a.member.ID == c.self {
		a.verdict = c.table.Claim(time.Now(), r)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	a.verdict, a.err = c.transport.Claim(ctx, a.member.PeerAddr, r)
}

// candidateCall is the call of one candidate for a claim, and its result.
type candidateCall struct {
	member   ownership.Member
	required bool // the claim fails without its grant
	timeout  time.Duration
	verdict  Verdict
	err      error
}

// result reports whether the candidate refused and, if it did not, the error for
// which it granted nothing.
func (a *candidateCall) result() (refusal bool, err error) {
	switch {
	case a.err != nil:
		return false, a.err
	case a.verdict.State == Full:
		return false, fault.New(fault.NoClaim, "member "+string(a.member.ID)+" has no capacity for another claim")
	}
	return a.verdict.State != Granted, nil
}

// plan returns the calls for a claim of id, those to required candidates first.
func plan(v *ownership.View, id ID) ([]*candidateCall, error) {
	candidates := Rank(v.Members, id)
	need := min(Quorum, len(candidates))
	var required, optional []*candidateCall
	for _, m := range candidates {
		switch unresponsive := v.IsUnresponsive(m.ID); {
		case unresponsive:
			optional = append(optional, &candidateCall{member: m, timeout: unresponsiveTimeout})
		case len(required) < need:
			required = append(required, &candidateCall{member: m, required: true, timeout: claimTimeout})
		default:
			optional = append(optional, &candidateCall{member: m, timeout: claimTimeout})
		}
	}
	if len(required) < need || need == 0 {
		return nil, fault.Newf(fault.NoClaim, "this host has recently heard from only %d of %d candidates", len(required), len(candidates))
	}
	return append(required, optional...), nil
}

// Rank returns the candidates for the claim of id, in the order of rendezvous
// hashing. When one member joins or leaves, at most one of them changes.
func Rank(members []ownership.Member, id ID) []ownership.Member {
	type scored struct {
		score  uint64
		member ownership.Member
	}
	ranked := make([]scored, 0, len(members))
	for _, m := range members {
		h := xxhash.New()
		for _, part := range []string{string(m.ID), "\x00", id.Service, "\x00", id.Order} {
			_, _ = h.WriteString(part)
		}
		ranked = append(ranked, scored{score: h.Sum64(), member: m})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
	})
	out := make([]ownership.Member, 0, Candidates)
	for _, s := range ranked[:min(Candidates, len(ranked))] {
		out = append(out, s.member)
	}
	return out
}
