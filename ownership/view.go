package ownership

import (
	"maps"
	"slices"
)

// Route says where requests for one shard may be sent.
type Route struct {
	Server string // the backend server in force; empty when none is
	Token  Token
	// Held is true when a newer assignment is known but not yet in force.
	// Requests wait within their deadline and are not sent.
	Held bool
}

// ServiceView holds the routes of one service by shard.
type ServiceView struct {
	Routes []Route
	Pins   map[string]Route // hot keys with routes of their own
}

// View is what a request's way may know of ownership. It is immutable.
type View struct {
	Self         MemberID
	Member       bool    // joining is in force and no removal was applied
	LeaseUntil   Instant // keyed requests may be sent strictly before this instant
	Applied      Offset  // last record folded
	Active       Offset  // last record in force
	Members      []Member
	Unresponsive []MemberID // members that this host has not heard of lately
	Services     map[string]*ServiceView
}

// IsUnresponsive reports whether this host has not heard of a member lately.
func (v *View) IsUnresponsive(id MemberID) bool { return slices.Contains(v.Unresponsive, id) }

// MayRoute reports whether keyed requests may be sent at now.
func (v *View) MayRoute(now Instant) bool {
	return v.Member && now < v.LeaseUntil
}

// Route returns the shard and the route of key. ok is false when the service
// has no table in force.
func (v *View) Route(service, key string) (shard Shard, route Route, ok bool) {
	sv := v.Services[service]
	if sv == nil || len(sv.Routes) == 0 {
		return 0, Route{}, false
	}
	shard = ShardOf(key, len(sv.Routes))
	if pin, pinned := sv.Pins[key]; pinned {
		return shard, pin, true
	}
	return shard, sv.Routes[shard], true
}

// View returns the present view. Views share what has not changed in between,
// and are the same when nothing has.
func (m *Machine) View() *View {
	m.refreshViews()
	if m.members == nil {
		m.members = sortedMembers(m.state.Members)
	}
	member, unresponsive := m.isMember(), m.unresponsiveMembers()
	m.routed = m.routed || member && m.lease > 0
	last := m.view
	same := last != nil && last.Member == member && last.LeaseUntil == m.lease &&
		last.Applied == m.state.Applied && last.Active == m.active && slices.Equal(last.Unresponsive, unresponsive)
	if same {
		return last
	}
	m.view = &View{
		Self:         m.cfg.Self.ID,
		Member:       member,
		LeaseUntil:   m.lease,
		Applied:      m.state.Applied,
		Active:       m.active,
		Members:      m.members,
		Unresponsive: unresponsive,
		Services:     m.views,
	}
	return m.view
}

func (m *Machine) unresponsiveMembers() []MemberID {
	var out []MemberID
	for _, x := range m.members {
		if m.isUnresponsive(x.ID) {
			out = append(out, x.ID)
		}
	}
	return out
}

// refreshViews builds the routes of the services that changed.
func (m *Machine) refreshViews() {
	if len(m.dirty) == 0 {
		return
	}
	m.view = nil
	m.views = maps.Clone(m.views)
	for service := range m.dirty {
		if table := m.state.Tables[service]; table != nil {
			m.views[service] = m.serviceView(service, table)
		}
	}
	clear(m.dirty)
}

func (m *Machine) serviceView(service string, table *Table) *ServiceView {
	sv := &ServiceView{Routes: make([]Route, len(table.Shards))}
	flagged := m.anyFlag(service)
	for i, p := range table.Shards {
		sv.Routes[i] = m.route(placementKey{service, Shard(i), ""}, p, flagged)
	}
	if len(table.Pins) > 0 {
		sv.Pins = make(map[string]Route, len(table.Pins))
	}
	for key, p := range table.Pins {
		sv.Pins[key] = m.route(placementKey{service, ShardOf(key, len(table.Shards)), key}, p, flagged)
	}
	return sv
}

func (m *Machine) anyFlag(service string) bool {
	for key := range m.flags {
		if key.service == service {
			return true
		}
	}
	return false
}

// route returns where requests for a placement may be sent. They are held while
// the placement, or the succession that the known flags ask for, is not in force.
func (m *Machine) route(at placementKey, p Placement, flagged bool) Route {
	if p.Record > m.active {
		return m.previousRoute(at, p, flagged)
	}
	rank := 0
	if flagged {
		rank = m.knownRank(at.service, p)
		inForce := firstUnflagged(p, func(server string) Offset { return m.flaggedInForce(at.service, server) })
		if rank != inForce {
			return Route{Held: true}
		}
	}
	if rank >= len(p.Servers) {
		return Route{}
	}
	return Route{Server: p.Servers[rank], Token: MakeToken(p.Record, rank)}
}

// OutstandingTracker knows what this host may still have outstanding with backend servers:
// requests in flight and grants given.
type OutstandingTracker interface {
	// OutstandingUntil returns the instant by which everything outstanding for shard
	// of service under tokens below the given one has ended at the latest, and
	// 0 when nothing is outstanding. It is safe for concurrent use.
	//
	// A request is registered before the snapshot that permits it is read for
	// the last time, and control publishes a new view before it asks: so either
	// the request sees the new view or control sees the request.
	OutstandingUntil(service string, shard Shard, below Token) Instant
}
