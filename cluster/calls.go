package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/hostlink"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

const (
	// maxRelays is the number of other hosts that are asked to make a call on this
	// host's behalf.
	maxRelays    = 2
	relayTimeout = 200 * time.Millisecond
	// grantTimeout bounds a grant that this host sends itself. grantTotalTimeout
	// bounds all attempts of one grant, relayed ones included, and must stay below
	// assigner.MaxGrantDelay.
	grantTimeout      = 350 * time.Millisecond
	grantTotalTimeout = 600 * time.Millisecond
	// maxDecisionAge is the age above which a decision is no longer sent directly.
	maxDecisionAge = 150 * time.Millisecond
	// probeRoundBits is the number of low bits that count the probe rounds within one
	// epoch.
	probeRoundBits = 20
	// probeTimeout bounds the connection attempt of a probe.
	probeTimeout = 300 * time.Millisecond
)

// grant grants a range or renews its grant. If this host cannot reach the server,
// another host makes the call. All attempts end within grantTotalTimeout of the
// machine's decision, because a successor relies on that bound.
func (c *Cluster) grant(decided time.Duration, a assigner.Grant) {
	c.stats.Grants.Inc(1)
	result, err := assigner.CallUnsent, error(nil)
	if c.cfg.Clock()-decided < maxDecisionAge {
		result, err = c.grantDirect(a)
	}
	if !serverAnswered(result) {
		call := hostlink.RelayRequest{Address: a.Address, Range: a.Range, HoldMS: a.Hold.Milliseconds(), Handover: a.Handover}
		result, _ = c.relay(call, result, decided+grantTotalTimeout)
	}
	if result != assigner.CallOK {
		c.stats.GrantFails.Inc(1)
		c.logEvent(event.GrantFailed(grantEvent(a.Range, a.Range.Owner, result, err)))
	}
	e := assigner.Granted{Service: a.Service, Range: a.Range, Result: result}
	c.post(func() { c.machine.StepGranted(c.cfg.Clock(), e) })
}

func (c *Cluster) grantDirect(a assigner.Grant) (assigner.CallResult, error) {
	ctx, cancel := context.WithTimeout(c.ctx, grantTimeout)
	defer cancel()
	return c.sendGrant(ctx, a.Address, a.Range, a.Hold, a.Handover)
}

// sendGrant sends a grant to its owner. The answers to grants are the only ones of a
// server that gets no requests: it may say in them that it leaves.
func (c *Cluster) sendGrant(ctx context.Context, addr string, r keyrange.Range, hold time.Duration, handover string) (assigner.CallResult, error) {
	answer, err := c.backends.Grant(ctx, addr, r, hold, handover)
	if answer.Leaving {
		c.AddLeaving(r.Owner)
	}
	return answer.Result, err
}

