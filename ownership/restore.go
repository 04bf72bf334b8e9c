package ownership

import "github.com/lacewingsaddle/lacewingsaddle/fault"

// Restore replaces the machine's state by one that is in force: a checkpoint, or
// what InForce returned on another host. An older state is rejected. A host that
// has not applied a record in force must not have a lease, so this host's lease
// ends.
func (m *Machine) Restore(now Instant, s *State) error {
	if s.Applied < m.state.Applied {
		return fault.Newf(fault.Superseded, "state at offset %d is older than the applied offset %d", s.Applied, m.state.Applied)
	}
	if s.Applied == m.state.Applied {
		return nil
	}
	old := m.state
	_, was := old.Members[m.cfg.Self.ID]
	_, is := s.Members[m.cfg.Self.ID]
	m.removed = m.removed || was && !is
	m.state, m.inForce, m.active = s, s, s.Applied
	m.memberSets = []memberSet{{offset: s.Applied, members: s.Members}}
	m.pending, m.readyCount = nil, 0
	clear(m.previous)
	m.members, m.otherList = nil, nil
	m.view = nil
	m.lease = 0
	clear(m.rounds)
	// Members whose removal this host did not apply may have requests in flight.
	m.departed = append(m.departed, departedMember{since: now})
	for service, table := range s.Tables {
		m.dirty[service] = true
		m.queryChangedShards(service, old.Tables[service], table, s.Applied)
	}
	m.pruneFlags()
	m.acknowledge(now)
	m.advance(now)
	return nil
}

// queryChangedShards adds an OutstandingQuery for each placement of after, of a shard
// or a pinned key, whose record differs from that of the shard in before.
func (m *Machine) queryChangedShards(service string, before, after *Table, at Offset) {
	if before == nil {
		return
	}
	after.each(func(shard Shard, _ string, p Placement) {
		if before.Shards[shard].Record != p.Record {
			q := OutstandingQuery{Service: service, Shard: shard, Below: MakeToken(p.Record, m.knownRank(service, p))}
			m.addQuery(q, changeKey{record: at})
		}
	})
}
