package assigner

import "github.com/lacewingsaddle/lacewingsaddle/keyrange"

const (
	// maxRangesPerServer is the number of ranges per server above which neighbouring
	// ranges are merged.
	maxRangesPerServer = 3
	// maxAbsorbedPerPlan bounds the small ranges that are assigned to a neighbour's
	// owner in one plan.
	maxAbsorbedPerPlan = 4
	// smallShare is the fraction of a server's fair share of load below which a range
	// counts as small.
	smallShare = 0.15
)

// join merges neighbouring ranges of one server when there are many ranges, since
// each range costs a renewal per interval. The server needs a new token for the
// merged range, but keeps what it holds.
func (p *servicePlan) join() {
	if len(p.ranges) <= maxRangesPerServer*len(p.servers) {
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

// absorb assigns ranges with little load to the owner of the preceding range when
// there are many ranges, so that join can merge them.
func (p *servicePlan) absorb(now Time) {
	if len(p.ranges) <= maxRangesPerServer*len(p.servers) {
		return
	}
	fair := p.weights.total / float64(len(p.servers))
	for i, left := 1, maxAbsorbedPerPlan; i < len(p.ranges) && left > 0; i++ {
		r := &p.ranges[i]
		to := p.ranges[i-1].owner
		if !r.grantedToOwner() || r.Fence == 0 || now-r.state.movedAt < minMoveInterval || to == nil || to == r.owner {
			continue
		}
		if to.full || r.load > smallShare*fair || to.load+r.load > imbalanceFactor*p.mean*to.capacity {
			continue
		}
		p.assign(r, to, CauseAbsorb)
		left--
	}
}

// grantedToOwner reports whether the range is granted to its planned owner. It also
// holds for a range that this plan has just merged from such ranges.
func (r *plannedRange) grantedToOwner() bool {
	return r.state != nil && r.state.Granted && r.owner != nil && r.Owner == r.state.Owner
}

// joinable reports whether b can be merged into a: both have the same owner, are
// adjacent and have no earlier holders.
func joinable(a, b keyrange.Range) bool {
	return a.Owner == b.Owner && int(a.To)+1 == int(b.From) && len(a.Prior) == 0 && len(b.Prior) == 0
}
