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
	maxRelays = 2
	// relayTimeout bounds a relayed grant at one of these hosts.
	relayTimeout = 200 * time.Millisecond
)

// relay asks other hosts, one after the other until the given time, to make a call.
// direct is the result of this host's own attempt. If the server did not answer, the
// result says whether any of the attempts may have reached the server.
func (c *Cluster) relay(call hostlink.RelayRequest, direct assigner.CallResult, until time.Duration) hostlink.RelayResponse {
	result := direct
	call.From = c.cfg.Self
	call.Epoch, _ = query(c.ctx, c, c.machine.Epoch) // 0 if the cluster stops
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
			return *answer
		}
		if answer.Result.Sent() {
			result = answer.Result
		}
	}
	return hostlink.RelayResponse{Result: result}
}

// relayThrough asks one host to make a call within a timeout.
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

// recentHosts returns the other hosts that have reported recently.
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
	epoch, known := c.machine.Epoch(), c.machine.Assigner()
	switch {
	case call.Epoch < epoch:
		return fault.Newf(fault.PermissionDenied, "epoch %d has ended", call.Epoch)
	case call.Epoch == epoch && known.Name != "" && known != call.From:
		return fault.Newf(fault.PermissionDenied, "the assigner of the epoch is %s", known.Name)
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
		var answer ReleaseAnswer
		answer, err = c.sendRelease(ctx, call.Address, call.Range)
		out.Result, out.Handover = answer.Result, answer.Handover
	} else {
		var answer GrantAnswer
		answer, err = c.sendGrant(ctx, relayedGrant(call))
		out.Result, out.Attributed = answer.Result, answer.Attributed
	}
	if err != nil {
		c.logEvent(event.RelayedCallFailed{Address: call.Address, Release: call.Release, Result: out.Result.String(), Error: err.Error()})
	}
	return out
}

// relayOfGrant returns the request to another host to make a grant.
func relayOfGrant(a assigner.Grant) hostlink.RelayRequest {
	return hostlink.RelayRequest{
		Address:  a.Address,
		Range:    a.Range,
		HoldMS:   a.Hold.Milliseconds(),
		Handover: a.Handover,
		Decisive: a.Decisive,
	}
}

// relayedGrant returns the grant that another host asks for.
func relayedGrant(call *hostlink.RelayRequest) assigner.Grant {
	return assigner.Grant{
		Address:  call.Address,
		Range:    call.Range,
		Hold:     time.Duration(call.HoldMS) * time.Millisecond,
		Handover: call.Handover,
		Decisive: call.Decisive,
	}
}
