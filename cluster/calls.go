package cluster

import (
	"context"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/hostlink"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

const (
	// grantTimeout bounds a grant that this host sends itself. grantTotalTimeout
	// bounds all attempts of one grant, relayed ones included, and must stay below
	// assigner.MaxGrantDelay.
	grantTimeout      = 350 * time.Millisecond
	grantTotalTimeout = 600 * time.Millisecond
	// maxDecisionAge is the age above which a decision is no longer sent directly.
	maxDecisionAge = 150 * time.Millisecond
)

// grant grants a range or renews its grant. If this host cannot reach the server,
// another host makes the call. All attempts end within grantTotalTimeout of the
// machine's decision, because a successor relies on that bound.
func (c *Cluster) grant(decided time.Duration, a assigner.Grant) {
	c.stats.Grants.Inc(1)
	answer, err := GrantAnswer{Result: assigner.CallUnsent}, error(nil)
	if c.cfg.Clock()-decided < maxDecisionAge {
		answer, err = c.grantDirect(a)
	}
	if !serverAnswered(answer.Result) {
		relayed := c.relay(relayOfGrant(a), answer.Result, decided+grantTotalTimeout)
		answer = GrantAnswer{Result: relayed.Result, Attributed: relayed.Attributed}
	}
	if answer.Result != assigner.CallOK {
		c.stats.GrantFails.Inc(1)
		c.logEvent(event.GrantFailed(grantEvent(a.Range, a.Range.Owner, answer.Result, err)))
	}
	e := assigner.Granted{Service: a.Service, Range: a.Range, Result: answer.Result, Attributed: answer.Attributed}
	c.post(func() { c.machine.StepGranted(c.cfg.Clock(), e) })
}

// grantDirect grants a range from this host.
func (c *Cluster) grantDirect(a assigner.Grant) (GrantAnswer, error) {
	ctx, cancel := context.WithTimeout(c.ctx, grantTimeout)
	defer cancel()
	return c.sendGrant(ctx, a)
}

// sendGrant sends a grant to its owner. The answers to grants and releases are the only
// ones of a server that gets no requests: it may say in them that it leaves.
func (c *Cluster) sendGrant(ctx context.Context, a assigner.Grant) (GrantAnswer, error) {
	answer, err := c.backends.Grant(ctx, a)
	if answer.Leaving {
		c.AddLeaving(a.Range.Owner)
	}
	return answer, err
}

// release revokes a range from its holder. If this host cannot reach the server,
// another host makes the call.
func (c *Cluster) release(ctx context.Context, a assigner.Release) {
	c.stats.Releases.Inc(1)
	answer, err := c.sendRelease(ctx, a.Address, a.Range)
	result, handover := answer.Result, answer.Handover
	if !serverAnswered(result) {
		call := hostlink.RelayRequest{Address: a.Address, Range: a.Range, Release: true}
		relayed := c.relay(call, result, c.cfg.Clock()+releaseTimeout)
		result, handover = relayed.Result, relayed.Handover
	}
	c.logEvent(event.KeysReleased(grantEvent(a.Range, a.Holder, result, err)))
	e := assigner.Released{Service: a.Service, Range: a.Range, Holder: a.Holder, Result: result, Handover: handover}
	c.post(func() { c.machine.StepReleased(c.cfg.Clock(), e) })
}

// sendRelease sends a release to the server at an address. If the answer says that the server
// leaves, this counts for the process that was listed there when the call was sent: a release
// may take long, and a process that starts at the address meanwhile has not said so.
func (c *Cluster) sendRelease(ctx context.Context, addr string, r keyrange.Range) (ReleaseAnswer, error) {
	listed := c.View().Servers.At(addr)
	answer, err := c.backends.Release(ctx, addr, r)
	if answer.Leaving && listed != nil {
		c.AddLeaving(listed.Holder)
	}
	return answer, err
}

// grantEvent describes the result of a grant or release for the log.
func grantEvent(r keyrange.Range, server keyrange.Holder, result assigner.CallResult, err error) event.GrantCall {
	return event.GrantCall{
		Server: server.ID,
		Fence:  uint64(r.Fence),
		From:   uint16(r.From),
		To:     uint16(r.To),
		Result: result.String(),
		Error:  event.ErrorText(err),
	}
}

// serverAnswered reports whether the server itself answered the call.
func serverAnswered(r assigner.CallResult) bool {
	return r == assigner.CallOK || r == assigner.CallFenced
}
