package assigner

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

const (
	// minMoveInterval is the minimum time between moves of a range for balance.
	minMoveInterval = 1500 * time.Millisecond
	// minMoveIntervalOverloaded replaces minMoveInterval for a server whose
	// utilization exceeds overloadFactor times the mean.
	minMoveIntervalOverloaded = 300 * time.Millisecond
	overloadFactor            = 1.7
	// A plan contains at least minMovesPerPlan moves for balance, and one for each
	// serversPerMove servers, so that a hot spot spreads in the same time over many
	// servers as over few. maxMovesPerPlan bounds the time that a plan takes.
	minMovesPerPlan = 6
	serversPerMove  = 8
	maxMovesPerPlan = 100
	// ungrantedPlans is the number of plans whose moves may be without a grant; with
	// more, a service is not balanced.
	ungrantedPlans = 2
	// imbalanceFactor is the utilization relative to the mean above which a server's
	// load is reduced.
	imbalanceFactor = 1.25
	// noiseSigmas is the number of standard deviations of counting noise by which a
	// server's load must exceed its fair share before it is reduced.
	noiseSigmas = 1.5
	// minLoadPerServer is the number of remembered requests per server below which a
	// service is not balanced.
	minLoadPerServer = 3.0
	// uniformShare is the extra load that is spread evenly over all keys, relative to
	// the counted load, to allow for keys that have not been requested yet.
	uniformShare = 0.15
	// maxRangesPerServer is the number of ranges per server above which neighbouring
	// ranges are merged.
	maxRangesPerServer = 3
	// maxAbsorbedPerPlan bounds the small ranges that are assigned to a neighbour's
	// owner in one plan.
	maxAbsorbedPerPlan = 4
	// smallShare is the fraction of a server's fair share of load below which a range
	// counts as small.
	smallShare = 0.15
	// orphanPieces is the number of pieces into which an amount of orphaned load
	// equal to a fair share is split.
	orphanPieces = 3
)

// maxMoves returns the number of moves for balance that the plan may contain.
func (p *servicePlan) maxMoves() int {
	return min(max(minMovesPerPlan, len(p.nodes)/serversPerMove), maxMovesPerPlan)
}

// node is a backend server in a plan.
type node struct {
	holder   keyrange.Holder
	capacity float64 // relative throughput: slots × speed
	load     float64
	full     bool // gets no more keys, but keeps those that it has
}

func (n *node) utilization() float64 { return n.load / n.capacity }

// servicePlan is the plan of one service while it is being made.
type servicePlan struct {
	service    string
	weights    *weights
	nodes      []*node
	byHolder   map[keyrange.Holder]*node
	ranges     []planned
	mean       float64 // load per unit of capacity
	changed    bool
	reassigned []reassignment
}

// planned is a range in a plan.
type planned struct {
	keyrange.Range
	state *rangeState // nil when the range is new
	load  float64
	owner *node // nil when the owner cannot serve
}

// reassignment is a range that was assigned to another server, identified by its
// first key.
type reassignment struct {
	from   keyrange.Key
	before keyrange.Holder
	cause  Cause
}

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
		p.assignOrphans()
		if m.ungrantedRanges(name) < ungrantedPlans*p.maxMoves() {
			p.balance(now)
			p.absorb(now)
			p.join()
		}
		if p.changed {
			changed = true
			p.assignTokens(&fences, m.omit.newFence)
			moves = append(moves, p.moves()...)
		}
		tables = append(tables, p.table())
	}
	if !changed {
		return
	}
	rec := m.known
	rec.Change = m.change + 1
	m.change = rec.Change
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

