package ownership

import (
	"maps"
	"slices"
)

// placementKey names a shard, or a pinned key of it.
type placementKey struct {
	service string
	shard   Shard
	key     string
}

// keepPrevious remembers what the shards that a batch moved were placed on just
// before. A shard whose server stays the same is served on under its old token
// until the batch is in force.
func (m *Machine) keepPrevious(before *Table, a Assignments) {
	for _, move := range a.Moves {
		m.previous[placementKey{a.Service, move.Shard, ""}] = before.Shards[move.Shard]
	}
	for _, pin := range a.Pins {
		shard := ShardOf(pin.Key, len(before.Shards))
		m.previous[placementKey{a.Service, shard, pin.Key}] = before.placement(pin.Key)
	}
	// An unpinned key joins its shard, so that the shard's server changes for it.
	for _, key := range a.Unpins {
		delete(m.previous, placementKey{a.Service, ShardOf(key, len(before.Shards)), ""})
	}
}

// dropPrevious drops what was placed before c, which is in force.
func (m *Machine) dropPrevious(c *pendingChange) {
	table := m.state.Tables[c.service]
	maps.DeleteFunc(m.previous, func(k placementKey, _ Placement) bool {
		if k.service != c.service {
			return false
		}
		now := table.Shards[k.shard]
		if k.key != "" {
			now = table.placement(k.key)
		}
		return now.Record <= c.offset
	})
	m.pruneFlags()
}

// concernsPrevious reports whether f concerns a placement that may still be served on.
func (m *Machine) concernsPrevious(f Flag) bool {
	for k, p := range m.previous {
		if k.service == f.Service && p.Record <= f.Upto && slices.Contains(p.Servers, f.Server) {
			return true
		}
	}
	return false
}

// previousRoute returns the route in force before a placement that is not, if both
// name the same server. Otherwise requests are held. Once the new owner is
// flagged they are held too: on other hosts the placement may be in force and
// the flag not yet.
func (m *Machine) previousRoute(at placementKey, p Placement, flagged bool) Route {
	old, ok := m.previous[at]
	if !ok || old.Record == 0 || old.Record > m.active || m.knownRank(at.service, p) > 0 {
		return Route{Held: true}
	}
	route := m.route(at, old, flagged)
	if route.Server != p.Servers[0] {
		return Route{Held: true}
	}
	return route
}
