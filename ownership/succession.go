package ownership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// flagKey identifies the server that a flag is for.
type flagKey struct {
	service string
	server  string
}

func (f Flag) key() flagKey { return flagKey{f.Service, f.Server} }

func (k flagKey) compare(o flagKey) int {
	return cmp.Or(strings.Compare(k.service, o.service), strings.Compare(k.server, o.server))
}

// flagState is the state of one flag on this host. A level of a flag is a value of
// its Upto.
type flagState struct {
	upto    Offset      // the highest level known
	inForce Offset      // the highest level in force
	waiting []flagLevel // ascending
}

// flagLevel is a level of a flag that is not yet in force.
type flagLevel struct {
	upto    Offset
	ready   bool
	readyAt Instant // when the majorities were reached
	set     Offset  // the newest member set at that time
}

// learnFlags merges the flags of a message. A host that counts an answer must know
// every flag that the answering host acknowledged.
func (m *Machine) learnFlags(now Instant, flags []Flag) {
	if m.rules.learnFlags {
		m.mergeFlags(now, flags)
	}
}

// mergeFlags merges flags that this host or another one raised.
func (m *Machine) mergeFlags(now Instant, flags []Flag) {
	changed := map[string][]flagKey{}
	before := map[flagKey]Offset{}
	for _, f := range flags {
		key := f.key()
		x := m.flags[key]
		if x == nil {
			x = &flagState{}
		}
		if f.Upto <= x.upto || !m.flagRelevant(f) {
			continue
		}
		before[key] = x.upto
		m.flags[key] = x
		x.upto = f.Upto
		x.waiting = append(x.waiting, flagLevel{upto: f.Upto})
		changed[key.service] = append(changed[key.service], key)
	}
	if len(changed) == 0 {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(changed)) {
		m.queryFailovers(service, changed[service], before)
	}
	m.acknowledge(now)
	m.advance(now)
}

// queryFailovers adds an OutstandingQuery for each shard or pinned key whose owner
// changes by the changed flags.
func (m *Machine) queryFailovers(service string, changed []flagKey, before map[flagKey]Offset) {
	m.dirty[service] = true
	table := m.state.Tables[service]
	if table == nil {
		return
	}
	checks, _ := m.grantRule(service)
	was := func(server string) Offset {
		key := flagKey{service, server}
		if upto, ok := before[key]; ok {
			return upto
		}
		return m.flagged(service, server)
	}
	table.each(func(shard Shard, _ string, p Placement) {
		if p.Record == 0 {
			return
		}
		rank := m.knownRank(service, p)
		if rank == firstUnflagged(p, was) {
			return
		}
		q := OutstandingQuery{Service: service, Shard: shard, Below: MakeToken(p.Record, rank), GrantsOnly: checks}
		for _, key := range changed {
			m.addQuery(q, changeKey{flag: key})
		}
	})
}

// flagged returns the last record for which a known flag declares the server lost.
func (m *Machine) flagged(service, server string) Offset {
	if x := m.flags[flagKey{service, server}]; x != nil {
		return x.upto
	}
	return 0
}

// flaggedInForce returns the last record for which a flag in force declares the
// server lost.
func (m *Machine) flaggedInForce(service, server string) Offset {
	if x := m.flags[flagKey{service, server}]; x != nil {
		return x.inForce
	}
	return 0
}

// firstUnflagged returns the rank of p's first server that is not flagged as lost,
// or the number of servers when all are.
func firstUnflagged(p Placement, lostUpto func(server string) Offset) int {
	for rank, server := range p.Servers {
		if lostUpto(server) < p.Record {
			return rank
		}
	}
	return len(p.Servers)
}

// knownRank returns the rank of the owner of p once every known flag is in force.
func (m *Machine) knownRank(service string, p Placement) int {
	return firstUnflagged(p, func(server string) Offset { return m.flagged(service, server) })
}

