package ownership

import (
	"slices"
	"time"
)

// defaultOrderTimeout is assumed for services that the catalog does not name.
const defaultOrderTimeout = 30 * time.Second

// change is an applied record that is not in force.
type change struct {
	offset        Offset
	before, after map[MemberID]Member
	ghosts        int      // removed members whose requests may still count
	service       string   // of an assignment; empty for a change of members
	olds          []string // servers that may hold requests under older tokens
	pins          bool     // the record gives single keys an owner of their own
	readyAt       Instant  // when the majorities were complete
}

// appliedAssign takes in an assignment record.
func (m *Machine) appliedAssign(old *State, r Record) {
	a := *r.Assign
	c := &change{
		offset:  m.state.Applied,
		before:  m.state.Members,
		after:   m.state.Members,
		service: a.Service,
		pins:    len(a.Pins) > 0,
	}
	m.dirty[a.Service] = true
	if before := old.Tables[a.Service]; before != nil {
		c.olds = m.askForMoves(before, m.state.Tables[a.Service], a, c.offset)
		m.keepPlaced(before, a)
	}
	m.pending = append(m.pending, c)
	m.pruneFlags()
}

// askForMoves adds a query for each shard that the record at offset at moved
// and returns the servers that it may have moved from.
func (m *Machine) askForMoves(before, after *Table, a Assignments, at Offset) []string {
	var olds []string
	ask := func(shard Shard, was, now Placement) {
		if was.Record == 0 || was.Record == now.Record {
			return
		}
		below := MakeToken(now.Record, m.knownRank(a.Service, now))
		lapses := len(a.Pins)+len(a.Unpins) == 0 && m.onlyGrantsCount(a.Service, was, now)
		m.addQuery(OutstandingQuery{Service: a.Service, Shard: shard, Below: below, GrantsOnly: lapses}, holdKey{record: at})
		for _, s := range was.Servers {
			if !slices.Contains(olds, s) {
				olds = append(olds, s)
			}
		}
	}
	for _, move := range a.Moves {
		ask(move.Shard, before.Shards[move.Shard], after.Shards[move.Shard])
	}
	for _, pin := range a.Pins {
		was, now := before.placement(pin.Key), after.Pins[pin.Key]
		ask(ShardOf(pin.Key, len(after.Shards)), was, now)
	}
	for _, key := range a.Unpins {
		shard := ShardOf(key, len(after.Shards))
		ask(shard, before.Shards[shard], after.Shards[shard])
		ask(shard, before.placement(key), after.placement(key))
	}
	return olds
}

// onlyGrantsCount reports whether a move from was to now need not wait for
// requests in flight: the servers check grants, and the old owner stays the
// owner or is lost. A move away from an owner that is well waits for them, so
// that its requests end first. Pins are excepted by the caller: a request for a
// key that leaves its shard may begin under the shard's grant, which goes on.
func (m *Machine) onlyGrantsCount(service string, was, now Placement) bool {
	checks, _ := m.grantRule(service)
	if !checks {
		return false
	}
	rank, next := m.knownRank(service, was), m.knownRank(service, now)
	if rank >= len(was.Servers) {
		return true
	}
	old := was.Servers[rank]
	_, lost := m.suspects[flagKey{service, old}]
	return lost || next < len(now.Servers) && old == now.Servers[next]
}

// activate brings the applied records into force, strictly in order.
func (m *Machine) activate(now Instant) {
	m.enforceAttested(now)
	m.markReady(now)
	for m.readied > 0 && m.mayActivate(now, m.pending[0]) {
		m.enforce(now, m.pending[0])
		m.pending = m.pending[1:]
		m.readied--
	}
	if len(m.pending) == 0 {
		m.active = m.state.Applied
		m.inForce = m.state
	}
}

func (m *Machine) enforce(now Instant, c *change) {
	m.active = c.offset
	if c.service != "" {
		m.dirty[c.service] = true
		m.forgetPlaced(c)
		return
	}
	m.sets = m.sets[1:]
	m.otherList = nil
	for range c.ghosts {
		m.ghosts = append(m.ghosts, ghost{since: now})
	}
	longest := m.longestTimeout()
	m.ghosts = slices.DeleteFunc(m.ghosts, func(g ghost) bool { return g.since+m.stretch(longest) < now })
	m.forgetPeers()
}

