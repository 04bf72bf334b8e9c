package ownership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// OutstandingQuery asks how long requests and grants for a shard, under tokens
// lower than Below, may still be outstanding.
//
// After each step the caller publishes View and then answers every query returned
// by OutstandingQueries from its OutstandingTrackers. Until then the machine
// acknowledges none of the changes that the queries belong to.
type OutstandingQuery struct {
	Service string
	Shard   Shard
	Below   Token
	// GrantsOnly means that only grants are to be considered. The servers check
	// grants, and the grants under the old tokens end, so a request that has not
	// started by then is refused; and the old owner is lost or remains the owner.
	GrantsOnly bool
}

// changeKey identifies the change that a query or hold belongs to: a record, or
// else a flag.
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

// queryState is the state of an unfinished OutstandingQuery.
type queryState struct {
	keys      []changeKey // the changes that wait for the query
	reported  bool
	inherited bool // from the previous host of a seat; the caller cannot answer it
	until     Instant
}

// addQuery adds a query for a change. A query that is unfinished has to be answered
// again. A host that never routed has nothing outstanding and needs no query.
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
// returned again until nothing is outstanding for it.
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

// ReportOutstanding answers a query: everything outstanding ends no later than
// until; 0 means that nothing is outstanding.
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

// expireQueries drops the queries for which nothing is outstanding any more.
func (m *Machine) expireQueries(now Instant) {
	ended := false
	for q, x := range m.queries {
		if x.reported && x.until <= now {
			delete(m.queries, q)
			ended = true
		}
	}
	// The peers wait for the last query to end, so tell them at once.
	if ended && m.unreported == 0 && len(m.queries) == 0 {
		m.requestFullRound(now)
	}
}

// acknowledge acknowledges every applied record and known flag once every query
// is answered.
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

// ownHolds returns, for each acknowledged change, how long requests and grants of
// this host may still be outstanding.
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

// updatePeerHolds merges the holds that a peer reports. A hold starts with the
// message that first acknowledges its change, can only become shorter, and has
// ended once a later message acknowledges the change without listing the hold.
// Messages may arrive out of order.
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

// anyOutstanding reports whether a member may still have requests or grants
// outstanding that the change must wait for.
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
