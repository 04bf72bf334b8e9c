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
	// relays is the number of other hosts that are asked to make a call.
	relays       = 2
	relayTimeout = 200 * time.Millisecond
	// grantTimeout bounds a grant that this host sends itself, grantSpan all sends
	// of a grant. It stays below assigner.GrantSpan.
	grantTimeout = 350 * time.Millisecond
	grantSpan    = 600 * time.Millisecond
	// decisionAge is how old a decision may be when it is carried out.
	decisionAge = 150 * time.Millisecond
	// askedBits is the number of bits that count the questions of one epoch.
	askedBits = 20
	// tryTimeout bounds the connection that tells whether a process listens.
	tryTimeout = 300 * time.Millisecond
)

// grant gives or renews a range. A server that this host cannot reach is called
// by another host. All sends happen within grantSpan of the machine's decision:
// a successor counts on it.
func (c *Cluster) grant(decided time.Duration, a assigner.Grant) {
	c.stats.Grants.Inc(1)
	result, err := assigner.CallUnsent, error(nil)
	if c.cfg.Clock()-decided < decisionAge {
		result, err = c.grantDirect(a)
	}
	if !reached(result) {
		call := hostlink.Call{Address: a.Address, Range: a.Range, HoldMS: a.Hold.Milliseconds(), Handover: a.Handover}
		result, _ = c.relay(call, result, decided+grantSpan)
	}
	if result != assigner.CallOK {
		c.stats.GrantFails.Inc(1)
		c.write(event.GrantFailed(grantLine(a.Range, a.Range.Owner, result, err)))
	}
	e := assigner.Granted{Service: a.Service, Range: a.Range, Result: result}
	c.post(func() { c.machine.StepGranted(c.cfg.Clock(), e) })
}

func (c *Cluster) grantDirect(a assigner.Grant) (assigner.CallResult, error) {
	ctx, cancel := context.WithTimeout(c.ctx, grantTimeout)
	defer cancel()
	return c.backends.Grant(ctx, a.Address, a.Range, a.Hold, a.Handover)
}

// release takes a range back. A server that this host cannot reach is called by
// another host.
func (c *Cluster) release(ctx context.Context, a assigner.Release) {
	c.stats.Releases.Inc(1)
	handover, result, err := c.backends.Release(ctx, a.Address, a.Range)
	if !reached(result) {
		call := hostlink.Call{Address: a.Address, Range: a.Range, Release: true}
		result, handover = c.relay(call, result, c.cfg.Clock()+releaseTimeout)
	}
	c.write(event.KeysReleased(grantLine(a.Range, a.Holder, result, err)))
	e := assigner.Released{Service: a.Service, Range: a.Range, Holder: a.Holder, Result: result, Handover: handover}
	c.post(func() { c.machine.StepReleased(c.cfg.Clock(), e) })
}

// grantLine tells how a call about keys to a server ended.
func grantLine(r keyrange.Range, server keyrange.Holder, result assigner.CallResult, err error) event.GrantCall {
	return event.GrantCall{
		Server: server.ID,
		Fence:  uint64(r.Fence),
		From:   uint16(r.From),
		To:     uint16(r.To),
		Result: result.String(),
		Error:  event.ErrorText(err),
	}
}

// reached reports whether the server has answered.
func reached(r assigner.CallResult) bool { return r == assigner.CallOK || r == assigner.CallFenced }

// relay asks other hosts to make a call, one after the other, until a moment.
// Direct is how this host's own call ended. Unless the server answered, the
// result says whether any of the calls may have reached it.
func (c *Cluster) relay(call hostlink.Call, direct assigner.CallResult, until time.Duration) (assigner.CallResult, string) {
	result := direct
	for _, h := range c.someHosts(relays) {
		left := until - c.cfg.Clock()
		if left <= 0 {
			break
		}
		if !call.Release {
			left = min(left, relayTimeout)
		}
		answer, err := c.relayThrough(h, call, left)
		if err != nil {
			c.write(event.RelayFailed{Through: h.Name, Address: call.Address, Error: err.Error()})
			if fault.KindOf(err) != fault.DialFailed {
				result = assigner.CallFailed
			}
			continue
		}
		if reached(answer.Result) {
			return answer.Result, answer.Handover
		}
		if answer.Result.Sent() {
			result = answer.Result
		}
	}
	return result, ""
}

func (c *Cluster) relayThrough(h assigner.Host, call hostlink.Call, limit time.Duration) (*hostlink.CallAnswer, error) {
	call.LimitMS = limit.Milliseconds()
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	return c.peers.Relay(ctx, h.Peer, &call)
}

// someHosts returns hosts that were heard lately, in random order.
func (c *Cluster) someHosts(n int) []assigner.Host {
	out, _ := query(c.ctx, c, c.heardHosts)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

func (c *Cluster) heardHosts() []assigner.Host {
	var out []assigner.Host
	for _, h := range c.hosts {
		if h.Name != c.cfg.Self.Name && c.machine.HeardRecently(c.cfg.Clock(), h.Name) {
			out = append(out, h.Host)
		}
	}
	return out
}

// Relay implements hostlink.Handler.
func (c *Cluster) Relay(ctx context.Context, call *hostlink.Call) (*hostlink.CallAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.LimitMS)*time.Millisecond)
	defer cancel()
	out := &hostlink.CallAnswer{}
	var err error
	if call.Release {
		out.Handover, out.Result, err = c.backends.Release(ctx, call.Address, call.Range)
	} else {
		hold := time.Duration(call.HoldMS) * time.Millisecond
		out.Result, err = c.backends.Grant(ctx, call.Address, call.Range, hold, call.Handover)
	}
	if err != nil {
		c.write(event.RelayedCallFailed{Address: call.Address, Release: call.Release, Result: out.Result.String(), Error: err.Error()})
	}
	return out, nil
}

// askHosts tells every host to try the suspects, this one included.
func (c *Cluster) askHosts(list []assigner.Suspect) {
	c.views.change(func(v *View) {
		v.Suspects = list
		v.Asked = max(v.Asked+1, c.machine.Epoch()<<askedBits)
	})
	names := make([]string, 0, len(list))
	for _, s := range list {
		names = append(names, s.Holder.ID)
	}
	c.write(event.ServersSuspected{Servers: names})
	c.trySuspects(list)
}

// trySuspects connects to each suspect and reports what it found.
func (c *Cluster) trySuspects(list []assigner.Suspect) {
	for _, s := range list {
		c.call(tryTimeout, func(ctx context.Context) {
			c.noteTried(s, c.backends.Try(ctx, s.Address))
		})
	}
}

func (c *Cluster) noteTried(s assigner.Suspect, err error) {
	c.mu.Lock()
	if fault.IsRefused(err) {
		c.report.Refused = append(c.report.Refused, s.Holder)
	} else {
		c.report.Reached = append(c.report.Reached, s.Holder)
	}
	c.mu.Unlock()
	c.write(event.SuspectTried{Server: s.Holder.ID, Address: s.Address, Refused: fault.IsRefused(err), Error: event.ErrorText(err)})
	c.reportNow()
}
