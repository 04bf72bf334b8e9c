package ownership

import "slices"

// applyAttestation uses what an accepted record says about its author: which
// records the author knew to be in force and, if it resigned, which flags it had
// acknowledged. A record that has come into force remains in force, because every
// host that had not applied it by then has lost its lease.
func (m *Machine) applyAttestation(now Instant, r Record) {
	m.attested = max(m.attested, min(r.Active, m.state.Applied))
	if r.Kind == CheckpointRecord {
		m.attested = max(m.attested, r.Checkpoint.Through)
	}
	if r.Kind != LeaveRecord || !r.Idle {
		return
	}
	m.mergeFlags(now, r.Flags)
	m.resigned[r.Author] = true
}

// bringAttestedIntoForce brings into force the records that other hosts attested
// to be in force. It waits until this host has nothing outstanding: a record may
// assign the owner that a flag has already put in place, and then what is
// outstanding for the flag is not registered for the record.
func (m *Machine) bringAttestedIntoForce(now Instant) {
	if len(m.queries) > 0 || now <= m.inheritedUntil {
		return
	}
	for len(m.pending) > 0 && m.pending[0].offset <= m.attested {
		m.bringIntoForce(now, m.pending[0])
		m.pending = m.pending[1:]
		m.readyCount = max(0, m.readyCount-1)
	}
}

// acknowledged reports whether a member counts towards the majorities of the
// record at offset. A resigned member counts: it no longer answers confirmations,
// so no lease is renewed through it, and its leave record lists the flags it knew.
// The wait for one lease duration still applies to it.
func (m *Machine) acknowledged(id MemberID, offset Offset) bool {
	return m.ackedOffset(id) >= offset || m.resigned[id]
}

// replacedBy returns the members that the join record r replaces: earlier
// processes of the same host at the same address. The new process could bind the
// address only after the earlier process had ended.
func replacedBy(old *State, r Record) []MemberID {
	if r.Kind != JoinRecord {
		return nil
	}
	return old.earlierProcesses(*r.Member)
}

// earlierProcesses returns the earlier processes of m's host at m's address, in
// sorted order.
func (s *State) earlierProcesses(m Member) []MemberID {
	var out []MemberID
	for id, x := range s.Members {
		if id != m.ID && x.Host == m.Host && x.PeerAddr == m.PeerAddr && x.Started < m.Started {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Resign permanently gives up this host's seat. It returns the leave record, and
// the seat for a peer to keep in case the log does not accept the record. From
// then on the machine routes and acknowledges nothing.
func (m *Machine) Resign(now Instant) (Record, Seat, error) {
	seat, err := m.ReleaseSeat(now)
	if err != nil {
		return Record{}, Seat{}, err
	}
	r := m.LeaveRecord()
	r.Idle = true
	r.Active = seat.Active
	for _, f := range seat.Flags {
		r.Flags = append(r.Flags, f.Flag)
	}
	return r, seat, nil
}