// planService returns nil when the service has no usable server, or when its first
// plan is still delayed.
func (m *Machine) planService(now Time, name string) *servicePlan {
	servers := m.usableServers(now, name)
	if len(servers) == 0 {
		return nil
	}
	ranges := m.tableOf(name).Ranges
	if len(ranges) == 0 && now-m.firstSeen[name] < m.cfg.FirstPlanDelay {
		return nil
	}
	p := &servicePlan{service: name, byHolder: map[keyrange.Holder]*node{}}
	p.weights = newWeights(m.load.forService(name))
	ids := make([]string, 0, len(servers))
	for _, v := range servers {
		ids = append(ids, v.Holder.ID)
	}
	speeds := m.load.speeds(ids)
	for _, v := range servers {
		n := &node{
			holder:   v.Holder,
			capacity: float64(max(v.Slots, 1)) * speeds[v.Holder.ID],
			full:     m.full.contains(now, v.Holder),
		}
		if v.Cold > 0 {
			n.capacity /= 2
		}
		p.nodes = append(p.nodes, n)
		p.byHolder[v.Holder] = n
	}
	if len(ranges) == 0 {
		ranges = []keyrange.Range{{From: 0, To: keyrange.MaxKey}}
	}
	states := m.statesOf(name)
	for i, r := range ranges {
		var state *rangeState
		if i < len(states) {
			state = states[i]
		}
		p.addRange(r, state)
	}
	return p
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

func (p *servicePlan) addRange(r keyrange.Range, s *rangeState) {
	item := planned{Range: r, state: s, load: p.weights.rangeLoad(r.From, r.To), owner: p.byHolder[r.Owner]}
	if s != nil {
		item.Prior = slices.Clone(s.Prior)
		if s.needsToken && item.owner != nil {
			item.Fence = 0
			p.changed = true
		}
	}
	if item.owner != nil {
		item.owner.load += item.load
	}
	p.ranges = append(p.ranges, item)
}

// assignOrphans assigns every range without a usable owner to the servers with the
// lowest utilization, and splits large ranges.
func (p *servicePlan) assignOrphans() {
	piece := p.weights.total / float64(len(p.nodes)*orphanPieces)
	unassigned := len(p.ranges) == 1 && p.ranges[0].Owner.ID == ""
	if unassigned {
		p.spreadEvenly()
		return
	}
	var out []planned
	var orphans []planned
	for _, r := range p.ranges {
		if r.owner != nil {
			out = append(out, r)
			continue
		}
		orphans = append(orphans, p.splitByLoad(r, piece)...)
	}
	if len(orphans) == 0 {
		return
	}
	sort.SliceStable(orphans, func(i, j int) bool { return orphans[i].load > orphans[j].load })
	for i := range orphans {
		p.assign(&orphans[i], p.leastUsed(orphans[i].load), CauseOrphan)
	}
	p.ranges = append(out, orphans...)
	p.sort()
}

func (p *servicePlan) sort() {
	sort.Slice(p.ranges, func(i, j int) bool { return p.ranges[i].From < p.ranges[j].From })
}

// spreadEvenly makes the first assignment: one range for each server, in proportion
// to its capacity.
func (p *servicePlan) spreadEvenly() {
	sum := p.capacity()
	var out []planned
	from, done := 0, 0.0
	for i, n := range p.nodes {
		done += n.capacity / sum
		to := int(math.Round(done*float64(keyrange.KeyCount))) - 1
		if i == len(p.nodes)-1 {
			to = int(keyrange.MaxKey)
		}
		if to < from {
			continue
		}
		r := planned{Range: keyrange.Range{From: keyrange.Key(from), To: keyrange.Key(to)}}
		r.load = p.weights.rangeLoad(r.From, r.To)
		p.assign(&r, n, CauseFirst)
		out = append(out, r)
		from = to + 1
	}
	p.ranges = out
}

// assign moves r to n. The previous owner is added to the holders from which the
// range must be released.
func (p *servicePlan) assign(r *planned, n *node, cause Cause) {
	p.reassigned = append(p.reassigned, reassignment{from: r.From, before: r.Owner, cause: cause})
	if r.owner != nil {
		r.owner.load -= r.load
	}
	if r.Owner.ID != "" && r.Owner != n.holder && !slices.Contains(r.Prior, r.Owner) {
		r.Prior = append(slices.Clone(r.Prior), r.Owner)
	}
	r.Prior = slices.DeleteFunc(slices.Clone(r.Prior), func(h keyrange.Holder) bool { return h == n.holder })
	r.Owner = n.holder
	r.owner = n
	r.Fence = 0
	n.load += r.load
	p.changed = true
}

// splitByLoad splits r into parts of about limit load each, as far as the load of
// single keys allows.
func (p *servicePlan) splitByLoad(r planned, limit float64) []planned {
	var out []planned
	for r.load > limit*1.2 && r.Width() > 1 && limit > 0 {
		k := p.weights.keyAtLoad(r.From, r.To, limit)
		if k >= r.To {
			break
		}
		head, tail := p.split(r, k)
		out = append(out, head)
		r = tail
	}
	return append(out, r)
}

// split splits r after key k.
func (p *servicePlan) split(r planned, k keyrange.Key) (head, tail planned) {
	head, tail = r, r
	head.To, tail.From = k, k+1
	head.load = p.weights.rangeLoad(head.From, head.To)
	tail.load = p.weights.rangeLoad(tail.From, tail.To)
	return head, tail
}

// leastUsed returns the server whose utilization would be lowest with load added. A
// full one is chosen only if all are full, since every key needs an owner.
func (p *servicePlan) leastUsed(load float64) *node {
	best := p.nodes[0]
	for _, n := range p.nodes[1:] {
		lower := (n.load+load)/n.capacity < (best.load+load)/best.capacity
		if n.full == best.full && lower || best.full && !n.full {
			best = n
		}
	}
	return best
}

// assignTokens gives every range without a token the next fencing token.
func (p *servicePlan) assignTokens(fences *keyrange.Fence, reuse bool) {
	for i := range p.ranges {
		if p.ranges[i].Fence == 0 {
			if !reuse {
				*fences++
			}
			p.ranges[i].Fence = *fences
		}
	}
}

// moves returns the changes of owner. A range that was reassigned twice, or was
// merged into another since, is listed as it is now.
func (p *servicePlan) moves() []Move {
	mean := p.weights.total / p.capacity()
	table := p.table()
	var out []Move
	for _, change := range p.reassigned {
		r := table.Find(change.from)
		if r == nil || r.Owner == change.before {
			continue
		}
		move := Move{Service: p.service, Range: *r, Before: change.before, Cause: change.cause}
		move.Load = p.weights.rangeLoad(r.From, r.To) / p.weights.total
		move.RelativeLoad = p.byHolder[r.Owner].utilization() / mean
		out = append(out, move)
	}
	return out
}

func (p *servicePlan) table() keyrange.Table {
	t := keyrange.Table{Service: p.service}
	for _, r := range p.ranges {
		r.Granted = false
		t.Ranges = append(t.Ranges, r.Range)
	}
	return t
}
