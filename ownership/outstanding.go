package ownership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// OutstandingQuery asks how long requests and grants for a shard under tokens below
// Below may still be outstanding.
//
// After each step the caller publishes View and then answers every query of
// HeldQueries from its Holders. Until then the machine acknowledges none of the
// changes that the queries belong to.
type OutstandingQuery struct {
	Service string
	Shard   Shard
	Below   Token
	// GrantsOnly says that only grants count. The servers check grants, and the
	// grants under the old tokens end, so a request that has not begun by then
	// is refused; and the old owner is lost or stays the owner.
	GrantsOnly bool
}

// changeKey names the change that a hold belongs to: a record, or else a flag.
type changeKey struct {
	record Offset
	flag   flagKey
}

func (h Hold) key() changeKey {
	if h.Record != 0 {
		return changeKey{record: h.Record}
	}
	return changeKey{flag: flagKey{h.Service, h.Server}}
}

// queryState is an outstanding HeldQuery.
type queryState struct {
	keys      []changeKey // the changes it belongs to
	reported  bool
	inherited bool // of a seat's former host: the caller cannot answer it
	until     Instant
}

// addQuery asks for the holds of a change. A query that is outstanding is asked
// anew. A host that never routed holds nothing.
func (m *Machine) addQuery(q OutstandingQuery, key changeKey) {
	if !m.routed {
		return
	}
	x := m.queries[q]
	if x == nil {
		x = &queryState{}
		m.queries[q] = x
		m.unreported++
	} else if x.reported {
		x.reported = false
		m.unreported++
	}
	if !slices.Contains(x.keys, key) {
		x.keys = append(x.keys, key)
	}
}

// OutstandingQueries returns the queries to answer, in a fixed order. A query is
// returned again until its answer is that nothing is outstanding.
func (m *Machine) OutstandingQueries() []OutstandingQuery {
	if len(m.queries) == 0 {
		return nil
	}
	out := make([]OutstandingQuery, 0, len(m.queries))
	for q, x := range m.queries {
		if !x.inherited {
			out = append(out, q)
		}
	}
	slices.SortFunc(out, func(a, b OutstandingQuery) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Below, b.Below), compareBools(a.GrantsOnly, b.GrantsOnly))
	})
	return out
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// ReportOutstanding answers a query: everything outstanding ends at until at the
// latest; 0 means that nothing is outstanding.
func (m *Machine) ReportOutstanding(now Instant, q OutstandingQuery, until Instant) {
	x := m.queries[q]
	if x == nil || x.inherited {
		return
	}
	until = max(until, m.inheritedUntil)
	if x.reported {
		until = min(until, x.until)
	} else {
		until = max(until, x.until)
		x.reported = true
		m.unreported--
	}
	x.until = until
	m.acknowledge(now)
	m.advance(now)
}

// expireQueries drops the queries of which nothing is outstanding any more.
func (m *Machine) expireQueries(now Instant) {
	ended := false
	for q, x := range m.queries {
		if x.reported && x.until <= now {
			delete(m.queries, q)
			ended = true
		}
	}
	// The others wait for the end of the last one.
	if ended && m.unreported == 0 && len(m.queries) == 0 {
		m.requestFullRound(now)
	}
}

// acknowledge makes this host acknowledge everything it knows, once every
// query is answered.
func (m *Machine) acknowledge(now Instant) {
	if m.unreported > 0 || m.released {
		return
	}
	flags := m.flagList()
	changed := len(m.pending) > 0 && m.acked < m.pending[len(m.pending)-1].offset
	if !slices.Equal(flags, m.ackedFlags) {
		m.ackedFlags = flags
		changed = true
	}
	m.acked = m.state.Applied
	self := m.peer(m.cfg.Self.ID)
	self.applied = m.acked
	for _, f := range flags {
		self.flags[f.key()] = max(self.flags[f.key()], f.Upto)
	}
	if changed {
		m.requestFullRound(now)
	}
}

// ownHolds returns what this host still holds of the changes it acknowledged.
func (m *Machine) ownHolds(now Instant) []Hold {
	if len(m.queries) == 0 {
		return nil
	}
	left := map[changeKey]time.Duration{}
	for _, x := range m.queries {
		if x.until <= now {
			continue
		}
		for _, key := range x.keys {
			left[key] = max(left[key], x.until-now)
		}
	}
	out := make([]Hold, 0, len(left))
	for _, key := range slices.SortedFunc(maps.Keys(left), compareChangeKeys) {
		out = append(out, Hold{Record: key.record, Service: key.flag.service, Server: key.flag.server, Left: left[key]})
	}
	return out
}

func compareChangeKeys(a, b changeKey) int {
	return cmp.Or(cmp.Compare(a.record, b.record), a.flag.compare(b.flag))
}

// updatePeerHolds takes in a peer's holds. A hold counts from the message that first
// acknowledges its change, only shrinks, and has ended once a later message
// that acknowledges the change leaves it out. Messages may arrive out of order.
func (m *Machine) updatePeerHolds(now Instant, info *peerInfo, msg Confirm) {
	reported := map[changeKey]Instant{}
	for _, h := range msg.Holds {
		reported[h.key()] = now + m.withDrift(h.Left)
	}
	flags := map[flagKey]Offset{}
	for _, f := range msg.Flags {
		flags[f.key()] = f.Upto
	}
	for key, until := range info.holds {
		acked := key.record != 0 && key.record <= msg.Applied ||
			key.record == 0 && flags[key.flag] >= info.flags[key.flag]
		if next, ok := reported[key]; ok {
			info.holds[key] = min(until, next)
		} else if acked {
			delete(info.holds, key)
		}
	}
	for key, until := range reported {
		first := key.record > info.applied || key.record == 0 && flags[key.flag] > info.flags[key.flag]
		if first {
			info.holds[key] = max(info.holds[key], until)
		}
	}
}

// anyOutstanding reports whether a member still holds something of the change.
func (m *Machine) anyOutstanding(now Instant, members map[MemberID]Member, key changeKey) bool {
	for id := range members {
		if info := m.peers[id]; info != nil && info.holds[key] >= now {
			return true
		}
	}
	for _, x := range m.queries {
		if slices.Contains(x.keys, key) && (!x.reported || x.until > now) {
			return true
		}
	}
	return false
}
