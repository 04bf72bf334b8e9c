package ownership

import (
	"maps"
	"time"
)

// memberSet is the member set after the record at offset.
type memberSet struct {
	offset  Offset
	members map[MemberID]Member
}

// departedMember is a removed member whose requests and grants may still be outstanding.
type departedMember struct {
	since Instant // when the removal came into force on this host
}

// peerInfo is the last known status of a member, this host included.
type peerInfo struct {
	applied   Offset // acknowledged offset of the ownership stream
	catalog   Offset
	flags     map[flagKey]Offset // acknowledged flags
	holds     map[changeKey]Instant
	suspects  []Suspect
	doubts    []Suspect
	lastHeard Instant
}

func (m *Machine) peer(id MemberID) *peerInfo {
	info := m.peers[id]
	if info == nil {
		info = &peerInfo{flags: map[flagKey]Offset{}, holds: map[changeKey]Instant{}}
		m.peers[id] = info
	}
	return info
}

// trackMembership adds a membership record to the pending changes.
func (m *Machine) trackMembership(old *State, r Record) {
	c := &pendingChange{offset: m.state.Applied, before: old.Members, after: m.state.Members}
	for _, id := range r.Remove {
		if _, was := old.Members[id]; !was {
			continue
		}
		if r.Forced && r.Kind == RemoveRecord {
			m.forceRemoved[id] = true
		}
		idle := r.Idle && r.Kind == LeaveRecord && r.Author == id
		if !idle {
			c.departed++
		}
		m.removed = m.removed || id == m.cfg.Self.ID
	}
	for _, id := range replacedBy(old, r) {
		m.replaced[id] = true
		c.departed++
		m.removed = m.removed || id == m.cfg.Self.ID
	}
	m.members, m.otherList = nil, nil
	m.memberSets = append(m.memberSets, memberSet{offset: c.offset, members: c.after})
	m.pending = append(m.pending, c)
}

// others returns every other member of the current member sets, in sorted order.
func (m *Machine) others() []Member {
	if m.otherList != nil {
		return m.otherList
	}
	out := map[MemberID]Member{}
	for _, set := range m.memberSets {
		maps.Copy(out, set.members)
	}
	delete(out, m.cfg.Self.ID)
	m.otherList = sortedMembers(out)
	return m.otherList
}

// majority reports whether more than half of the members satisfy ok. Members
// that were removed by force are not counted. An empty set always has a majority.
// If the processes of half of the members or more have ended, no majority can be
// reached any more: then all remaining members must satisfy ok, so that nothing
// that one of them knows is missed.
func (m *Machine) majority(members map[MemberID]Member, ok func(MemberID) bool) bool {
	have, ended, total := 0, 0, 0
	for id := range members {
		if m.forceRemoved[id] {
			continue
		}
		total++
		if m.replaced[id] {
			ended++
		}
		if ok(id) {
			have++
		}
	}
	return 2*have > total || 2*ended >= total && have >= total-ended
}

func allMembers(members map[MemberID]Member, ok func(MemberID) bool) bool {
	for id := range members {
		if !ok(id) {
			return false
		}
	}
	return true
}

// isMember reports whether this host's join is in force and no removal of it has
// been applied.
func (m *Machine) isMember() bool {
	if m.released {
		return false
	}
	_, joined := m.memberSets[0].members[m.cfg.Self.ID]
	_, kept := m.state.Members[m.cfg.Self.ID]
	if !m.rules.stopOnRemoval {
		return joined || m.routed
	}
	return joined && kept && !m.removed
}

// hasLease reports whether this host is a member and holds a view lease at now.
func (m *Machine) hasLease(now Instant) bool {
	return now < m.lease && m.isMember()
}

// departedUntil returns when the requests of every removed member have ended,
// given that a request may take up to longest.
func (m *Machine) departedUntil(longest time.Duration) Instant {
	var until Instant
	for _, d := range m.departed {
		until = max(until, d.since+m.withDrift(longest))
	}
	return until
}

// unresponsiveRounds is the number of rounds without a message after which a member
// counts as unresponsive. A busy host must not appear unresponsive: another member
// would grant in its place, and a full grant that reaches a server just as it
// freezes is still valid when the server resumes.
const unresponsiveRounds = 4

// isUnresponsive reports whether a member sent no message for unresponsiveRounds
// rounds before the last round started. When no change is pending, two hosts
// exchange messages at least every second round.
func (m *Machine) isUnresponsive(id MemberID) bool {
	if id == m.cfg.Self.ID {
		return false
	}
	var heard Instant
	if info := m.peers[id]; info != nil {
		heard = info.lastHeard
	}
	return heard+unresponsiveRounds*m.cfg.Round < m.lastRoundAt
}
