package planner

import (
	"fmt"
	"slices"
	"strings"
)

// builder holds the state from which one plan is built.
type builder struct {
	in     Input
	owner  []int     // by shard
	moved  []bool    // by shard: the owner changes
	cause  []Cause   // by shard, where moved
	load   []float64 // by server
	limit  []float64 // by server: load above which shards are moved away
	goal   []float64 // by server: load that rebalancing aims for
	queue  *loadHeap // servers that accept shards, by relative load
	budget int
}

// Make returns the moves that the input requires. An empty plan means that the
// placements may stay as they are. No shard moves when no server accepts shards.
func Make(in Input) Plan {
	if in.Policy.MaxImbalance <= 1 {
		in.Policy.MaxImbalance = defaultMaxImbalance
	}
	b := newBuilder(in)
	if b.queue.len() == 0 {
		return Plan{}
	}
	b.placeOrphans()
	b.rebalance()
	successors := b.chooseSuccessors()
	return b.plan(successors)
}

func newBuilder(in Input) *builder {
	b := &builder{
		in:     in,
		owner:  make([]int, len(in.Placements)),
		moved:  make([]bool, len(in.Placements)),
		cause:  make([]Cause, len(in.Placements)),
		load:   make([]float64, len(in.Servers)),
		budget: in.Budget,
	}
	for i, p := range in.Placements {
		b.owner[i] = p.Owner
		if p.Owner != Unowned {
			b.load[p.Owner] += b.shardLoad(i)
		}
	}
	b.setLimits()
	b.queue = newLoadHeap(len(in.Servers), b.relativeLoad)
	for i, s := range in.Servers {
		if s.acceptsShards() {
			b.queue.push(i)
		}
	}
	return b
}

func (b *builder) shardLoad(shard int) float64 {
	if b.in.Load == nil {
		return 1
	}
	return b.in.Load[shard]
}

func (b *builder) relativeLoad(server int) float64 {
	return b.load[server] / b.in.Servers[server].capacity()
}

// setLimits computes the load limit and the goal of each server. One average
// shard above the mean is always allowed, since shards are not split and a
// tighter limit might not be reachable.
func (b *builder) setLimits() {
	total, capacity := 0.0, 0.0
	for i := range b.in.Placements {
		total += b.shardLoad(i)
	}
	for _, s := range b.in.Servers {
		capacity += s.capacity()
	}
	average := total / float64(max(len(b.in.Placements), 1))
	spare := b.in.Policy.MaxImbalance - 1
	goalSpare := spare
	if b.in.Load != nil {
		goalSpare *= goalFactor
	}
	b.limit = make([]float64, len(b.in.Servers))
	b.goal = make([]float64, len(b.in.Servers))
	for i, s := range b.in.Servers {
		mean := 0.0
		if capacity > 0 {
			mean = total * s.capacity() / capacity
		}
		b.limit[i] = mean + max(mean*spare, average)
		b.goal[i] = mean + max(mean*goalSpare, average)
	}
}

// placeOrphans assigns a new owner to every shard without a usable one. A shard
// of a lost server goes to its first successor that accepts shards, whatever that
// server's load: requests may have been failed over to it already, so any other
// choice would move the shard twice.
func (b *builder) placeOrphans() {
	for shard, p := range b.in.Placements {
		if p.Owner == Unowned {
			b.move(shard, b.queue.min(), FirstOwner)
			continue
		}
		switch {
		case b.ownerLost(shard):
			b.move(shard, b.replacementOwner(shard, true), ServerLost)
		case b.in.Servers[p.Owner].State == Draining:
			b.move(shard, b.replacementOwner(shard, false), Drained)
		}
	}
}

// ownerLost reports whether the shard's owner is lost or its requests were failed
// over already.
func (b *builder) ownerLost(shard int) bool {
	if b.in.FailedOver != nil && b.in.FailedOver[shard] {
		return true
	}
	return b.in.Servers[b.in.Placements[shard].Owner].State == Lost
}

// replacementOwner returns the first successor that accepts shards and, unless
// always is set, would stay within its limit. Without such a successor it returns
// the least loaded server.
func (b *builder) replacementOwner(shard int, always bool) int {
	for _, s := range b.in.Placements[shard].Successors {
		if !b.in.Servers[s].acceptsShards() {
			continue
		}
		if always || b.load[s]+b.shardLoad(shard) <= b.limit[s] {
			return s
		}
	}
	return b.queue.min()
}

