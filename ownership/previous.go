package ownership

import (
	"maps"
	"slices"
)

// placementKey identifies a shard, or a pinned key in it.
type placementKey struct {
	service string
	shard   Shard
	key     string
}

// keepPrevious stores the previous placements of the shards and keys that a batch
// moves. A shard whose server does not change continues to be served under its old
// token until the batch is in force.
func (m *Machine) keepPrevious(before *Table, a Assignments) {
	for _, move := range a.Moves {
		m.previous[placementKey{a.Service, move.Shard, ""}] = before.Shards[move.Shard]
	}
	for _, pin := range a.Pins {
		shard := ShardOf(pin.Key, len(before.Shards))
		m.previous[placementKey{a.Service, shard, pin.Key}] = before.placement(pin.Key)
	}
	// An unpinned key returns to its shard and changes its server, so the shard must
	// not be served under its old token.
	for _, key := range a.Unpins {
		delete(m.previous, placementKey{a.Service, ShardOf(key, len(before.Shards)), ""})
	}
}

// dropPrevious drops the previous placements that c, now in force, replaces.
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

// concernsPrevious reports whether f applies to a previous placement that may still
// be served.
func (m *Machine) concernsPrevious(f Flag) bool {
	for k, p := range m.previous {
		if k.service == f.Service && p.Record <= f.Upto && slices.Contains(p.Servers, f.Server) {
			return true
		}
	}
	return false
}

// previousRoute returns the route for a placement that is not yet in force: the
// route of the previous placement if both have the same server. Otherwise requests
// are held. They are also held once the new owner is flagged: on other hosts the
// placement may already be in force and the flag not.
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
