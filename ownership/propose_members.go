package ownership

import (
	"fmt"
	"slices"
	"time"
)

const (
	// memberTimeout is how long a member may send nothing before it is suspected.
	memberTimeout = 10 * time.Second
	// replacedTimeout is the same for a member whose host has joined again.
	replacedTimeout = time.Second
	// memberCheckInterval is the time between two checks of the members.
	memberCheckInterval = 250 * time.Millisecond
	// removalBatchDelay is how long a removal waits, so that members that were
	// lost together are removed together: they exceed their timeouts at
	// different moments.
	removalBatchDelay = 2 * time.Second
	// removalRetryDelay is the time before a removal is proposed again.
	removalRetryDelay = 5 * time.Second
	// membersSubject is the subject by which hosts are ranked to propose removals.
	membersSubject = "members"
)

// memberWatch tracks members that are silent.
type memberWatch struct {
	nextCheck Instant
	firstSeen map[MemberID]Instant // when this host first saw the member
	agreedAt  Instant              // since when a removal has been agreed; 0 when none is
	retryAt   Instant
}

// watchMembers suspects members that are silent and proposes to remove those that
// two members suspect. A lost member that is not removed still counts towards the
// size of every majority, so hosts lost one after another would leave the rest
// without a majority. A member that was only cut off joins again as a new
// incarnation, and no key moves.
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

// memberSuspect returns a Suspect that names a member instead of a backend server.
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

// withdrawStaleSuspicions withdraws suspicions of hosts that are no longer members.
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
