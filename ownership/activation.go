package ownership

import (
	"slices"
	"time"
)

// defaultNonIdempotentTimeout applies to services that are missing from the catalog.
const defaultNonIdempotentTimeout = 30 * time.Second

// pendingChange is an applied record that is not yet in force.
type pendingChange struct {
	offset        Offset
	before, after map[MemberID]Member
	departed      int      // number of removed members whose requests may still be in flight
	service       string   // for an assignment; empty for a membership change
	oldServers    []string // servers that may still be running requests under older tokens
	pins          bool     // the record pins single keys
	readyAt       Instant  // when the required majorities were reached
}

// trackAssignment adds an assignment record to the pending changes.
func (m *Machine) trackAssignment(old *State, r Record) {
	a := *r.Assign
	c := &pendingChange{
		offset:  m.state.Applied,
		before:  m.state.Members,
		after:   m.state.Members,
		service: a.Service,
		pins:    len(a.Pins) > 0,
	}
	m.dirty[a.Service] = true
	if before := old.Tables[a.Service]; before != nil {
		c.oldServers = m.queryMoves(before, m.state.Tables[a.Service], a, c.offset)
		m.keepPrevious(before, a)
	}
	m.pending = append(m.pending, c)
	m.pruneFlags()
}

// queryMoves adds an OutstandingQuery for each shard or key that the record at
// offset at moved and returns the servers that they may have moved from.
func (m *Machine) queryMoves(before, after *Table, a Assignments, at Offset) []string {
	var oldServers []string
	queryIfMoved := func(shard Shard, was, now Placement) {
		if was.Record == 0 || was.Record == now.Record {
			return
		}
		below := MakeToken(now.Record, m.knownRank(a.Service, now))
		grantsOnly := len(a.Pins)+len(a.Unpins) == 0 && m.onlyGrantsCount(a.Service, was, now)
		m.addQuery(OutstandingQuery{Service: a.Service, Shard: shard, Below: below, GrantsOnly: grantsOnly}, changeKey{record: at})
		for _, s := range was.Servers {
			if !slices.Contains(oldServers, s) {
				oldServers = append(oldServers, s)
			}
		}
	}
	for _, move := range a.Moves {
		queryIfMoved(move.Shard, before.Shards[move.Shard], after.Shards[move.Shard])
	}
	for _, pin := range a.Pins {
		was, now := before.placement(pin.Key), after.Pins[pin.Key]
		queryIfMoved(ShardOf(pin.Key, len(after.Shards)), was, now)
	}
	for _, key := range a.Unpins {
		shard := ShardOf(key, len(after.Shards))
		queryIfMoved(shard, before.Shards[shard], after.Shards[shard])
		queryIfMoved(shard, before.placement(key), after.placement(key))
	}
	return oldServers
}

// onlyGrantsCount reports whether a move of a shard from placement before to
// placement after has to wait only for grants and not for requests in flight: the
// servers check grants, and the old owner remains the owner or is lost. A move away
// from a healthy owner also waits for its requests to finish. The caller excludes
// pins: a request for a key that leaves its shard may start under the shard's grant,
// which remains valid.
func (m *Machine) onlyGrantsCount(service string, before, after Placement) bool {
	checks, _ := m.grantRule(service)
	if !checks {
		return false
	}
	rank, next := m.knownRank(service, before), m.knownRank(service, after)
	if rank >= len(before.Servers) {
		return true
	}
	old := before.Servers[rank]
	_, lost := m.suspects[flagKey{service, old}]
	return lost || next < len(after.Servers) && old == after.Servers[next]
}

// activate brings applied records into force, strictly in log order.
func (m *Machine) activate(now Instant) {
	m.bringAttestedIntoForce(now)
	m.markReady(now)
	for m.readyCount > 0 && m.mayActivate(now, m.pending[0]) {
		m.bringIntoForce(now, m.pending[0])
		m.pending = m.pending[1:]
		m.readyCount--
	}
	if len(m.pending) == 0 {
		m.active = m.state.Applied
		m.inForce = m.state
	}
}

