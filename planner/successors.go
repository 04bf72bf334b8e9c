package planner

import "slices"

// maxDomains is the maximum number of failure domains that are distinguished.
// Further ones share a number with an earlier one, which only narrows the choice
// of successors.
const maxDomains = 64

// maxSuccessorSkew is how many times its even share of an owner's shards one
// server may be given as successor of the same rank before others are preferred.
const maxSuccessorSkew = 2

// chooser chooses successors so that the load stays as balanced as possible after
// the loss of any failure domain.
type chooser struct {
	b        *builder
	domain   []int        // by server
	domains  int          // number of distinguished domains
	members  [][]int      // by domain: servers that accept shards
	eligible []int        // servers that accept shards
	ranks    []*rankLoads // by rank
}

// rankLoads holds, for successors of one rank, the load of each server after the
// loss of a failure domain.
type rankLoads struct {
	extra [][]float64   // by lost domain, by server: load that it would take over
	heaps [][]*loadHeap // by lost domain, by domain of the server
}

// chooseSuccessors returns the new successor list of each shard, nil where it is
// unchanged.
func (b *builder) chooseSuccessors() [][]int {
	out := make([][]int, len(b.owner))
	c := newChooser(b)
	kept := make([][]int, len(b.owner))
	var short []int
	for shard := range b.owner {
		kept[shard] = c.keptSuccessors(shard)
		if len(kept[shard]) < c.successorCount() {
			short = append(short, shard)
		} else if b.moved[shard] {
			out[shard] = kept[shard]
		}
	}
	if len(short) == 0 {
		return out
	}
	c.countKept(kept)
	slices.SortStableFunc(short, func(x, y int) int { return b.owner[x] - b.owner[y] })
	for len(short) > 0 {
		owner := b.owner[short[0]]
		n := 1
		for n < len(short) && b.owner[short[n]] == owner {
			n++
		}
		c.fillOwner(owner, short[:n], kept, out)
		short = short[n:]
	}
	return out
}

func newChooser(b *builder) *chooser {
	c := &chooser{b: b, domain: make([]int, len(b.in.Servers))}
	numbers := map[string]int{}
	for i, s := range b.in.Servers {
		n, ok := numbers[s.Domain]
		if !ok {
			n = len(numbers)
			numbers[s.Domain] = n
		}
		c.domain[i] = n % maxDomains
	}
	c.domains = min(len(numbers), maxDomains)
	c.members = make([][]int, c.domains)
	for i, s := range b.in.Servers {
		if s.acceptsShards() {
			c.members[c.domain[i]] = append(c.members[c.domain[i]], i)
			c.eligible = append(c.eligible, i)
		}
	}
	return c
}

// successorCount returns how many successors each shard gets: the wanted number,
// or fewer when there are not enough servers.
func (c *chooser) successorCount() int { return min(c.b.in.Successors, len(c.eligible)-1) }

// keptSuccessors returns the current successors that remain valid. When the owner
// changes, those in the new owner's failure domain are dropped if servers in other
// domains are available.
func (c *chooser) keptSuccessors(shard int) []int {
	owner := c.b.owner[shard]
	present := c.b.in.Placements[shard].Successors
	kept := make([]int, 0, c.b.in.Successors)
	otherDomainAvailable := len(c.members[c.domain[owner]]) < len(c.eligible)
	for _, s := range present {
		if s == owner || !c.b.in.Servers[s].acceptsShards() {
			continue
		}
		if c.b.moved[shard] && otherDomainAvailable && c.domain[s] == c.domain[owner] {
			continue
		}
		kept = append(kept, s)
	}
	return kept[:min(len(kept), c.b.in.Successors)]
}

// countKept initialises the loads of each rank and adds the load that the kept
// successors would take over.
func (c *chooser) countKept(kept [][]int) {
	for range c.b.in.Successors {
		r := &rankLoads{extra: make([][]float64, c.domains), heaps: make([][]*loadHeap, c.domains)}
		for d := range r.extra {
			r.extra[d] = make([]float64, len(c.b.in.Servers))
		}
		c.ranks = append(c.ranks, r)
	}
	for shard, list := range kept {
		lost := c.domain[c.b.owner[shard]]
		for rank, s := range list {
			c.ranks[rank].extra[lost][s] += c.b.shardLoad(shard)
		}
	}
}

