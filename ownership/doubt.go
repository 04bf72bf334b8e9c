package ownership

import (
	"maps"
	"slices"
)

// SetDoubt tells the machine that this host begins or ceases to doubt a backend
// server. A doubt moves nothing: it tells the peers to look for themselves, so
// that a second member can agree as soon as this host judges the server lost.
func (m *Machine) SetDoubt(now Instant, service, server string, on bool) {
	key := flagKey{service, server}
	if m.doubts[key] == on {
		return
	}
	if !on {
		delete(m.doubts, key)
		return
	}
	m.doubts[key] = true
	m.requestFullRound(now)
}

func (m *Machine) ownDoubts() []Suspect {
	if len(m.doubts) == 0 {
		return nil
	}
	out := make([]Suspect, 0, len(m.doubts))
	for _, key := range slices.SortedFunc(maps.Keys(m.doubts), flagKey.compare) {
		out = append(out, Suspect{Service: key.service, Server: key.server})
	}
	return out
}

// updatePeerDoubts notes which servers a peer doubts, and keeps those it did not
// doubt before for Alerts.
func (m *Machine) updatePeerDoubts(info *peerInfo, doubts []Suspect) {
	for _, d := range doubts {
		if !slices.Contains(info.doubts, d) {
			m.newPeerDoubts = append(m.newPeerDoubts, d)
		}
	}
	info.doubts = doubts
}

// NewPeerDoubts returns the servers that a peer has begun to doubt since the last call.
func (m *Machine) NewPeerDoubts() []Suspect {
	out := m.newPeerDoubts
	m.newPeerDoubts = nil
	return out
}
