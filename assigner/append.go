package assigner

// append starts the append of a record.
func (m *Machine) append(rec Record, moves []Move) {
	m.pending, m.pendingAt = &rec, m.end
	m.storeBusy = true
	if m.omit.record && m.role == leading {
		m.adopt(m.plannedAt, rec)
	}
	m.emit(Append{At: m.end, Record: rec, Moves: moves})
}

// StepAppended processes the result of an Append.
func (m *Machine) StepAppended(now Time, e Appended) {
	m.storeBusy = false
	if m.pending == nil {
		return
	}
	switch e.Result {
	case StoreOK:
		rec := *m.pending
		m.pending, m.end = nil, e.End
		m.known = rec
		if m.role == leading {
			m.confirmedAt = max(m.confirmedAt, e.Start)
			m.adopt(now, rec)
		} else if !m.resigned {
			m.startEpoch(now, e.Start)
		}
	case StoreConflict, StoreInDoubt:
		// Only a read of the store shows whose record was appended first.
		m.storeBusy = true
		m.emit(Load{})
		if m.role == claiming {
			m.role = follower
		}
	case StoreFailed:
		m.storeRetryAt = now + storeRetryDelay
		m.pending = nil
		if m.role == claiming {
			m.role = follower
		}
	}
}

// resolvePending resolves an append that is in doubt, and reports whether this
// completes the handling of the load. The record is appended again only while the
// partition still ends at the offset of the first attempt: what this host has since
// heard from others does not tell what the store contains.
func (m *Machine) resolvePending(now Time, e Loaded, rec Record) bool {
	p := *m.pending
	if rec.Assigner == p.Assigner && rec.Version() == p.Version() {
		m.StepAppended(now, Appended{Result: StoreOK, Start: e.Start, End: e.End})
		return true
	}
	if e.End == m.pendingAt || m.omit.samePlace {
		m.storeBusy = true // the same record at the same offset: a late first append changes nothing
		m.emit(Append{At: m.end, Record: p})
		return true
	}
	m.pending = nil
	return false
}