func (b *builder) move(shard, to int, cause Cause) {
	load := b.shardLoad(shard)
	if from := b.owner[shard]; from != Unowned {
		b.load[from] -= load
		b.queue.fix(from)
	}
	b.owner[shard] = to
	b.moved[shard] = true
	b.cause[shard] = cause
	b.load[to] += load
	b.queue.fix(to)
}

// rebalance moves shards away from servers above their limit, most loaded server
// first, within the budget.
func (b *builder) rebalance() {
	if b.budget <= 0 {
		return
	}
	var over []int
	for i, s := range b.in.Servers {
		if s.acceptsShards() && b.load[i] > b.limit[i] {
			over = append(over, i)
		}
	}
	if len(over) == 0 {
		return
	}
	slices.SortStableFunc(over, func(x, y int) int {
		return compareFloat(b.relativeLoad(y), b.relativeLoad(x))
	})
	shards := b.movableShards(over)
	for _, server := range over {
		b.offload(server, shards[server])
	}
}

// movableShards returns the shards of the given servers that may be moved to
// balance the load, most loaded first.
func (b *builder) movableShards(servers []int) map[int][]int {
	out := make(map[int][]int, len(servers))
	for _, s := range servers {
		out[s] = nil
	}
	for shard, owner := range b.owner {
		list, wanted := out[owner]
		if !wanted || b.moved[shard] {
			continue
		}
		if b.in.SinceMove != nil && b.in.SinceMove[shard] < b.in.Policy.MinRest {
			continue
		}
		out[owner] = append(list, shard)
	}
	if b.in.Load == nil {
		return out
	}
	for _, list := range out {
		slices.SortStableFunc(list, func(x, y int) int {
			return compareFloat(b.in.Load[y], b.in.Load[x])
		})
	}
	return out
}

// offload moves shards away from server until its load is at its goal. Each move
// must leave the receiver within its goal and below the previous load of server,
// so that rebalancing terminates.
func (b *builder) offload(server int, shards []int) {
	for _, shard := range shards {
		if b.budget == 0 || b.load[server] <= b.goal[server] {
			return
		}
		to := b.queue.min()
		load := b.shardLoad(shard)
		if load <= 0 || to == server {
			return
		}
		if b.load[to]+load > b.goal[to] || b.load[to]+load >= b.load[server] {
			continue
		}
		b.move(shard, to, Balance)
		b.budget--
	}
}

func compareFloat(x, y float64) int {
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

// plan returns the moves of all shards whose owner or successors change.
func (b *builder) plan(successors [][]int) Plan {
	var p Plan
	for shard := range b.in.Placements {
		if !b.moved[shard] && successors[shard] == nil {
			continue
		}
		next := successors[shard]
		if next == nil {
			next = b.in.Placements[shard].Successors
		}
		cause := SuccessorReplaced
		if b.moved[shard] {
			cause = b.cause[shard]
		}
		p.Moves = append(p.Moves, Move{
			Shard:     shard,
			Placement: Placement{Owner: b.owner[shard], Successors: next},
			Cause:     cause,
		})
	}
	p.Cause = b.describe(p.Moves)
	return p
}

// maxNamedServers is the maximum number of servers named per cause in Plan.Cause.
const maxNamedServers = 8

// describe returns a summary such as "server lost: 51 shards of s3; imbalance: 2 shards of s1".
func (b *builder) describe(moves []Move) string {
	var count [len(causeText)]int
	var from [len(causeText)][]int
	seen := map[[2]int]bool{}
	for _, m := range moves {
		count[m.Cause]++
		owner := b.in.Placements[m.Shard].Owner
		k := [2]int{int(m.Cause), owner}
		if owner != Unowned && m.Cause != SuccessorReplaced && !seen[k] {
			seen[k] = true
			from[m.Cause] = append(from[m.Cause], owner)
		}
	}
	var parts []string
	for c, n := range count {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s: %d shards%s", Cause(c), n, b.serverNames(from[c])))
		}
	}
	return strings.Join(parts, "; ")
}

func (b *builder) serverNames(servers []int) string {
	if len(servers) == 0 {
		return ""
	}
	slices.Sort(servers)
	var names []string
	for _, s := range servers[:min(len(servers), maxNamedServers)] {
		names = append(names, b.in.Servers[s].ID)
	}
	text := " of " + strings.Join(names, ", ")
	if more := len(servers) - maxNamedServers; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}
