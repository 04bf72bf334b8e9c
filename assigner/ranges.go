package assigner

import (
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// rangeState is a recorded range and the progress of its releases and grant.
type rangeState struct {
	service string
	keyrange.Range
	movedAt Time
	// freeAt is when no earlier holder can hold the range any longer.
	freeAt Time
	// heldUntil is the latest moment at which the owner may hold the range.
	heldUntil Time
	// heldBefore is the value of heldUntil without the outstanding grant, whose
	// duration is sentHold.
	heldBefore Time
	sentHold   time.Duration
	handover   string

	grantOutstanding bool
	needsToken       bool // the owner has seen a higher token
	// unproven is set until grants from earlier assigners no longer count: the owner has
	// accepted a grant under a token of this epoch in a response that is certainly to that
	// grant, or its hold lasts at least as long as any of theirs.
	unproven  bool
	nextGrant Time
	releases  []*releaseCall
}

// releaseCall is the state of a range's release at one earlier holder.
type releaseCall struct {
	holder      keyrange.Holder
	outstanding bool
	retryAt     Time
}

func newRangeState(service string, r keyrange.Range, bound, moved Time) *rangeState {
	return &rangeState{service: service, Range: r, freeAt: bound, heldUntil: bound, movedAt: moved}
}

func (r *rangeState) matches(service string, other keyrange.Range) bool {
	return r.service == service && r.From == other.From && r.To == other.To && r.SameGrant(other)
}

// mayBeHeldBy reports whether a server may hold keys of the range under some grant.
func (r *rangeState) mayBeHeldBy(h keyrange.Holder) bool {
	return r.Owner == h || slices.Contains(r.Prior, h)
}

func (r *rangeState) removePrior(h keyrange.Holder) {
	r.Prior = slices.DeleteFunc(slices.Clone(r.Prior), func(p keyrange.Holder) bool { return p == h })
}

func (r *rangeState) releaseOf(h keyrange.Holder) *releaseCall {
	for _, c := range r.releases {
		if c.holder == h {
			return c
		}
	}
	c := &releaseCall{holder: h}
	r.releases = append(r.releases, c)
	return c
}

// advanceRange releases the range at its earlier holders, then grants it and renews
// the grant.
func (m *Machine) advanceRange(now Time, r *rangeState, hold time.Duration) {
	if r.Owner.ID == "" {
		return
	}
	if len(r.Prior) > 0 {
		m.releasePrior(now, r)
	}
	if len(r.Prior) > 0 || r.grantOutstanding || now < r.nextGrant {
		return
	}
	addr := m.address(r.Owner)
	if addr == "" {
		return
	}
	r.grantOutstanding = true
	r.nextGrant = now + m.cfg.RenewEvery
	r.sentHold = hold
	r.heldBefore = r.heldUntil
	r.heldUntil = max(r.heldUntil, now+MaxGrantDelay+m.holdEnd(hold))
	m.emit(Grant{
		Service:  r.service,
		Address:  addr,
		Range:    r.Range,
		Hold:     hold,
		Handover: r.handover,
		Decisive: r.unproven || !r.Granted,
	})
}

// releasePrior removes the earlier holders that have ended or whose holds have
// expired, and sends releases to the others.
func (m *Machine) releasePrior(now Time, r *rangeState) {
	for _, h := range r.Prior {
		if h == r.Owner || now >= r.freeAt || m.replaced(h) {
			r.removePrior(h)
			continue
		}
		c := r.releaseOf(h)
		addr := m.addressOfID(h)
		if c.outstanding || now < c.retryAt || addr == "" {
			continue
		}
		c.outstanding = true
		released := r.Range
		if m.omit.raisedFence {
			released.Fence = 0
		}
		m.emit(Release{Service: r.service, Address: addr, Range: released, Holder: h})
	}
}

// replaced reports whether the directory shows that h has ended and that no grant for
// it can reach a process any more: its id is listed with a later start at another
// address, or another id with a later start at its address. A restart under the same
// id and address is not enough: the new process may have accepted a renewal that was
// meant for h.
func (m *Machine) replaced(h keyrange.Holder) bool {
	addr := m.load.address(h)
	if addr == "" {
		return false
	}
	if v := m.servers.Find(h.ID); v != nil {
		return v.Holder.StartedMS > h.StartedMS && v.Address != addr
	}
	for i := range m.servers.Servers {
		v := &m.servers.Servers[i]
		if v.Address == addr && v.Holder.StartedMS > h.StartedMS {
			return true
		}
	}
	return false
}

// addressOfID returns the address of the process that now runs under a holder's id.
func (m *Machine) addressOfID(h keyrange.Holder) string {
	if v := m.servers.Find(h.ID); v != nil {
		return v.Address
	}
	return m.load.address(h)
}

// StepGranted processes the result of a Grant. The range may have been split while the
// call was in flight.
func (m *Machine) StepGranted(now Time, e Granted) {
	for _, r := range m.ranges {
		if !r.SameGrant(e.Range) || r.service != e.Service {
			continue
		}
		if r.From < e.Range.From || r.To > e.Range.To {
			continue
		}
		m.applyGranted(now, r, e)
	}
}

// applyGranted applies the result of a grant to a range that it was for.
func (m *Machine) applyGranted(now Time, r *rangeState, e Granted) {
	r.grantOutstanding = false
	if !e.Result.Sent() {
		r.heldUntil = r.heldBefore
	}
	switch e.Result {
	case CallOK:
		m.recordGrant(now, r, e.Attributed)
	case CallRefused:
		r.nextGrant = now + callRetryDelay
		m.recordRefusal(now, m.cfg.Self.Name, r.Owner)
		m.recordUnanswered(now, r.Owner)
	case CallFenced:
		if r.From == e.Range.From && r.To == e.Range.To {
			m.requireHigherToken(now, r)
		} // else the range was split while the call was in flight
	default:
		r.nextGrant = now + callRetryDelay
		m.recordUnanswered(now, r.Owner)
	}
}

// recordGrant records that a range's owner has accepted its grant. The hold begins when
// the call arrives, which is before its answer.
//
// A response that may be to an earlier call ends no wait: of the holds that the server may
// have, the longest counts. That the range counts as granted then only tells hosts where to
// send its requests, which the server rejects if it does not hold the keys.
func (m *Machine) recordGrant(now Time, r *rangeState, attributed bool) {
	end := now + m.holdEnd(r.sentHold)
	if r.unproven && attributed {
		r.heldBefore = 0 // grants under earlier tokens no longer count
	}
	r.heldUntil = max(r.heldBefore, end)
	if r.heldUntil == end {
		r.unproven = false
	}
	m.suspects.answered(r.Owner)
	if !r.Granted {
		r.Granted = true
		m.dirty = true
	}
}

// recordUnanswered records that a server did not answer a grant.
func (m *Machine) recordUnanswered(now Time, h keyrange.Holder) {
	if m.suspects.unanswered(now, h) {
		m.plannedAt = 0
	}
}

// requireHigherToken marks a range for a new token after its owner has seen a higher
// one: a release whose answer was lost may have raised it.
func (m *Machine) requireHigherToken(now Time, r *rangeState) {
	r.nextGrant = now + callRetryDelay
	r.Granted = false
	r.needsToken = true
	m.dirty = true
	m.plannedAt = 0
}

// StepReleased processes the result of a Release.
func (m *Machine) StepReleased(now Time, e Released) {
	if e.Result == CallRefused {
		m.recordRefusal(now, m.cfg.Self.Name, e.Holder)
	}
	for _, r := range m.ranges {
		if m.omit.raisedFence {
			e.Range.Fence = r.Fence
		}
		if !r.matches(e.Service, e.Range) {
			continue
		}
		c := r.releaseOf(e.Holder)
		c.outstanding = false
		c.retryAt = now + callRetryDelay
		if e.Result == CallOK {
			r.removePrior(e.Holder)
			if e.Handover != "" {
				r.handover = e.Handover
			}
		}
	}
}

// address returns the address of a holder, or "" when neither the directory nor
// earlier directories list it.
func (m *Machine) address(h keyrange.Holder) string {
	if v := m.servers.Find(h.ID); v != nil && v.Holder == h {
		m.load.rememberAddress(h, v.Address)
		return v.Address
	}
	return m.load.address(h)
}
