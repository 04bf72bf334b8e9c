package assigner

import "time"

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

// tickLeading confirms the epoch, plans, grants and releases, and publishes the map.
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

// planWhenDue makes a plan once per planInterval, unless an append is outstanding.
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

// storeDegraded reports whether the last confirmation failed or is late.
func (m *Machine) storeDegraded(now Time) bool {
	return m.confirmFailed || m.confirming && now-m.confirmStarted > slowConfirmation
}

// StoreDegraded reports whether this host leads and its last confirmation failed or
// is late.
func (m *Machine) StoreDegraded(now Time) bool { return m.role == leading && m.storeDegraded(now) }

// confirm starts a confirmation every ConfirmEvery, unless one is outstanding.
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
