package claim

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

// maxCopies bounds the claims that are copied concurrently.
const maxCopies = 32

// storedClaim is a claim that a table holds.
type storedClaim struct {
	request Request
	outcome fault.Outcome // empty while in progress
	answer  *Answer
}

// activeClaims returns the claims that are within their window at now.
func (t *Table) activeClaims(now time.Time) []storedClaim {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]storedClaim, 0, len(t.entries))
	for id, e := range t.entries {
		if now.After(e.expiresAt) {
			continue
		}
		r := Request{
			ID:          id,
			Fingerprint: e.fingerprint,
			Attempt:     e.attempt,
			MaxRunTime:  max(0, e.runsUntil.Sub(now)),
			Window:      e.expiresAt.Sub(now),
		}
		out = append(out, storedClaim{request: r, outcome: e.outcome, answer: e.answer})
	}
	return out
}

// RebalanceOnChange copies claims to their new holders whenever the members change,
// until ctx ends. So claims survive the replacement of all members one by one.
func (c *Coordinator) RebalanceOnChange(ctx context.Context, members func() []ownership.Member, changed func() <-chan struct{}) {
	before := members()
	for {
		next := changed()
		if after := members(); !slices.Equal(before, after) {
			c.Rebalance(ctx, before, after)
			before = after
			continue
		}
		select {
		case <-next:
		case <-ctx.Done():
			return
		}
	}
}

// Rebalance copies the claims that this member holds to those members that are
// candidates for them among after and were not among before. A member that cannot
// be reached gets no copy; the claim's other holder still refuses duplicates.
func (c *Coordinator) Rebalance(ctx context.Context, before, after []ownership.Member) {
	var group errgroup.Group
	group.SetLimit(maxCopies)
	for _, stored := range c.table.activeClaims(time.Now()) {
		old := Rank(before, stored.request.ID)
		for _, m := range Rank(after, stored.request.ID) {
			if m.ID == c.self || slices.Contains(old, m) || ctx.Err() != nil {
				continue
			}
			group.Go(func() error {
				c.copyTo(ctx, m, stored)
				return nil
			})
		}
	}
	_ = group.Wait()
}

// copyTo claims and settles k at m on behalf of the attempt that holds it.
func (c *Coordinator) copyTo(ctx context.Context, m ownership.Member, stored storedClaim) {
	a := &candidateCall{member: m, timeout: claimTimeout}
	c.ask(ctx, a, stored.request)
	if a.err != nil || a.verdict.State != Granted || stored.outcome == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	_ = c.transport.Settle(ctx, m.PeerAddr, Settlement{
		ID:      stored.request.ID,
		Attempt: stored.request.Attempt,
		Outcome: stored.outcome,
		Answer:  stored.answer,
	})
}
