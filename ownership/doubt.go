package ownership

import (
	"maps"
	"slices"
)

// SetDoubt records whether this host doubts that a backend server works. A doubt
// moves no shard. It makes the peers probe the server themselves, so that a second
// member can agree as soon as this host judges the server lost.
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

// updatePeerDoubts records which servers a peer doubts. Those that it did not
// doubt before are returned by NewPeerDoubts.
func (m *Machine) updatePeerDoubts(info *peerInfo, doubts []Suspect) {
	for _, d := range doubts {
		if !slices.Contains(info.doubts, d) {
			m.newPeerDoubts = append(m.newPeerDoubts, d)
		}
	}
	info.doubts = doubts
}

// NewPeerDoubts returns the servers that peers have started to doubt since the
// last call.
func (m *Machine) NewPeerDoubts() []Suspect {
	out := m.newPeerDoubts
	m.newPeerDoubts = nil
	return out
}