func (m *Machine) bringIntoForce(now Instant, c *pendingChange) {
	m.active = c.offset
	if c.service != "" {
		m.dirty[c.service] = true
		m.dropPrevious(c)
		return
	}
	m.memberSets = m.memberSets[1:]
	m.otherList = nil
	for range c.departed {
		m.departed = append(m.departed, departedMember{since: now})
	}
	longest := m.longestTimeout()
	m.departed = slices.DeleteFunc(m.departed, func(d departedMember) bool { return d.since+m.withDrift(longest) < now })
	m.dropRemovedPeers()
}

// dropRemovedPeers discards the status of peers that are in no member set any more.
func (m *Machine) dropRemovedPeers() {
	for id := range m.peers {
		if _, removed := m.state.Removed[id]; !removed {
			continue
		}
		relevant := slices.ContainsFunc(m.memberSets, func(s memberSet) bool { _, ok := s.members[id]; return ok })
		if !relevant {
			delete(m.peers, id)
		}
	}
}

// markReady records when each pending change reached its majorities. The waits
// of several changes overlap: a host that has not applied a change loses its
// lease within one lease duration after that change reached its majorities.
func (m *Machine) markReady(now Instant) {
	for m.readyCount < len(m.pending) {
		c := m.pending[m.readyCount]
		if !m.hasMajorities(c) {
			return
		}
		c.readyAt = now
		m.readyCount++
	}
}

// hasMajorities reports whether a majority of the members before c and a
// majority of those after it have acknowledged it.
func (m *Machine) hasMajorities(c *pendingChange) bool {
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
// A host that has acknowledged c sends requests only to the servers that c names,
// and has reported how long its earlier requests and grants may be outstanding.
// For every other host, a full lease duration must pass.
func (m *Machine) mayActivate(now Instant, c *pendingChange) bool {
	before := c.before
	if !m.rules.ordered {
		before = m.state.Members
	}
	missing := !allMembers(before, func(id MemberID) bool { return m.ackedOffset(id) >= c.offset })
	if missing && m.rules.waitTTL && now <= c.readyAt+m.cfg.TTL {
		return false
	}
	if m.anyOutstanding(now, before, changeKey{record: c.offset}) {
		return false
	}
	if len(c.oldServers) == 0 {
		return true
	}
	return m.staleRequestsEnded(now, staleRequests{
		service: c.service,
		servers: c.oldServers,
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

// staleRequests describes requests that may still be in flight to the servers
// that a change replaces.
type staleRequests struct {
	service string
	servers []string
	pins    bool
	missing bool // some member has not acknowledged the change
	readyAt Instant
}

// staleRequestsEnded reports whether the requests of members that have not
// acknowledged the change, or were removed, have ended. If the servers check
// grants, a shard's request ends with its grant. A request for a pinned key may
// run under the grant of its shard, which is renewed, so its timeout applies.
func (m *Machine) staleRequestsEnded(now Instant, stale staleRequests) bool {
	checks, timeout := m.grantRule(stale.service)
	if checks && !stale.pins {
		return now > m.departedUntil(m.cfg.TTL)
	}
	if m.allProcessesEnded(now, stale) {
		return true
	}
	if stale.missing && m.rules.waitTTL && now <= stale.readyAt+m.cfg.TTL+m.withDrift(timeout) {
		return false
	}
	return now > m.departedUntil(max(timeout, m.cfg.TTL))
}

// allProcessesEnded reports whether this host or another member currently
// observes, for each server of l, that its process has ended.
func (m *Machine) allProcessesEnded(now Instant, stale staleRequests) bool {
	for _, server := range stale.servers {
		if !m.suspects[flagKey{stale.service, server}].Gone && !m.endedElsewhere(now, stale.service, server) {
			return false
		}
	}
	return true
}

// grantRule returns whether the service's servers check grants, and how long a
// request that is not idempotent may be in flight.
func (m *Machine) grantRule(service string) (checks bool, timeout time.Duration) {
	for _, s := range m.services {
		if s.Name == service {
			return s.ChecksGrants, s.NonIdempotentTimeout
		}
	}
	return false, defaultNonIdempotentTimeout
}

func (m *Machine) longestTimeout() time.Duration {
	longest := max(defaultNonIdempotentTimeout, m.cfg.TTL)
	for _, s := range m.services {
		longest = max(longest, s.NonIdempotentTimeout)
	}
	return longest
}
