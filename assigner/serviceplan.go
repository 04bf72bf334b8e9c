package assigner

import (
	"slices"
	"sort"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// plannedServer is a backend server in a plan.
type plannedServer struct {
	holder   keyrange.Holder
	capacity float64 // relative throughput: slots × speed
	load     float64
	full     bool // gets no more keys, but keeps those that it has
}

// utilization returns the load relative to the capacity.
func (n *plannedServer) utilization() float64 { return n.load / n.capacity }

// servicePlan is the plan of one service while it is being made.
type servicePlan struct {
	service    string
	weights    *weights
	servers    []*plannedServer
	byHolder   map[keyrange.Holder]*plannedServer
	ranges     []plannedRange
	mean       float64 // load per unit of capacity
	changed    bool
	reassigned []reassignment
}

// plannedRange is a range in a plan.
type plannedRange struct {
	keyrange.Range
	state *rangeState // nil when the range is new
	load  float64
	owner *plannedServer // nil when the owner cannot serve
}

// reassignment is a range that was assigned to another server, identified by its
// first key.
type reassignment struct {
	from   keyrange.Key
	before keyrange.Holder
	cause  Cause
}

// assignRanges decides which servers own the ranges. While too many of them are
// ungranted, only those without a usable owner are assigned.
func (p *servicePlan) assignRanges(now Time, ungranted int) {
	p.assignOrphans()
	if ungranted >= ungrantedPlans*p.maxMoves() {
		return
	}
	p.balance(now)
	p.absorb(now)
	p.join()
}

// addRange adds a range with its load. s is nil when the range is new.
func (p *servicePlan) addRange(r keyrange.Range, s *rangeState) {
	item := plannedRange{Range: r, state: s, load: p.weights.rangeLoad(r.From, r.To), owner: p.byHolder[r.Owner]}
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

// sort sorts the ranges by their first key.
func (p *servicePlan) sort() {
	sort.Slice(p.ranges, func(i, j int) bool { return p.ranges[i].From < p.ranges[j].From })
}

// assign moves r to n. The previous owner is added to the holders from which the
// range must be released.
func (p *servicePlan) assign(r *plannedRange, n *plannedServer, cause Cause) {
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

// split splits r after key k.
func (p *servicePlan) split(r plannedRange, k keyrange.Key) (head, tail plannedRange) {
	head, tail = r, r
	head.To, tail.From = k, k+1
	head.load = p.weights.rangeLoad(head.From, head.To)
	tail.load = p.weights.rangeLoad(tail.From, tail.To)
	return head, tail
}

// leastUsed returns the server whose utilization would be lowest with load added. A
// full one is chosen only if all are full, since every key needs an owner.
func (p *servicePlan) leastUsed(load float64) *plannedServer {
	best := p.servers[0]
	for _, n := range p.servers[1:] {
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

// table returns the planned ranges, as a record lists them.
func (p *servicePlan) table() keyrange.Table {
	t := keyrange.Table{Service: p.service}
	for _, r := range p.ranges {
		r.Granted = false
		t.Ranges = append(t.Ranges, r.Range)
	}
	return t
}

// capacity returns the total capacity of all servers.
func (p *servicePlan) capacity() float64 {
	sum := 0.0
	for _, n := range p.servers {
		sum += n.capacity
	}
	return sum
}
