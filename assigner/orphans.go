package assigner

import (
	"math"
	"sort"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// orphanPieces is the number of pieces into which an amount of orphaned load equal to
// a fair share is split.
const orphanPieces = 3

// assignOrphans assigns every range without a usable owner to the servers with the
// lowest utilization, and splits large ranges.
func (p *servicePlan) assignOrphans() {
	piece := p.weights.total / float64(len(p.servers)*orphanPieces)
	unassigned := len(p.ranges) == 1 && p.ranges[0].Owner.ID == ""
	if unassigned {
		p.spreadEvenly()
		return
	}
	var out []plannedRange
	var orphans []plannedRange
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

// spreadEvenly makes the first assignment: one range for each server, in proportion
// to its capacity.
func (p *servicePlan) spreadEvenly() {
	sum := p.capacity()
	var out []plannedRange
	from, done := 0, 0.0
	for i, n := range p.servers {
		done += n.capacity / sum
		to := int(math.Round(done*float64(keyrange.KeyCount))) - 1
		if i == len(p.servers)-1 {
			to = int(keyrange.MaxKey)
		}
		if to < from {
			continue
		}
		r := plannedRange{Range: keyrange.Range{From: keyrange.Key(from), To: keyrange.Key(to)}}
		r.load = p.weights.rangeLoad(r.From, r.To)
		p.assign(&r, n, CauseFirst)
		out = append(out, r)
		from = to + 1
	}
	p.ranges = out
}

// splitByLoad splits r into parts of about limit load each, as far as the load of
// single keys allows.
func (p *servicePlan) splitByLoad(r plannedRange, limit float64) []plannedRange {
	var out []plannedRange
	for r.load > limit*wholeRangeTolerance && r.Width() > 1 && limit > 0 {
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
