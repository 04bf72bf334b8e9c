package ownership

import (
	"maps"
	"slices"
)

// Route says where requests for a shard or pinned key may be sent.
type Route struct {
	Server string // the owner in force; empty when there is none
	Token  Token
	// Held is true when a newer assignment is known but not yet in force.
	// Requests wait, up to their deadline, and are not sent.
	Held bool
}

// ServiceView holds the routes of one service by shard.
type ServiceView struct {
	Routes []Route
	Pins   map[string]Route // routes of pinned keys
}

// View is a snapshot of ownership for the request path. It is immutable.
type View struct {
	Self         MemberID
	Member       bool    // the join is in force and no removal was applied
	LeaseUntil   Instant // keyed requests may be sent strictly before this instant
	Applied      Offset  // last applied record
	Active       Offset  // last record in force
	Members      []Member
	Unresponsive []MemberID // members that this host has not heard from recently
	Services     map[string]*ServiceView
}

// IsUnresponsive reports whether this host has not heard from a member recently.
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

// View returns the current view. Successive views share unchanged parts, and are
// identical when nothing has changed.
func (m *Machine) View() *View {
	m.refreshViews()
	if m.members == nil {
		m.members = sortedMembers(m.state.Members)
	}
	member, unresponsive := m.isMember(), m.unresponsiveMembers()
	m.routed = m.routed || member && m.lease > 0
	previous := m.view
	same := previous != nil && previous.Member == member && previous.LeaseUntil == m.lease &&
		previous.Applied == m.state.Applied && previous.Active == m.active && slices.Equal(previous.Unresponsive, unresponsive)
	if same {
		return previous
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

// refreshViews rebuilds the routes of the services that changed.
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

// route returns where requests for a placement may be sent. They are held while the
// placement, or a succession by known flags, is not yet in force.
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

// OutstandingTracker tracks what this host may still have outstanding with backend
// servers: requests in flight and grants issued.
type OutstandingTracker interface {
	// OutstandingUntil returns the instant by which everything outstanding for
	// shard of service under tokens lower than below has ended, or 0 when nothing
	// is outstanding. It is safe for concurrent use.
	//
	// A request is registered before the last read of the snapshot that permits
	// it, and control publishes a new view before it calls OutstandingUntil. So
	// either the request sees the new view or control sees the request.
	OutstandingUntil(service string, shard Shard, below Token) Instant
}
