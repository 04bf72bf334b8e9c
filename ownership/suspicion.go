package ownership

import (
	"maps"
	"slices"
	"time"
)

// suspicionTTL is how long a peer's suspicion is valid after its last message.
const suspicionTTL = 2 * time.Second

// SetSuspect sets this host's own judgement of a backend server. A flag is raised
// only once a second member agrees, unless there is only one member.
func (m *Machine) SetSuspect(now Instant, s Suspect, lost bool) {
	key := flagKey{s.Service, s.Server}
	old, was := m.suspects[key]
	if was == lost && (!lost || old == s) {
		return
	}
	if lost {
		m.suspects[key] = s
	} else {
		delete(m.suspects, key)
	}
	m.raiseFlags(now)
	m.requestFullRound(now)
}

func (m *Machine) ownSuspects() []Suspect {
	if len(m.suspects) == 0 {
		return nil
	}
	out := make([]Suspect, 0, len(m.suspects))
	for _, key := range slices.SortedFunc(maps.Keys(m.suspects), flagKey.compare) {
		out = append(out, m.suspects[key])
	}
	return out
}

// raiseFlags raises a flag for each server that this host and another member judge
// lost. A host without a lease raises none: it may itself be cut off.
func (m *Machine) raiseFlags(now Instant) {
	if len(m.suspects) == 0 || !m.hasLease(now) {
		return
	}
	var flags []Flag
	for _, s := range m.ownSuspects() {
		if !m.suspectedByPeer(now, s.Service, s.Server) {
			continue
		}
		table := m.state.Tables[s.Service]
		if table == nil {
			continue
		}
		upto := table.lastRecordNaming(s.Server, m.state.Applied)
		if upto > m.flagged(s.Service, s.Server) {
			flags = append(flags, Flag{Service: s.Service, Server: s.Server, Upto: upto})
		}
	}
	m.mergeFlags(now, flags)
}

// suspectedByPeer reports whether another member also suspects the server. The only
// member needs no other.
func (m *Machine) suspectedByPeer(now Instant, service, server string) bool {
	if len(m.state.Members) == 1 {
		return true
	}
	return m.suspectedElsewhere(now, func(s Suspect) bool {
		return s.Service == service && s.Server == server
	})
}

// endedElsewhere reports whether another member found that the server's process has
// ended.
func (m *Machine) endedElsewhere(now Instant, service, server string) bool {
	return m.suspectedElsewhere(now, func(s Suspect) bool {
		return s.Gone && s.Service == service && s.Server == server
	})
}

func (m *Machine) suspectedElsewhere(now Instant, match func(Suspect) bool) bool {
	return m.countSuspecting(now, match) > 0
}

// countSuspecting returns how many other members have a suspect that matches.
func (m *Machine) countSuspecting(now Instant, match func(Suspect) bool) int {
	n := 0
	for id := range m.state.Members {
		info := m.peers[id]
		if id == m.cfg.Self.ID || info == nil || info.lastHeard+suspicionTTL < now {
			continue
		}
		if slices.ContainsFunc(info.suspects, match) {
			n++
		}
	}
	return n
}

// agreedLost reports whether two members judge the server lost, or the only member.
func (m *Machine) agreedLost(now Instant, service, server string) bool {
	votes := m.countSuspecting(now, func(s Suspect) bool {
		return s.Service == service && s.Server == server
	})
	if _, own := m.suspects[flagKey{service, server}]; own {
		votes++
	}
	return votes >= min(2, len(m.state.Members)) && votes > 0
}
