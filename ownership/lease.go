package ownership

import "time"

const (
	minRoundGap    = 5 * time.Millisecond // minimum time between the starts of two rounds
	fullRoundEvery = 8                    // every n-th round asks every peer
)

// round is one confirmation round in progress.
type round struct {
	start     Instant
	asked     map[MemberID]bool
	acks      map[MemberID]bool
	confirmed bool
}

// requestFullRound starts a round that asks every peer, as soon as minRoundGap
// allows.
func (m *Machine) requestFullRound(now Instant) {
	if m.released {
		return
	}
	m.nextRoundFull = true
	if !m.started || now >= m.lastRoundAt+minRoundGap {
		m.startRound(now)
		return
	}
	m.nextRoundAt = min(m.nextRoundAt, m.lastRoundAt+minRoundGap)
}

func (m *Machine) startRound(now Instant) {
	m.started = true
	m.lastRoundAt = now
	m.nextRoundAt = now + m.cfg.Round
	m.roundNo++
	r := &round{start: now, asked: map[MemberID]bool{}, acks: map[MemberID]bool{m.cfg.Self.ID: true}}
	m.rounds[m.roundNo] = r
	for no, old := range m.rounds {
		if old.start+m.cfg.TTL < now {
			delete(m.rounds, no)
		}
	}
	m.sendConfirms(now, m.roundNo, m.roundPeers(now))
	m.nextRoundFull = false
	m.extendLease(r)
}

// sendConfirms sends the round's Confirm to those peers that it was not sent to yet.
func (m *Machine) sendConfirms(now Instant, no uint64, peers []Member) {
	r := m.rounds[no]
	for _, p := range peers {
		if r.asked[p.ID] {
			continue
		}
		r.asked[p.ID] = true
		m.actions = append(m.actions, Send{To: p, Msg: m.confirmTo(now, p.ID, no)})
	}
}

// roundPeers returns the peers that a round asks first. When no change is pending,
// a bare majority is enough, chosen round-robin from the peers that have answered
// recently.
func (m *Machine) roundPeers(now Instant) []Member {
	peers := m.others()
	unchanged := len(m.pending) == 0 && !m.flagsPending() && m.isMember()
	if m.nextRoundFull || !unchanged || m.roundNo%fullRoundEvery == 0 {
		return peers
	}
	need := len(m.memberSets[0].members) / 2
	first := int(m.roundNo) * need
	var out, silent []Member
	for i := range peers {
		p := peers[(first+i)%len(peers)]
		if m.peer(p.ID).lastHeard+2*m.cfg.Round < now {
			silent = append(silent, p)
			continue
		}
		out = append(out, p)
	}
	out = append(out, silent...)
	return out[:min(need, len(out))]
}

// askRemainingPeers asks the remaining peers when the newest round is not confirmed
// in time.
func (m *Machine) askRemainingPeers(now Instant) {
	r := m.rounds[m.roundNo]
	if r == nil || r.confirmed || now < r.start+m.cfg.Round/4 {
		return
	}
	m.sendConfirms(now, m.roundNo, m.others())
}

// HandleConfirm answers a peer's Confirm.
func (m *Machine) HandleConfirm(now Instant, msg Confirm) ConfirmReply {
	if m.released && m.rules.releaseSeat {
		return ConfirmReply{}
	}
	m.learnFlags(now, msg.Flags)
	m.updatePeer(now, msg)
	return ConfirmReply(m.confirmTo(now, msg.From, msg.Round))
}

// HandleReply processes a peer's answer to a Confirm.
func (m *Machine) HandleReply(now Instant, msg ConfirmReply) {
	if m.released || msg.From == "" {
		return
	}
	m.learnFlags(now, msg.Flags)
	// An answer counts only if this host has applied every record that the peer
	// has acknowledged: otherwise a newer record may be in force that this host
	// does not know. The flags that the peer acknowledged are merged above.
	if r := m.rounds[msg.Round]; r != nil && r.asked[msg.From] && msg.Applied <= m.state.Applied {
		r.acks[msg.From] = true
		m.extendLease(r)
	}
	m.updatePeer(now, Confirm(msg))
}

// updatePeer records what a peer has acknowledged, what it has outstanding, and
// which servers it suspects or doubts.
func (m *Machine) updatePeer(now Instant, msg Confirm) {
	info := m.peer(msg.From)
	info.lastHeard = now
	info.catalog = max(info.catalog, msg.Catalog)
	m.updatePeerHolds(now, info, msg)
	info.applied = max(info.applied, msg.Applied)
	// A peer that has applied more records may have acknowledged the flag for an
	// assignment that this host does not know.
	if msg.Applied <= m.state.Applied {
		for _, f := range msg.Flags {
			info.flags[f.key()] = max(info.flags[f.key()], f.Upto)
		}
	}
	info.suspects = msg.Suspects
	m.updatePeerDoubts(info, msg.Doubts)
	m.raiseFlags(now)
	m.advance(now)
}

// extendLease extends the lease if r is acknowledged by a majority of every current
// member set. An empty set, as before the first record, confirms nothing: otherwise
// a host that catches up later would keep a lease that no member knows of.
func (m *Machine) extendLease(r *round) {
	for _, set := range m.memberSets {
		if len(set.members) == 0 || !m.majority(set.members, func(id MemberID) bool { return r.acks[id] }) {
			return
		}
	}
	r.confirmed = true
	m.lease = max(m.lease, r.start+m.cfg.TTL-m.cfg.Margin)
}

// confirmTo returns the message for a peer, used both as request and as reply.
func (m *Machine) confirmTo(now Instant, to MemberID, no uint64) Confirm {
	return Confirm{
		From:     m.cfg.Self.ID,
		To:       to,
		Round:    no,
		Applied:  m.acked,
		Catalog:  m.catalog,
		Flags:    m.ackedFlags,
		Suspects: m.ownSuspects(),
		Doubts:   m.ownDoubts(),
		Holds:    m.ownHolds(now),
	}
}