// release revokes a range from its holder. If this host cannot reach the server,
// another host makes the call.
func (c *Cluster) release(ctx context.Context, a assigner.Release) {
	c.stats.Releases.Inc(1)
	handover, result, err := c.backends.Release(ctx, a.Address, a.Range)
	if !serverAnswered(result) {
		call := hostlink.RelayRequest{Address: a.Address, Range: a.Range, Release: true}
		result, handover = c.relay(call, result, c.cfg.Clock()+releaseTimeout)
	}
	c.logEvent(event.KeysReleased(grantEvent(a.Range, a.Holder, result, err)))
	e := assigner.Released{Service: a.Service, Range: a.Range, Holder: a.Holder, Result: result, Handover: handover}
	c.post(func() { c.machine.StepReleased(c.cfg.Clock(), e) })
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

// relay asks other hosts, one after the other until the given time, to make a call.
// direct is the result of this host's own attempt. If the server did not answer, the
// result says whether any of the attempts may have reached the server.
func (c *Cluster) relay(call hostlink.RelayRequest, direct assigner.CallResult, until time.Duration) (assigner.CallResult, string) {
	result := direct
	call.From = c.cfg.Self
	call.Epoch, _ = query(c.ctx, c, c.machine.Epoch)
	for _, h := range c.randomHosts(maxRelays) {
		left := until - c.cfg.Clock()
		if left <= 0 {
			break
		}
		if !call.Release {
			left = min(left, relayTimeout)
		}
		answer, err := c.relayThrough(h, call, left)
		if err != nil {
			c.logEvent(event.RelayFailed{Through: h.Name, Address: call.Address, Error: err.Error()})
			if fault.KindOf(err) != fault.DialFailed {
				result = assigner.CallFailed
			}
			continue
		}
		if serverAnswered(answer.Result) {
			return answer.Result, answer.Handover
		}
		if answer.Result.Sent() {
			result = answer.Result
		}
	}
	return result, ""
}

func (c *Cluster) relayThrough(h assigner.Host, call hostlink.RelayRequest, limit time.Duration) (*hostlink.RelayResponse, error) {
	call.LimitMS = max(limit.Milliseconds(), 1)
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	return c.peers.Relay(ctx, h.Peer, &call)
}

// randomHosts returns up to n hosts, in random order, that have reported recently.
func (c *Cluster) randomHosts(n int) []assigner.Host {
	out, _ := query(c.ctx, c, c.recentHosts)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

func (c *Cluster) recentHosts() []assigner.Host {
	var out []assigner.Host
	for _, h := range c.hosts {
		if h.Name != c.cfg.Self.Name && c.machine.HeardRecently(c.cfg.Clock(), h.Name) {
			out = append(out, h.Host)
		}
	}
	return out
}

// Relay implements hostlink.Handler.
func (c *Cluster) Relay(ctx context.Context, call *hostlink.RelayRequest) (*hostlink.RelayResponse, error) {
	err, ok := query(ctx, c, func() error { return c.verifyRelay(call) })
	if !ok {
		return nil, fault.New(fault.PeerUnavailable, "relay ended before it was verified")
	}
	if err != nil {
		c.logEvent(event.RelayRejected{From: call.From.Name, Epoch: call.Epoch, Address: call.Address, Error: err.Error()})
		return &hostlink.RelayResponse{Result: assigner.CallUnsent}, nil
	}
	return c.makeRelayedCall(ctx, call), nil
}

// verifyRelay checks what this host knows about a call to relay: that the epoch is not
// an earlier one, that the caller is a registered host and, in the epoch known here,
// its assigner, and that a backend server was registered at the address. Errors are
// of kind PermissionDenied.
func (c *Cluster) verifyRelay(call *hostlink.RelayRequest) error {
	epoch, leader := c.machine.Epoch(), c.machine.Assigner()
	switch {
	case call.Epoch < epoch:
		return fault.Newf(fault.PermissionDenied, "epoch %d has ended", call.Epoch)
	case call.Epoch == epoch && leader.Name != "" && leader != call.From:
		return fault.Newf(fault.PermissionDenied, "the assigner of the epoch is %s", leader.Name)
	case c.hosts[call.From.Name].Host != call.From:
		return fault.New(fault.PermissionDenied, "the host is not registered")
	case !call.Release && !c.serves(call.Range.Owner, call.Address):
		return fault.New(fault.PermissionDenied, "the backend server is not registered at the address")
	case call.Release && !c.View().Servers.HasAddress(call.Address):
		return fault.New(fault.PermissionDenied, "no backend server was registered at the address")
	}
	return nil
}

// serves reports whether a backend server is registered at an address.
func (c *Cluster) serves(h keyrange.Holder, addr string) bool {
	v := c.View().Servers.Find(h.ID)
	return v != nil && v.Holder == h && v.Address == addr
}

// makeRelayedCall makes a call for the assigner.
func (c *Cluster) makeRelayedCall(ctx context.Context, call *hostlink.RelayRequest) *hostlink.RelayResponse {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.LimitMS)*time.Millisecond)
	defer cancel()
	out := &hostlink.RelayResponse{}
	var err error
	if call.Release {
		out.Handover, out.Result, err = c.backends.Release(ctx, call.Address, call.Range)
	} else {
		hold := time.Duration(call.HoldMS) * time.Millisecond
		out.Result, err = c.sendGrant(ctx, call.Address, call.Range, hold, call.Handover)
	}
	if err != nil {
		c.logEvent(event.RelayedCallFailed{Address: call.Address, Release: call.Release, Result: out.Result.String(), Error: err.Error()})
	}
	return out
}

// requestProbes starts a probe round: every host, this one included, probes the
// suspects.
func (c *Cluster) requestProbes(list []assigner.Suspect) {
	c.views.update(func(v *View) {
		v.Suspects = list
		v.ProbeRound = max(v.ProbeRound+1, c.machine.Epoch()<<probeRoundBits)
	})
	names := make([]string, 0, len(list))
	for _, s := range list {
		names = append(names, s.Holder.ID)
	}
	c.logEvent(event.ServersSuspected{Servers: names})
	c.probeSuspects(list)
}

// probeSuspects connects to each suspect and reports whether the connection was
// refused.
func (c *Cluster) probeSuspects(list []assigner.Suspect) {
	for _, s := range list {
		c.goWithTimeout(probeTimeout, func(ctx context.Context) {
			c.recordProbe(s, c.backends.Probe(ctx, s.Address))
		})
	}
}

func (c *Cluster) recordProbe(s assigner.Suspect, err error) {
	c.mu.Lock()
	if fault.IsRefused(err) {
		c.report.Refused = append(c.report.Refused, s.Holder)
	} else {
		c.report.Reached = append(c.report.Reached, s.Holder)
	}
	c.mu.Unlock()
	c.logEvent(event.SuspectProbed{Server: s.Holder.ID, Address: s.Address, Refused: fault.IsRefused(err), Error: event.ErrorText(err)})
	c.reportNow()
}
