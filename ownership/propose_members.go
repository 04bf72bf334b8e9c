package ownership

import (
	"fmt"
	"slices"
	"time"
)

const (
	// memberTimeout is how long a member may be silent before it is removed.
	memberTimeout = 10 * time.Second
	// replacedTimeout is the same for a member whose host has joined again.
	replacedTimeout = time.Second
	// memberCheckInterval separates two looks at the members.
	memberCheckInterval = 250 * time.Millisecond
	// removalBatchDelay is how long a removal waits for others that were lost
	// together: hosts hear of each other at different moments.
	removalBatchDelay = 2 * time.Second
	// removalRetryDelay is how long a proposed removal may take to show.
	removalRetryDelay = 5 * time.Second
	// membersSubject is what hosts rank themselves for to propose removals.
	membersSubject = "members"
)

// memberWatch is what a host knows of silent members.
type memberWatch struct {
	nextCheck Instant
	firstSeen map[MemberID]Instant // when a member was first known or heard of
	agreedAt  Instant              // since when a removal is agreed; 0 when none is
	retryAt   Instant
}

// watchMembers suspects members that fell silent and proposes to remove those
// that a second member suspects too. Until then they count for every majority,
// so that one host after another could go until none is left. A member that
// was merely cut off joins again as a new incarnation, and no key moves.
func (m *Machine) watchMembers(now Instant) {
	w := &m.watch
	if now < w.nextCheck {
		return
	}
	w.nextCheck = now + memberCheckInterval
	var remove []MemberID
	for _, id := range m.state.MemberIDs() {
		if id == m.cfg.Self.ID {
			continue
		}
		m.SetSuspect(now, memberSuspect(id), m.isSilent(now, id))
		if m.agreedLost(now, "", string(id)) {
			remove = append(remove, id)
		}
	}
	m.withdrawStaleSuspicions(now)
	m.proposeRemoval(now, remove)
}

// memberSuspect names a member in the place of a backend server.
func memberSuspect(id MemberID) Suspect { return Suspect{Server: string(id)} }

func (m *Machine) isSilent(now Instant, id MemberID) bool {
	if m.watch.firstSeen == nil {
		m.watch.firstSeen = map[MemberID]Instant{}
	}
	if _, ok := m.watch.firstSeen[id]; !ok {
		m.watch.firstSeen[id] = now
	}
	last := max(m.watch.firstSeen[id], m.peer(id).lastHeard)
	if m.isReplaced(id) {
		return now > last+replacedTimeout
	}
	return now > last+memberTimeout
}

// isReplaced reports whether another incarnation of the member's host is a member.
func (m *Machine) isReplaced(id MemberID) bool {
	host := m.state.Members[id].Host
	for other, member := range m.state.Members {
		if other != id && member.Host == host {
			return true
		}
	}
	return false
}

// withdrawStaleSuspicions withdraws suspicions of those who are members no more.
func (m *Machine) withdrawStaleSuspicions(now Instant) {
	for _, s := range m.ownSuspects() {
		if s.Service != "" {
			continue
		}
		if _, ok := m.state.Members[MemberID(s.Server)]; !ok {
			m.SetSuspect(now, s, false)
			delete(m.watch.firstSeen, MemberID(s.Server))
		}
	}
}

func (m *Machine) proposeRemoval(now Instant, remove []MemberID) {
	w := &m.watch
	if len(remove) == 0 || !m.mayPropose(now) {
		w.agreedAt = 0
		return
	}
	if w.agreedAt == 0 {
		w.agreedAt = now
	}
	due := w.agreedAt + removalBatchDelay + time.Duration(m.rank(membersSubject))*rankDelay
	if now < due || now < w.retryAt {
		return
	}
	w.retryAt = now + removalRetryDelay
	slices.Sort(remove)
	m.actions = append(m.actions, Append{Record: Record{
		ID:     m.recordID(),
		Author: m.cfg.Self.ID,
		Cause:  fmt.Sprintf("%d silent, agreed by two members", len(remove)),
		Kind:   RemoveRecord,
		Remove: remove,
	}})
}