// forgetPeers drops what was heard from hosts that are members no more.
func (m *Machine) forgetPeers() {
	for id := range m.peers {
		if _, gone := m.state.Removed[id]; !gone {
			continue
		}
		counts := slices.ContainsFunc(m.sets, func(s memberSet) bool { _, ok := s.members[id]; return ok })
		if !counts {
			delete(m.peers, id)
		}
	}
}

// markReady notes since when the pending changes have their majorities. The
// waits of several changes run at the same time: whoever has applied less than
// one of them loses its lease within a lease time of that change's majorities.
func (m *Machine) markReady(now Instant) {
	for m.readied < len(m.pending) {
		c := m.pending[m.readied]
		if !m.hasMajorities(c) {
			return
		}
		c.readyAt = now
		m.readied++
	}
}

// hasMajorities reports whether a majority of the members before c and of those
// after it have acknowledged it.
func (m *Machine) hasMajorities(c *change) bool {
	if !m.rules.needMajority {
		return true
	}
	acked := func(id MemberID) bool { return m.acknowledged(id, c.offset) }
	if !m.rules.ordered {
		return m.majority(m.state.Members, acked)
	}
	return m.majority(c.before, acked) && m.majority(c.after, acked)
}

// mayActivate reports whether c, which has its majorities, may come into force.
// Whoever has acknowledged it sends nothing to other servers than it names and
// said how long what it sent before may count. For the others a full lease time
// must pass.
func (m *Machine) mayActivate(now Instant, c *change) bool {
	before := c.before
	if !m.rules.ordered {
		before = m.state.Members
	}
	missing := !all(before, func(id MemberID) bool { return m.ackedOffset(id) >= c.offset })
	if missing && m.rules.waitTTL && now <= c.readyAt+m.cfg.TTL {
		return false
	}
	if m.anyHold(now, before, holdKey{record: c.offset}) {
		return false
	}
	if len(c.olds) == 0 {
		return true
	}
	return m.orderTimeoutsOver(now, lapse{
		service: c.service,
		servers: c.olds,
		pins:    c.pins,
		missing: missing,
		readyAt: c.readyAt,
	})
}

func (m *Machine) ackedOffset(id MemberID) Offset {
	if info := m.peers[id]; info != nil {
		return info.applied
	}
	return 0
}

// lapse describes a change for whose old servers requests may still be in flight.
type lapse struct {
	service string
	servers []string
	pins    bool
	missing bool // some member has not acknowledged the change
	readyAt Instant
}

// orderTimeoutsOver reports whether requests of members that have not
// acknowledged, or are removed, have ended. Where servers check grants, a
// shard's request ends with its grant. A request for a pinned key may run under
// the grant of its shard, which is renewed.
func (m *Machine) orderTimeoutsOver(now Instant, l lapse) bool {
	checks, timeout := m.grantRule(l.service)
	if checks && !l.pins {
		return now > m.ghostsUntil(m.cfg.TTL)
	}
	if m.provedGone(now, l) {
		return true
	}
	if l.missing && m.rules.waitTTL && now <= l.readyAt+m.cfg.TTL+m.stretch(timeout) {
		return false
	}
	return now > m.ghostsUntil(max(timeout, m.cfg.TTL))
}

// provedGone reports whether the processes of all servers of l have ended, by
// this host's or a member's present judgement.
func (m *Machine) provedGone(now Instant, l lapse) bool {
	for _, server := range l.servers {
		if !m.suspects[flagKey{l.service, server}].Gone && !m.goneElsewhere(now, l.service, server) {
			return false
		}
	}
	return true
}

// grantRule returns whether the service's servers check grants and the longest
// time that an order may take.
func (m *Machine) grantRule(service string) (checks bool, timeout time.Duration) {
	for _, s := range m.services {
		if s.Name == service {
			return s.ChecksGrants, s.NonIdempotentTimeout
		}
	}
	return false, defaultOrderTimeout
}

func (m *Machine) longestTimeout() time.Duration {
	longest := max(defaultOrderTimeout, m.cfg.TTL)
	for _, s := range m.services {
		longest = max(longest, s.NonIdempotentTimeout)
	}
	return longest
}
