package assigner

import (
	"math"
	"slices"
	"sort"
	"time"
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
	// imbalanceFactor is the utilization relative to the mean above which a server's
	// load is reduced.
	imbalanceFactor = 1.25
	// excessSigmas is the number of standard deviations of counting noise by which a
	// server's load must exceed its fair share before it is reduced. excessSigmasIdle
	// applies while another server is idle.
	excessSigmas     = 2.5
	excessSigmasIdle = 1.5
	// idleShare is the load relative to the fair share below which a server is idle.
	idleShare = 0.25
	// minLoadPerServer is the number of remembered requests per server below which a
	// service is not balanced.
	minLoadPerServer = 3.0
	// wholeRangeTolerance is the load of a part, relative to the load that should
	// move, up to which the part moves as a whole.
	wholeRangeTolerance = 1.2
	// minPartToMove is the load of a range, relative to the load that should move, up
	// to which the range is not worth a move.
	minPartToMove = 0.2
	// goodFit is the load of a range, relative to the load that should move, above which
	// the range is preferred to a larger one that does not fit.
	goodFit = 0.5
	// A part that was split off is too large if its load exceeds tooLargeFactor times the
	// load that should move, and mostOfRange of the whole range's.
	tooLargeFactor = 2
	mostOfRange    = 0.9
)

// balance moves load from the servers with the highest utilization to those with the
// lowest. It corrects load that is concentrated on a few neighbouring keys, and
// servers of different speed.
func (p *servicePlan) balance(now Time) {
	p.mean = p.weights.total / p.capacity()
	if p.weights.requests < minLoadPerServer*float64(len(p.servers)) || len(p.servers) < 2 {
		return
	}
	for range p.maxMoves() {
		if !p.moveOne(now, p.mean) {
			return
		}
	}
}

// moveOne makes the most useful move and reports whether there was one.
func (p *servicePlan) moveOne(now Time, mean float64) bool {
	sort.SliceStable(p.servers, func(i, j int) bool { return p.servers[i].utilization() > p.servers[j].utilization() })
	to := p.leastUtilized()
	if to == nil {
		return false
	}
	for _, from := range p.servers {
		giver, receiver := share{from.load, mean * from.capacity}, share{to.load, mean * to.capacity}
		if !moveIsDue(giver, receiver) {
			continue
		}
		amount := min(giver.load-giver.fair, receiver.fair-receiver.load)
		if amount <= 0 {
			return false
		}
		if p.moveLoad(now, from, to, amount) {
			return true
		}
	}
	return false
}

// share is the load of a server and its fair share of the service's load.
type share struct{ load, fair float64 }

// sigmas returns by how many standard deviations of counting noise the load exceeds the
// fair share.
func (s share) sigmas() float64 { return (s.load - s.fair) / math.Sqrt(max(s.fair, 1)) }

// moveIsDue reports whether keys should move from one server to another.
//
// At an even load of a few requests a second at each server, some server is always well
// above the mean by chance. Keys that move have no owner until their holder has finished
// the requests that run on them, so a move for noise only makes callers wait. An idle
// receiver has probably just joined: then a smaller excess is enough, as the others share
// its load.
func moveIsDue(giver, receiver share) bool {
	if giver.load < giver.fair*imbalanceFactor {
		return false
	}
	if receiver.load < receiver.fair*idleShare {
		return giver.sigmas() >= excessSigmasIdle
	}
	return giver.sigmas() >= excessSigmas
}

// leastUtilized returns the last of the sorted servers that may get more load, or nil.
func (p *servicePlan) leastUtilized() *plannedServer {
	for _, n := range slices.Backward(p.servers) {
		if !n.full {
			return n
		}
	}
	return nil
}

// moveLoad moves about amount of load between two servers. It reports whether a range
// could be moved.
func (p *servicePlan) moveLoad(now Time, from, to *plannedServer, amount float64) bool {
	best := p.rangeToMove(now, from, amount)
	if best < 0 {
		return false
	}
	r := &p.ranges[best]
	if r.load > amount*wholeRangeTolerance {
		return p.splitAndAssign(best, to, amount)
	}
	owner := p.neighbourOr(best-1, r.load, p.neighbourOr(best+1, r.load, to))
	p.assign(r, owner, CauseBalance)
	return true
}

// rangeToMove returns the index of the range of a server that suits a move of amount
// best, or -1.
func (p *servicePlan) rangeToMove(now Time, from *plannedServer, amount float64) int {
	minInterval := minMoveInterval
	if from.utilization() > overloadFactor*p.mean {
		minInterval = minMoveIntervalOverloaded
	}
	best := -1
	for i := range p.ranges {
		r := &p.ranges[i]
		if r.owner != from || r.Fence == 0 || r.state == nil || !r.state.Granted {
			continue
		}
		if now-r.state.movedAt < minInterval || r.load <= amount*minPartToMove {
			continue
		}
		if r.isSingleKey() && r.load > amount*wholeRangeTolerance {
			continue // can neither move as a whole nor be split
		}
		if best < 0 || betterFit(r.load, p.ranges[best].load, amount) {
			best = i
		}
	}
	return best
}

// isSingleKey reports whether the range has one key, so that it cannot be split.
func (r *plannedRange) isSingleKey() bool { return r.Width() == 1 }

// betterFit reports whether load a suits a move of amount better than b: loads that
// fit the amount are preferred, then the larger.
func betterFit(a, b, amount float64) bool {
	fitsA, fitsB := a <= amount*wholeRangeTolerance, b <= amount*wholeRangeTolerance
	if fitsA != fitsB {
		return fitsA && a > amount*goodFit || !fitsA && b <= amount*goodFit
	}
	return a > b
}

// splitAndAssign splits about amount of load off one end of a range, the end at which
// fewer keys carry it, and assigns that part to n. If one key at that end carries much
// more, the other part is assigned to n.
func (p *servicePlan) splitAndAssign(i int, n *plannedServer, amount float64) bool {
	r := p.ranges[i]
	if r.isSingleKey() {
		return false
	}
	low := p.weights.keyAtLoad(r.From, r.To, amount)
	high := p.weights.keyAtLoad(r.From, r.To, r.load-amount)
	low, high = min(low, r.To-1), min(high, r.To-1)
	var keep, move plannedRange
	if int(low)-int(r.From) <= int(r.To)-int(high) {
		move, keep = p.split(r, low)
		n = p.neighbourOr(i-1, move.load, n)
	} else {
		keep, move = p.split(r, high)
		n = p.neighbourOr(i+1, move.load, n)
	}
	tooMuch := func(part plannedRange) bool {
		return part.load > tooLargeFactor*amount+1 && part.load > r.load*mostOfRange
	}
	if tooMuch(move) {
		keep, move = move, keep
	}
	if move.load <= 0 || tooMuch(move) {
		return false
	}
	p.assign(&move, n, CauseBalance)
	p.ranges[i] = keep
	p.ranges = append(p.ranges, move)
	p.sort()
	return true
}

// neighbourOr returns the owner of range i if it has capacity for load, else n.
// Adjacent ranges of one server can be merged.
func (p *servicePlan) neighbourOr(i int, load float64, n *plannedServer) *plannedServer {
	if i < 0 || i >= len(p.ranges) {
		return n
	}
	owner := p.ranges[i].owner
	if owner == nil || owner.full || owner.load+load > p.mean*owner.capacity {
		return n
	}
	return owner
}

// maxMoves returns the number of moves for balance that the plan may contain.
func (p *servicePlan) maxMoves() int {
	return min(max(minMovesPerPlan, len(p.servers)/serversPerMove), maxMovesPerPlan)
}