// flagRelevant reports whether f may have an effect: it applies to a current
// placement, to a previous one that is still served, or to records that this host
// has not applied.
func (m *Machine) flagRelevant(f Flag) bool {
	if f.Upto > m.state.Applied {
		return true
	}
	table := m.state.Tables[f.Service]
	return table != nil && table.lastRecordNaming(f.Server, f.Upto) > 0 || m.concernsPrevious(f)
}

// lastRecordNaming returns the newest placement record at or before upto that names
// server, or 0 if there is none.
func (t *Table) lastRecordNaming(server string, upto Offset) Offset {
	var last Offset
	visit := func(p Placement) {
		if p.Record > last && p.Record <= upto && slices.Contains(p.Servers, server) {
			last = p.Record
		}
	}
	for _, p := range t.Shards {
		visit(p)
	}
	for _, p := range t.Pins {
		visit(p)
	}
	return last
}

// pruneFlags drops the flags that no longer apply to any placement. A host that
// still needs such a flag has applied fewer records, so it counts no answer of this
// host.
func (m *Machine) pruneFlags() {
	for key, x := range m.flags {
		if m.flagRelevant(Flag{Service: key.service, Server: key.server, Upto: x.upto}) {
			continue
		}
		delete(m.flags, key)
		for _, info := range m.peers {
			delete(info.flags, key)
		}
	}
}

// flagList returns every known flag in sorted order.
func (m *Machine) flagList() []Flag {
	if len(m.flags) == 0 {
		return nil
	}
	out := make([]Flag, 0, len(m.flags))
	for _, key := range slices.SortedFunc(maps.Keys(m.flags), flagKey.compare) {
		out = append(out, Flag{Service: key.service, Server: key.server, Upto: m.flags[key].upto})
	}
	return out
}

// Flags returns every known flag in sorted order.
func (m *Machine) Flags() []Flag { return m.flagList() }

// flagsPending reports whether a known flag is not yet in force.
func (m *Machine) flagsPending() bool {
	for _, x := range m.flags {
		if len(x.waiting) > 0 {
			return true
		}
	}
	return false
}

// activateFlags brings into force the flags whose conditions are met.
func (m *Machine) activateFlags(now Instant) {
	for key, x := range m.flags {
		for i := len(x.waiting) - 1; i >= 0; i-- {
			if !m.mayActivateFlag(now, key, &x.waiting[i]) {
				continue
			}
			x.inForce = x.waiting[i].upto
			x.waiting = x.waiting[i+1:]
			m.dirty[key.service] = true
			break
		}
	}
}

// mayActivateFlag reports whether a level of a flag may come into force. It needs a
// majority of every current member set, the same waits as a record, and every
// applied record to be in force.
func (m *Machine) mayActivateFlag(now Instant, key flagKey, level *flagLevel) bool {
	acked := func(id MemberID) bool {
		info := m.peers[id]
		return info != nil && info.flags[key] >= level.upto
	}
	counts := func(id MemberID) bool { return acked(id) || m.resigned[id] }
	newest := m.memberSets[len(m.memberSets)-1]
	for _, set := range m.memberSets {
		if m.rules.needMajority && !m.majority(set.members, counts) {
			level.ready = false
			return false
		}
	}
	if !level.ready || level.set != newest.offset {
		level.ready, level.readyAt, level.set = true, now, newest.offset
	}
	if len(m.pending) > 0 {
		return false
	}
	missing := !allMembers(newest.members, acked)
	if missing && m.rules.waitTTL && now <= level.readyAt+m.cfg.TTL {
		return false
	}
	if m.anyOutstanding(now, newest.members, changeKey{flag: key}) {
		return false
	}
	table := m.state.Tables[key.service]
	return m.staleRequestsEnded(now, staleRequests{
		service: key.service,
		servers: []string{key.server},
		pins:    table != nil && len(table.Pins) > 0,
		missing: missing,
		readyAt: level.readyAt,
	})
}
