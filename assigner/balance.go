package assigner

import (
	"math"
	"sort"
)

// balance moves load from the fullest servers to the emptiest. It answers a
// load that gathers on a few neighbouring keys, and servers of unequal speed.
func (p *servicePlan) balance(now Time) {
	p.mean = p.weights.total / p.capacity()
	if p.weights.requests < minLoadPerServer*float64(len(p.nodes)) || len(p.nodes) < 2 {
		return
	}
	for range maxMovesPerPlan {
		if !p.moveOne(now, p.mean) {
			return
		}
	}
}

// capacity returns the capacity of all servers together.
func (p *servicePlan) capacity() float64 {
	sum := 0.0
	for _, n := range p.nodes {
		sum += n.capacity
	}
	return sum
}

// moveOne makes the most useful move and reports whether there was one.
func (p *servicePlan) moveOne(now Time, mean float64) bool {
	sort.SliceStable(p.nodes, func(i, j int) bool { return p.nodes[i].utilization() > p.nodes[j].utilization() })
	cold := p.nodes[len(p.nodes)-1]
	for _, hot := range p.nodes {
		fair := mean * hot.capacity
		if hot.utilization() < mean*imbalanceFactor || hot.load-fair < noiseSigmas*math.Sqrt(max(fair, 1)) {
			continue
		}
		amount := min(hot.load-fair, mean*cold.capacity-cold.load)
		if amount <= 0 {
			return false
		}
		if p.moveLoad(now, hot, cold, amount) {
			return true
		}
	}
	return false
}

// shift moves about amount of load from hot to cold.
func (p *servicePlan) moveLoad(now Time, hot, cold *node, amount float64) bool {
	minInterval := minMoveInterval
	if hot.utilization() > overloadFactor*p.mean {
		minInterval = minMoveIntervalOverloaded
	}
	best := -1
	for i := range p.ranges {
		r := &p.ranges[i]
		if r.owner != hot || r.Fence == 0 || r.state == nil || !r.state.Granted {
			continue
		}
		if now-r.state.movedAt < minInterval || r.load <= amount*0.2 {
			continue
		}
		if best < 0 || betterFit(r.load, p.ranges[best].load, amount) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	r := p.ranges[best]
	if r.load <= amount*1.2 {
		to := p.neighbourOr(best-1, r.load, p.neighbourOr(best+1, r.load, cold))
		p.assign(&p.ranges[best], to, CauseBalance)
		return true
	}
	return p.splitAndAssign(best, cold, amount)
}

// closer prefers a load that fits amount, else the largest.
func betterFit(a, b, amount float64) bool {
	fitsA, fitsB := a <= amount*1.2, b <= amount*1.2
	if fitsA != fitsB {
		return fitsA && a > amount*0.5 || !fitsA && b <= amount*0.5
	}
	return a > b
}

// cutAndGive cuts about amount of load off the end of a range that needs fewer
// keys for it, and gives the piece to n.
func (p *servicePlan) splitAndAssign(i int, n *node, amount float64) bool {
	r := p.ranges[i]
	if r.Width() < 2 {
		return false
	}
	low := p.weights.keyAtLoad(r.From, r.To, amount)
	high := p.weights.keyAtLoad(r.From, r.To, r.load-amount)
	low, high = min(low, r.To-1), min(high, r.To-1)
	var keep, move planned
	if int(low)-int(r.From) <= int(r.To)-int(high) {
		move, keep = p.split(r, low)
		n = p.neighbourOr(i-1, move.load, n)
	} else {
		keep, move = p.split(r, high)
		n = p.neighbourOr(i+1, move.load, n)
	}
	if move.load <= 0 || move.load > 2*amount+1 && move.load > r.load*0.9 {
		return false
	}
	p.assign(&move, n, CauseBalance)
	p.ranges[i] = keep
	p.ranges = append(p.ranges, move)
	p.sort()
	return true
}

// join makes one range of neighbours that one server holds, when there are many
// ranges: each costs a renewal every time. The server needs a new token for it,
// but keeps what it holds.
func (p *servicePlan) join() {
	if len(p.ranges) <= maxRangesPerServer*len(p.nodes) {
		return
	}
	out := p.ranges[:1]
	for _, r := range p.ranges[1:] {
		last := &out[len(out)-1]
		if last.grantedToOwner() && r.grantedToOwner() && joinable(last.Range, r.Range) {
			last.To = r.To
			last.load += r.load
			last.Fence = 0
			p.changed = true
			continue
		}
		out = append(out, r)
	}
	p.ranges = out
}

// absorb gives ranges with little load to the owner of a neighbour, when there are
// many ranges, so that they can be joined.
func (p *servicePlan) absorb(now Time) {
	if len(p.ranges) <= maxRangesPerServer*len(p.nodes) {
		return
	}
	fair := p.weights.total / float64(len(p.nodes))
	for i, left := 1, maxAbsorbedPerPlan; i < len(p.ranges) && left > 0; i++ {
		r := &p.ranges[i]
		to := p.ranges[i-1].owner
		if !r.grantedToOwner() || r.Fence == 0 || now-r.state.movedAt < minMoveInterval || to == nil || to == r.owner {
			continue
		}
		if r.load > smallShare*fair || to.load+r.load > imbalanceFactor*p.mean*to.capacity {
			continue
		}
		p.assign(r, to, CauseAbsorb)
		left--
	}
}

// settled reports whether the range is granted to its owner as it is, or has just
// been joined of such ranges.
func (r *planned) grantedToOwner() bool {
	return r.state != nil && r.state.Granted && r.owner != nil && r.Owner == r.state.Owner
}

// neighbour returns the owner of range i if it has room for load, else n. Ranges
// side by side at one server can be joined.
func (p *servicePlan) neighbourOr(i int, load float64, n *node) *node {
	if i < 0 || i >= len(p.ranges) {
		return n
	}
	owner := p.ranges[i].owner
	if owner == nil || owner.load+load > p.mean*owner.capacity {
		return n
	}
	return owner
}
