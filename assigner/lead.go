package assigner

import (
	"sort"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// startEpoch begins to act under the epoch of the known record.
func (m *Machine) startEpoch(now, start Time) {
	m.role = leading
	m.confirmedAt = start
	m.confirming, m.confirmFailed = false, false
	m.ranges = nil
	m.load.reset(now)
	m.admission = newAdmission()
	m.admitted = Admission{}
	m.suspects.reset()
	m.change = m.known.Change
	// An earlier assigner may have renewed the grant of any holder until its lease
	// ended.
	bound := now + m.cfg.Lease + m.holdEnd(m.cfg.HoldMax) + MaxGrantDelay
	if m.omit.takeoverWait {
		bound = now
	}
	total := 0
	for _, t := range m.known.Tables {
		total += len(t.Ranges)
	}
	for _, t := range m.known.Tables {
		for _, r := range t.Ranges {
			r.Granted = false
			s := newRangeState(t.Service, r, bound, now-minMoveInterval)
			s.unproven = true
			s.nextGrant = now + time.Duration(len(m.ranges))*min(grantInterval, grantSpread/time.Duration(total))
			m.ranges = append(m.ranges, s)
		}
	}
	m.dirty = true
}

// holdEnd returns the longest time after its arrival for which a grant of duration
// hold can last.
func (m *Machine) holdEnd(hold time.Duration) time.Duration {
	return holdMargin + hold + time.Duration(float64(hold)*clockDrift)
}

func (m *Machine) tickLeading(now Time) {
	m.confirm(now)
	m.reloadInDoubt(now)
	if !m.mayAct(now) {
		return
	}
	m.resignIfLeading(now)
	if m.role != leading {
		return
	}
	m.requestProbes(now)
	m.planWhenDue(now)
	m.decideAdmission(now)
	hold := m.holdTime(now)
	for _, r := range m.ranges {
		m.advanceRange(now, r, hold)
	}
	if m.dirty && now-m.publishedAt >= m.publishDelay() {
		m.dirty = false
		m.publishedAt = now
		m.change++
		m.published = m.publishable()
		m.emit(Publish{Map: m.published})
	}
}

// reloadInDoubt reads the store while the last append is in doubt, also after the
// lease has ended: without the result this host could neither act nor step down.
func (m *Machine) reloadInDoubt(now Time) {
	if m.pending == nil || m.storeBusy || now < m.storeRetryAt {
		return
	}
	m.storeBusy = true
	m.emit(Load{})
}

// publishDelay returns the minimum interval between publications.
func (m *Machine) publishDelay() time.Duration {
	return publishInterval * time.Duration(max(m.suspects.registered, publishIntervalHosts)) / publishIntervalHosts
}

func (m *Machine) planWhenDue(now Time) {
	if m.resigned || m.pending != nil || m.storeBusy || now < m.storeRetryAt || now-m.plannedAt < planInterval {
		return
	}
	m.plannedAt = now
	m.plan(now)
}

// holdTime returns the duration of grants. As soon as the store becomes degraded,
// every grant is renewed at once for the longest duration, so that keys stay held
// through an outage.
func (m *Machine) holdTime(now Time) time.Duration {
	nowDegraded := m.storeDegraded(now)
	if nowDegraded && !m.degraded {
		for _, r := range m.ranges {
			r.nextGrant = min(r.nextGrant, now)
		}
	}
	m.degraded = nowDegraded
	if nowDegraded {
		return m.cfg.HoldMax
	}
	return m.cfg.Hold
}

func (m *Machine) storeDegraded(now Time) bool {
	return m.confirmFailed || m.confirming && now-m.confirmStarted > slowConfirmation
}

// StoreDegraded reports whether this host leads and its last confirmation failed or
// is late.
func (m *Machine) StoreDegraded(now Time) bool { return m.role == leading && m.storeDegraded(now) }

func (m *Machine) confirm(now Time) {
	if m.confirming || now-m.confirmStarted < m.cfg.ConfirmEvery {
		return
	}
	m.confirming = true
	m.confirmStarted = now
	m.emit(Confirm{})
}

// StepConfirmed processes the result of a Confirm.
func (m *Machine) StepConfirmed(now Time, e Confirmed) {
	m.confirming = false
	if m.role != leading {
		return
	}
	m.confirmFailed = e.Result != StoreOK && e.Result != StoreConflict
	if m.confirmFailed {
		return
	}
	if e.Result == StoreOK && e.End == m.end {
		m.confirmedAt = max(m.confirmedAt, e.Start)
		return
	}
	older := e.Result == StoreOK && e.End < m.end
	if m.storeBusy || m.pending != nil || older {
		return // an append of this host is in flight, or the read is older than one
	}
	m.storeBusy = true
	m.emit(Load{})
}

// currentMap returns the map of this assigner's present ranges.
func (m *Machine) currentMap() *keyrange.Map {
	out := &keyrange.Map{Version: keyrange.Version{Epoch: m.known.Epoch, Change: m.change}}
	for _, r := range m.ranges {
		n := len(out.Tables)
		if n == 0 || out.Tables[n-1].Service != r.service {
			out.Tables = append(out.Tables, keyrange.Table{Service: r.service})
			n++
		}
		out.Tables[n-1].Ranges = append(out.Tables[n-1].Ranges, r.Range)
	}
	return out
}

// publishable returns the map for the other hosts, in which LastChange is set for
// each range. It omits the earlier holders, which only the assigner needs.
func (m *Machine) publishable() *keyrange.Map {
	out := m.currentMap()
	for i := range out.Tables {
		before := m.published.Table(out.Tables[i].Service)
		for j := range out.Tables[i].Ranges {
			r := &out.Tables[i].Ranges[j]
			r.Prior = nil
			r.LastChange = m.change
			if before == nil || m.published.Version.Epoch != out.Version.Epoch {
				continue
			}
			old := before.Find(r.From)
			if old != nil && old.From == r.From && old.To == r.To && old.Granted == r.Granted && old.SameGrant(*r) {
				r.LastChange = old.LastChange
			}
		}
	}
	return out
}

// record returns a record of the present ranges.
func (m *Machine) record() Record {
	rec := m.known
	rec.Change = m.change + 1
	rec.Tables = nil
	for _, t := range m.currentMap().Tables {
		for i := range t.Ranges {
			t.Ranges[i].Granted = false
		}
		rec.Tables = append(rec.Tables, t)
	}
	return rec
}

// adopt replaces the ranges by those of a record that is now in the store.
func (m *Machine) adopt(now Time, rec Record) {
	old := m.ranges
	m.ranges = nil
	m.change = max(m.change, rec.Change)
	for _, t := range rec.Tables {
		for _, r := range t.Ranges {
			m.ranges = append(m.ranges, inherit(now, old, t.Service, r))
		}
	}
	m.dirty = true
}

// inherit builds the state of a recorded range from the ranges that it was split or
// merged from.
func inherit(now Time, old []*rangeState, service string, r keyrange.Range) *rangeState {
	i := sort.Search(len(old), func(i int) bool {
		return old[i].service > service || old[i].service == service && old[i].To >= r.From
	})
	if i == len(old) || old[i].service != service || !old[i].Contains(r.From) {
		return newRangeState(service, r, 0, now)
	}
	if src := old[i]; src.SameGrant(r) {
		out := *src
		out.From, out.To = r.From, r.To
		out.releases = nil
		return &out
	}
	bound := Time(0)
	for ; i < len(old) && old[i].service == service && old[i].From <= r.To; i++ {
		bound = max(bound, old[i].heldUntil)
		if len(old[i].Prior) > 0 {
			bound = max(bound, old[i].freeAt)
		}
	}
	s := newRangeState(service, r, bound, now)
	if s.unproven = len(r.Prior) == 0; !s.unproven {
		s.heldUntil = 0 // the new owner has no grant yet
	}
	return s
}
