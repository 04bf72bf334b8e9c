package ownership

import "slices"

// applyAttestation takes in what an accepted record says of others' knowledge: which
// records its author knew to be in force, and which flags a resigning author
// had acknowledged. That a record is in force stays true once it was: whoever
// had not applied it by then has lost its lease.
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

// bringAttestedIntoForce brings into force what others knew to be in force. It waits
// until this host holds nothing itself: a record may name the owner that a flag
// has made, and then what is held for the flag is not held for the record.
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
// record at offset. One that has resigned does: it answers no confirmation any
// more, so no lease is renewed through it, and the flags it knew stand in its
// record. Only the wait of a lease time is not spared for it.
func (m *Machine) acknowledged(id MemberID, offset Offset) bool {
	return m.ackedOffset(id) >= offset || m.resigned[id]
}

// replacedBy returns the members that the joining of r's member has replaced:
// earlier processes of the same host at the same address. The address can be
// taken only once the earlier process has ended.
func replacedBy(old *State, r Record) []MemberID {
	if r.Kind != JoinRecord {
		return nil
	}
	return old.earlierProcesses(*r.Member)
}

// earlierProcesses returns the earlier processes of m's host at m's address, in sorted order.
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

// Resign gives up this host's seat for good and returns the record that says
// so, with the seat for a peer to keep in case the log cannot take the record.
// The machine routes nothing and acknowledges nothing from then on.
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
