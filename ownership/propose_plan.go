package ownership

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingsaddle/lacewingsaddle/planner"
)

// shareSteps is the number of steps in which a starting server's share grows.
const shareSteps = 8

// roster lists the servers of one plan. The planner refers to them by index.
type roster struct {
	servers []planner.Server
	index   map[string]int
}

// roster returns the declared servers of a service with their current state. Servers
// that still own shards but are no longer declared are added later, as draining.
func (m *Machine) roster(now Instant, spec *ServiceSpec, p *proposer) *roster {
	r := &roster{index: map[string]int{}}
	lost := m.lostServers(now, spec)
	drains := m.sortedDrains(spec.Name)
	for _, s := range spec.Servers {
		s.State = planner.Up
		s.Share = roundShare(p.history.slowStartShare(now, s.ID, spec.Policy.SlowStart))
		switch {
		case lost[s.ID]:
			s.State = planner.Lost
		case slices.Contains(drains, s.ID):
			s.State = planner.Draining
		case s.Share < 1:
			s.State = planner.Starting
		}
		r.add(s)
	}
	return r
}

// roundShare rounds a share down to a step, so that a growing share does not cause a
// new plan each time.
func roundShare(share float64) float64 { return math.Floor(share*shareSteps) / shareSteps }

func (r *roster) add(s planner.Server) int {
	i, ok := r.index[s.ID]
	if ok {
		return i
	}
	i = len(r.servers)
	r.index[s.ID] = i
	r.servers = append(r.servers, s)
	return i
}

// indexOf returns the index of a server that a placement names. A server that is
// not declared is added as draining.
func (r *roster) indexOf(id string) int {
	return r.add(planner.Server{ID: id, State: planner.Draining})
}

// fingerprint returns a hash of the inputs of a plan other than rest times and the
// move budget.
func (m *Machine) fingerprint(now Instant, spec *ServiceSpec, p *proposer) uint64 {
	ids := make([]string, len(spec.Servers))
	for i, s := range spec.Servers {
		ids[i] = s.ID
	}
	p.history.observeDeclared(now, ids)
	h := xxhash.New()
	var b []byte
	for _, s := range m.roster(now, spec, p).servers {
		b = append(b[:0], s.ID...)
		b = append(b, 0, byte(s.State), byte(s.Share*shareSteps))
		b = append(b, s.Domain...)
		b = append(b, 0)
		_, _ = h.Write(b)
	}
	b = b[:0]
	for _, v := range []uint64{uint64(tableVersion(m.state.Tables[spec.Name])), uint64(spec.Successors), m.flagsFingerprint(spec.Name)} {
		for range 8 {
			b = append(b, byte(v))
			v >>= 8
		}
	}
	_, _ = h.Write(b)
	return h.Sum64()
}

// plan returns the assignments that the service needs now and their cause, or nil
// when it needs none.
func (m *Machine) plan(now Instant, spec *ServiceSpec, p *proposer) (*Assignments, string) {
	table := m.state.Tables[spec.Name]
	shards := spec.Shards
	if table != nil {
		shards = len(table.Shards)
	}
	if shards <= 0 {
		return nil, ""
	}
	r := m.roster(now, spec, p)
	pins := pinnedKeys(table)
	plan := planner.Make(m.planInput(now, spec, p, r, shards, pins))
	if len(plan.Moves) == 0 {
		return nil, ""
	}
	cause := plan.Cause
	if table == nil {
		cause = "first assignment"
	}
	return assignments(spec.Name, table, shards, pins, r, plan), cause
}

// planInput returns the input of the planner: the shards of the service, followed by
// its pinned keys.
func (m *Machine) planInput(
	now Instant, spec *ServiceSpec, p *proposer, r *roster, shards int, pins []string,
) planner.Input {
	table := m.state.Tables[spec.Name]
	n := shards + len(pins)
	in := planner.Input{
		Placements: make([]planner.Placement, n),
		FailedOver: make([]bool, n),
		SinceMove:  make([]time.Duration, n),
		Successors: spec.Successors,
		Policy:     spec.Policy,
		Budget:     p.history.movesLeft(now, spec.Policy.MovesPerMinute),
	}
	for i := range in.Placements {
		switch {
		case table == nil:
			in.Placements[i].Owner = planner.Unowned
		case i < shards:
			in.SinceMove[i] = now - p.history.movedAt[i]
			in.Placements[i], in.FailedOver[i] = m.plannerPlacement(spec.Name, table.Shards[i], r)
		default:
			// A pinned key has a rest time of 0, so it never moves for balance.
			in.Placements[i], in.FailedOver[i] = m.plannerPlacement(spec.Name, table.Pins[pins[i-shards]], r)
		}
	}
	in.Servers = r.servers
	return in
}

// plannerPlacement converts p to server indexes. After a failover, failed is true and
// the first successor is the server that requests go to.
func (m *Machine) plannerPlacement(service string, p Placement, r *roster) (out planner.Placement, failed bool) {
	if len(p.Servers) == 0 {
		return planner.Placement{Owner: planner.Unowned}, false
	}
	rank := m.knownRank(service, p)
	out.Owner = r.indexOf(p.Servers[0])
	for _, id := range p.Servers[max(rank, 1):] {
		out.Successors = append(out.Successors, r.indexOf(id))
	}
	return out, rank > 0
}

func assignments(service string, table *Table, shards int, pins []string, r *roster, plan planner.Plan) *Assignments {
	a := &Assignments{Service: service, Base: tableVersion(table), Shards: shards}
	index := map[int]int{}
	number := func(server int) int {
		i, ok := index[server]
		if !ok {
			i = len(a.Servers)
			index[server] = i
			a.Servers = append(a.Servers, r.servers[server].ID)
		}
		return i
	}
	for _, move := range plan.Moves {
		next := Assignment{Shard: Shard(move.Shard), Owner: number(move.Owner)}
		for _, s := range move.Successors {
			next.Successors = append(next.Successors, number(s))
		}
		if move.Shard < shards {
			a.Moves = append(a.Moves, next)
			continue
		}
		a.Pins = append(a.Pins, Pin{Key: pins[move.Shard-shards], Owner: next.Owner, Successors: next.Successors})
	}
	return a
}

// pinnedKeys returns the pinned keys in sorted order. A plan numbers them after the
// shards.
func pinnedKeys(t *Table) []string {
	if t == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(t.Pins))
}
