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
	// Candidates is the number of members that may keep a claim.
	Candidates = 3
	// Quorum is the number of candidates that must grant it. Any two quorums of
	// the same candidates share one.
	Quorum       = 2
	claimTimeout = 250 * time.Millisecond
	// quietTimeout bounds the wait for a candidate that is probably down.
	quietTimeout  = 20 * time.Millisecond
	settleTimeout = 250 * time.Millisecond
)

// Transport reaches the tables of other members. Its errors mean that the claim
// may or may not have been kept.
type Transport interface {
	Claim(ctx context.Context, addr string, r Request) (Verdict, error)
	Settle(ctx context.Context, addr string, s Settlement) error
}

// Coordinator claims orders at the members ranked first for them. It is safe
// for concurrent use.
type Coordinator struct {
	self       ownership.MemberID
	table      *Table
	transport  Transport
	sequential bool // ask one candidate after another, in tests
}

// NewCoordinator returns the coordinator of member self, whose claims table holds.
func NewCoordinator(self ownership.MemberID, table *Table, transport Transport) *Coordinator {
	return &Coordinator{self: self, table: table, transport: transport}
}

// Ticket is a claim that was granted, or the part of one that was.
type Ticket struct {
	Request Request
	holders []ownership.Member
}

// Claim claims r at its candidates. The first Quorum of those that this host has
// heard of lately must grant it: a claim on what is left after an error could
// miss one that was granted before. The first is asked alone, so that of two
// claims at once one is granted; the rest are asked together. The remaining
// candidate need not answer, but its refusal counts. A verdict other than
// Granted is that of the first candidate that refused. Errors are of kind
// NoClaim. The ticket must be settled in every case but a refusal.
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
			// A claim whose answer was lost may be kept, so it is settled as well.
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
		return ticket, Verdict{}, fault.Wrap(fault.NoClaim, missing, "a member could not be asked")
	}
	return ticket, Verdict{State: Granted}, nil
}

// askAll asks the given candidates together and waits for them.
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

// settleRefused settles the part of a refused claim that was granted: a member that
// did not know the id, as it joined later, takes over what the refusal tells.
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

// Settle tells the holders of a ticket how the order ended. A holder that
// cannot be told keeps the id as in progress and later as unknown.
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

// candidateCall is one candidate of a claim and its answer.
type candidateCall struct {
	member   ownership.Member
	required bool // without its grant there is no claim
	timeout  time.Duration
	verdict  Verdict
	err      error
}

// result reports whether the candidate refused, and otherwise why it did not grant.
func (a *candidateCall) result() (refusal bool, err error) {
	switch {
	case a.err != nil:
		return false, a.err
	case a.verdict.State == Full:
		return false, fault.New(fault.NoClaim, "member "+string(a.member.ID)+" can keep no more claims")
	}
	return a.verdict.State != Granted, nil
}

// plan returns the candidates of id, those that must grant the claim first.
func plan(v *ownership.View, id ID) ([]*candidateCall, error) {
	candidates := Rank(v.Members, id)
	need := min(Quorum, len(candidates))
	var required, optional []*candidateCall
	for _, m := range candidates {
		switch quiet := v.IsQuiet(m.ID); {
		case quiet:
			optional = append(optional, &candidateCall{member: m, timeout: quietTimeout})
		case len(required) < need:
			required = append(required, &candidateCall{member: m, required: true, timeout: claimTimeout})
		default:
			optional = append(optional, &candidateCall{member: m, timeout: claimTimeout})
		}
	}
	if len(required) < need || need == 0 {
		return nil, fault.Newf(fault.NoClaim, "%d of %d candidates are known to be up", len(required), len(candidates))
	}
	return append(required, optional...), nil
}

// Rank returns the candidates for the claim of id, the first by rendezvous
// hashing first. One member's coming or going changes at most one of them.
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