// heapsOf returns, by domain, the heaps of servers that may take over from the
// lost domain.
func (c *chooser) heapsOf(rank, lost int) []*loadHeap {
	r := c.ranks[rank]
	if r.heaps[lost] != nil {
		return r.heaps[lost]
	}
	extra := r.extra[lost]
	key := func(s int) float64 {
		return (c.b.load[s] + extra[s]) / c.b.in.Servers[s].capacity()
	}
	r.heaps[lost] = make([]*loadHeap, c.domains)
	for d, members := range c.members {
		h := newLoadHeap(len(c.b.in.Servers), key)
		for _, s := range members {
			h.push(s)
		}
		r.heaps[lost][d] = h
	}
	return r.heaps[lost]
}

// fillOwner completes the successor lists of one owner's shards.
func (c *chooser) fillOwner(owner int, shards []int, kept, out [][]int) {
	for rank := range c.successorCount() {
		p := c.newPicker(rank, owner, len(shards))
		for _, shard := range shards {
			if len(kept[shard]) > rank {
				continue
			}
			s := p.pick(kept[shard], c.b.shardLoad(shard))
			if s >= 0 {
				kept[shard] = append(kept[shard], s)
			}
		}
		p.restore()
	}
	for _, shard := range shards {
		out[shard] = kept[shard]
	}
}

// picker chooses the successors of one rank for the shards of one owner.
type picker struct {
	c      *chooser
	owner  int
	lost   int
	extra  []float64
	heaps  []*loadHeap
	count  map[int]int // by server: picks for this owner
	cap    int
	capped []int // servers at the cap, removed from their heaps
}

func (c *chooser) newPicker(rank, owner, shards int) *picker {
	lost := c.domain[owner]
	candidates := len(c.eligible) - len(c.members[lost])
	if candidates == 0 {
		candidates = max(len(c.eligible)-1, 1)
	}
	return &picker{
		c:     c,
		owner: owner,
		lost:  lost,
		extra: c.ranks[rank].extra[lost],
		heaps: c.heapsOf(rank, lost),
		count: map[int]int{},
		cap:   (maxSuccessorSkew*shards + candidates - 1) / candidates,
	}
}

// pick returns a server that is neither the owner nor in list: preferably in a
// failure domain that neither the owner nor list uses, else in a domain other than
// the owner's, else in any domain. It returns -1 if there is none.
func (p *picker) pick(list []int, load float64) int {
	for _, allowed := range p.domainFilters(list) {
		s := p.leastLoaded(list, allowed)
		if s < 0 && len(p.capped) > 0 {
			p.restore()
			s = p.leastLoaded(list, allowed)
		}
		if s >= 0 {
			p.assign(s, load)
			return s
		}
	}
	return -1
}

// domainFilters returns the predicates that a failure domain is checked against,
// strictest first.
func (p *picker) domainFilters(list []int) []func(domain int) bool {
	otherDomain := func(d int) bool { return d != p.lost }
	unused := func(d int) bool {
		if d == p.lost {
			return false
		}
		for _, s := range list {
			if p.c.domain[s] == d {
				return false
			}
		}
		return true
	}
	return []func(int) bool{unused, otherDomain, func(int) bool { return true }}
}

// leastLoaded returns the least loaded server, over all allowed domains, that is
// neither the owner nor in list, or -1.
func (p *picker) leastLoaded(list []int, allowed func(int) bool) int {
	best := -1
	var bestKey float64
	for d, h := range p.heaps {
		if !allowed(d) {
			continue
		}
		s := p.leastLoadedIn(h, list)
		if s < 0 {
			continue
		}
		if k := h.key(s); best < 0 || k < bestKey {
			best, bestKey = s, k
		}
	}
	return best
}

// leastLoadedIn returns the least loaded server of h that is neither the owner nor
// in list, or -1.
func (p *picker) leastLoadedIn(h *loadHeap, list []int) int {
	var skipped []int
	found := -1
	for h.len() > 0 && found < 0 {
		s := h.min()
		if s != p.owner && !slices.Contains(list, s) {
			found = s
			break
		}
		skipped = append(skipped, h.pop())
	}
	for _, s := range skipped {
		h.push(s)
	}
	return found
}

// assign adds load to server s and removes s from its heap once it has reached the
// cap.
func (p *picker) assign(s int, load float64) {
	p.extra[s] += load
	h := p.heaps[p.c.domain[s]]
	h.fix(s)
	p.count[s]++
	if p.count[s] >= p.cap {
		h.remove(s)
		p.capped = append(p.capped, s)
	}
}

// restore returns the capped servers to their heaps and resets their counts.
func (p *picker) restore() {
	for _, s := range p.capped {
		p.count[s] = 0
		p.heaps[p.c.domain[s]].push(s)
	}
	p.capped = p.capped[:0]
}
