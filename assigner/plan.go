package assigner

import (
	"slices"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// ungrantedPlans is the number of plans whose moves may be without a grant; with more,
// a service is not balanced.
const ungrantedPlans = 2

// coldCapacity is the share of its capacity with which a server that has just started
// enters a plan.
const coldCapacity = 0.5

// plan appends a record when ranges have no usable owner or load is uneven.
func (m *Machine) plan(now Time) {
	m.load.decay(now)
	fences := m.known.Fences
	changed := false
	var tables []keyrange.Table
	var moves []Move
	for _, name := range m.serviceNames() {
		p := m.planService(now, name)
		if p == nil {
			tables = append(tables, m.tableOf(name))
			continue
		}
		p.assignRanges(now, m.ungrantedRanges(name))
		if p.changed {
			changed = true
			p.assignTokens(&fences, m.omit.newFence)
			moves = append(moves, p.moves()...)
		}
		tables = append(tables, p.table())
	}
	if changed {
		m.appendPlan(fences, tables, moves)
	}
}

// appendPlan appends the record of a plan.
func (m *Machine) appendPlan(fences keyrange.Fence, tables []keyrange.Table, moves []Move) {
	m.change++
	rec := m.known
	rec.Change = m.change
	rec.Fences = fences
	rec.Tables = tables
	rec.Leaving = m.leavingServers()
	m.append(rec, moves)
}

// serviceNames returns the sorted names of the services that have ranges or need
// some.
func (m *Machine) serviceNames() []string {
	names := slices.Clone(m.sharded)
	for _, r := range m.ranges {
		names = append(names, r.service)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// tableOf returns a service's present ranges, as a record lists them.
func (m *Machine) tableOf(service string) keyrange.Table {
	t := keyrange.Table{Service: service}
	for _, r := range m.ranges {
		if r.service == service {
			c := r.Range
			c.Granted = false
			t.Ranges = append(t.Ranges, c)
		}
	}
	return t
}

// ungrantedRanges returns the number of a service's ranges without a grant.
func (m *Machine) ungrantedRanges(service string) int {
	n := 0
	for _, r := range m.ranges {
		if r.service == service && !r.Granted {
			n++
		}
	}
	return n
}

// usableServers returns the servers of a service that may own keys.
func (m *Machine) usableServers(now Time, service string) []directory.Server {
	var out []directory.Server
	for _, v := range m.servers.Servers {
		if v.Service == service && v.State == directory.Ready && !m.suspects.unreachable(now, v.Holder) {
			out = append(out, v)
		}
	}
	return out
}

// leavingServers returns the listed servers whose answers said that they leave.
func (m *Machine) leavingServers() []keyrange.Holder {
	var out []keyrange.Holder
	for _, v := range m.servers.Servers {
		if v.Leaving {
			out = append(out, v.Holder)
		}
	}
	return out
}

// planService returns the plan of a service as it is now. It returns nil when the
// service has no usable server, or when its first plan is still delayed.
func (m *Machine) planService(now Time, name string) *servicePlan {
	servers := m.usableServers(now, name)
	if len(servers) == 0 {
		return nil
	}
	ranges := m.tableOf(name).Ranges
	if len(ranges) == 0 && now-m.firstSeen[name] < m.cfg.FirstPlanDelay {
		return nil
	}
	p := &servicePlan{service: name, byHolder: map[keyrange.Holder]*plannedServer{}}
	p.weights = newWeights(m.load.forService(name))
	for _, n := range m.plannedServers(now, servers) {
		p.servers = append(p.servers, n)
		p.byHolder[n.holder] = n
	}
	if len(ranges) == 0 {
		p.addRange(keyrange.Range{From: 0, To: keyrange.MaxKey}, nil)
		return p
	}
	for i, state := range m.statesOf(name) {
		p.addRange(ranges[i], state)
	}
	return p
}

// plannedServers returns the servers as they enter a plan, still without load. A server that
// has just started counts with a part of its capacity.
func (m *Machine) plannedServers(now Time, servers []directory.Server) []*plannedServer {
	ids := make([]string, 0, len(servers))
	for _, v := range servers {
		ids = append(ids, v.Holder.ID)
	}
	speeds := m.load.speeds(ids)
	out := make([]*plannedServer, 0, len(servers))
	for _, v := range servers {
		n := &plannedServer{
			holder:   v.Holder,
			capacity: float64(max(v.Slots, 1)) * speeds[v.Holder.ID],
			full:     m.full.contains(now, v.Holder),
		}
		if v.Cold > 0 {
			n.capacity *= coldCapacity
		}
		out = append(out, n)
	}
	return out
}

// statesOf returns the states of a service's ranges, in the order of tableOf.
func (m *Machine) statesOf(service string) []*rangeState {
	var out []*rangeState
	for _, r := range m.ranges {
		if r.service == service {
			out = append(out, r)
		}
	}
	return out
}
