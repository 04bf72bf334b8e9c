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
	// restTime is how long a range stays after a move for the sake of balance.
	minMoveInterval = 1500 * time.Millisecond
	// shortRest is that time at a server whose load lies overloaded times above
	// the mean.
	minMoveIntervalOverloaded = 300 * time.Millisecond
	overloadFactor            = 1.7
	// movesPerPlan bounds the moves for the sake of balance in one plan.
	maxMovesPerPlan = 6
	// movingAtOnce bounds the ranges that are not granted while balance is sought.
	maxUngrantedRanges = 10
	// imbalance is the load over the mean from which a server gives keys away.
	imbalanceFactor = 1.25
	// noiseSigmas is how many standard deviations of counting noise a server's
	// load must lie above the mean before it gives keys away.
	noiseSigmas = 1.5
	// smallestLoad is the number of remembered requests per server below which
	// balance is not sought.
	minLoadPerServer = 3.0
	// uniformShare is the share of the weight that is spread evenly over all
	// keys, for keys that no request has asked for yet.
	uniformShare = 0.15
	// rangesPerServer is the number of ranges for each server from which
	// neighbours are joined.
	maxRangesPerServer = 3
	// absorbPerPlan bounds the ranges that neighbours' owners take over in one plan.
	maxAbsorbedPerPlan = 4
	// smallShare is the share of a server's fair load below which a range is small.
	smallShare = 0.15
	// orphanPieces is the number of pieces into which a fair share of orphaned
	// load is cut.
	orphanPieces = 3
)

// node is a backend server in a plan.
type node struct {
	holder   keyrange.Holder
	capacity float64 // relative throughput: slots × speed
	load     float64
}

func (n *node) utilization() float64 { return n.load / n.capacity }

// servicePlan is the planning of one service.
type servicePlan struct {
	service    string
	weights    *weights
	nodes      []*node
	byID       map[keyrange.Holder]*node
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

// given is a range that was given to another server, by its first key.
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
		if m.ungrantedRanges(name) < maxUngrantedRanges {
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
	m.append(rec, moves)
}

// serviceNames returns the services that have ranges or shall have some, sorted.
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

// usable returns the servers of a service that may own keys.
func (m *Machine) usableServers(now Time, service string) []directory.Server {
	var out []directory.Server
	for _, v := range m.servers.Servers {
		if v.Service == service && v.State == directory.Ready && !m.suspects.unreachable(now, v.Holder) {
			out = append(out, v)
		}
	}
	return out
}

// planService returns nil when nothing can be planned.
func (m *Machine) planService(now Time, name string) *servicePlan {
	servers := m.usableServers(now, name)
	if len(servers) == 0 {
		return nil
	}
	ranges := m.tableOf(name).Ranges
	if len(ranges) == 0 && now-m.firstSeen[name] < m.cfg.FirstPlanDelay {
		return nil
	}
	p := &servicePlan{service: name, byID: map[keyrange.Holder]*node{}}
	p.weights = newWeights(m.load.forService(name))
	ids := make([]string, 0, len(servers))
	for _, v := range servers {
		ids = append(ids, v.Holder.ID)
	}
	speeds := m.load.speeds(ids)
	for _, v := range servers {
		n := &node{holder: v.Holder, capacity: float64(max(v.Slots, 1)) * speeds[v.Holder.ID]}
		if v.Cold > 0 {
			n.capacity /= 2
		}
		p.nodes = append(p.nodes, n)
		p.byID[v.Holder] = n
	}
	if len(ranges) == 0 {
		ranges = []keyrange.Range{{From: 0, To: keyrange.MaxKey}}
	}
	for _, r := range ranges {
		p.addRange(r, m.stateOf(name, r.From))
	}
	return p
}

func (m *Machine) stateOf(service string, k keyrange.Key) *rangeState {
	for _, r := range m.ranges {
		if r.service == service && r.Contains(k) {
			return r
		}
	}
	return nil
}

func (p *servicePlan) addRange(r keyrange.Range, s *rangeState) {
	item := planned{Range: r, state: s, load: p.weights.rangeLoad(r.From, r.To), owner: p.byID[r.Owner]}
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

// placeOrphans gives every range without a usable owner to the servers with
// the least load, cutting large ones.
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

// spreadEvenly makes the first assignment: one span for each server, by capacity.
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

// give moves r to n. The former owner joins the holders to be released.
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

// cut splits r into parts of at most limit load each, where keys allow it.
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

// split cuts r after key k.
func (p *servicePlan) split(r planned, k keyrange.Key) (head, tail planned) {
	head, tail = r, r
	head.To, tail.From = k, k+1
	head.load = p.weights.rangeLoad(head.From, head.To)
	tail.load = p.weights.rangeLoad(tail.From, tail.To)
	return head, tail
}

// leastUsed returns the server whose use is lowest once it carries load more.
func (p *servicePlan) leastUsed(load float64) *node {
	best := p.nodes[0]
	for _, n := range p.nodes[1:] {
		if (n.load+load)/n.capacity < (best.load+load)/best.capacity {
			best = n
		}
	}
	return best
}

// number gives every moved range the next fencing token.
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

// moves tells what was given away. A range that was given twice, or joined to
// another since, shows as it is now.
func (p *servicePlan) moves() []Move {
	mean := p.weights.total / p.capacity()
	table := p.table()
	var out []Move
	for _, g := range p.reassigned {
		r := table.Find(g.from)
		if r == nil || r.Owner == g.before {
			continue
		}
		move := Move{Service: p.service, Range: *r, Before: g.before, Cause: g.cause}
		move.Load = p.weights.rangeLoad(r.From, r.To) / p.weights.total
		move.RelativeLoad = p.byID[r.Owner].utilization() / mean
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
