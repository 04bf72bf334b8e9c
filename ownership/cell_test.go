package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/planner"
)

const (
	cellTick   = 10 * time.Millisecond
	cellDelay  = 5 * time.Millisecond   // one-way network delay
	cellAppend = 20 * time.Millisecond  // from an append until it can be read
	cellDetect = 300 * time.Millisecond // time without answers until a host judges a server lost
	cellShards = 12
)

// cellHost is one entry host of a cell.
type cellHost struct {
	m           *Machine
	view        *View
	read        int
	down        bool
	pausedUntil Instant // the process does not run before this time
	judged      map[string]bool
}

// cell simulates a cluster of machines with exact clocks and a network with a fixed
// delay.
type cell struct {
	t              testing.TB
	now            Instant
	hosts          []*cellHost
	byID           map[MemberID]int
	log            [][]byte
	delayedAppends []delayedRecord
	logDown        bool
	messages       []cellMessage
	cut            map[[2]int]bool
	frozen         map[string]Instant // servers that do not answer, and since when
	refuses        map[string]bool    // frozen servers whose process has ended
	falseSuspicion func(host int, server string) bool
	sent           []int // messages sent, by host
	lastUnserved   Instant
	top            [cellShards]Route // route under the highest token, by shard
	specs          []ServiceSpec
}

type cellMessage struct {
	at       Instant
	from, to int
	ask      *Confirm
	answer   *ConfirmReply
}

func cellSpecs(checks bool) []ServiceSpec {
	s := ServiceSpec{
		Name: "s", Shards: cellShards, Successors: 2, ChecksGrants: checks, NonIdempotentTimeout: 2 * time.Second,
		Policy: planner.Policy{MaxImbalance: 1.15, MovesPerMinute: 60, MinRest: time.Minute},
	}
	for i := range 6 {
		s.Servers = append(s.Servers, planner.Server{ID: fmt.Sprintf("srv%d", i), Domain: fmt.Sprintf("d%d", i%3)})
	}
	return []ServiceSpec{s}
}

func newCell(t testing.TB, hosts int, checks bool) *cell {
	c := &cell{
		t: t, byID: map[MemberID]int{}, cut: map[[2]int]bool{}, frozen: map[string]Instant{},
		refuses: map[string]bool{}, sent: make([]int, hosts),
	}
	c.specs = cellSpecs(checks)
	for i := range hosts {
		m := NewMachine(testConfig(fmt.Sprintf("h%d", i)))
		m.SetServices(c.specs)
		c.byID[m.Self().ID] = i
		c.hosts = append(c.hosts, &cellHost{m: m, judged: map[string]bool{}})
		data, err := m.JoinRecord().Encode()
		require.NoError(t, err)
		c.log = append(c.log, data)
	}
	c.run(1500 * time.Millisecond)
	return c
}

func (c *cell) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += time.Millisecond {
		for i, h := range c.hosts {
			if h.down || h.pausedUntil > c.now {
				continue
			}
			c.judge(i, h)
			if (c.now+Instant(i)*time.Millisecond)%cellTick == 0 {
				c.readLog(h)
				h.m.Tick(c.now)
				c.carryOut(i)
			}
		}
		c.deliver()
		c.check()
	}
}

func (c *cell) readLog(h *cellHost) {
	kept := c.delayedAppends[:0]
	for _, r := range c.delayedAppends {
		if r.at <= c.now {
			c.log = append(c.log, r.data)
			continue
		}
		kept = append(kept, r)
	}
	c.delayedAppends = kept
	for ; h.read < len(c.log) && !c.logDown; h.read++ {
		_, _ = h.m.ApplyRecord(c.now, Offset(h.read+1), c.log[h.read])
	}
}

// judge updates the servers that the host judges lost.
func (c *cell) judge(i int, h *cellHost) {
	for _, s := range c.specs[0].Servers {
		since, frozen := c.frozen[s.ID]
		lost := frozen && (c.now >= since+cellDetect || c.refuses[s.ID])
		if c.falseSuspicion != nil && c.falseSuspicion(i, s.ID) {
			lost = true
		}
		if lost != h.judged[s.ID] {
			h.judged[s.ID] = lost
			h.m.SetSuspect(c.now, Suspect{Service: "s", Server: s.ID, Gone: lost && c.refuses[s.ID]}, lost)
			c.carryOut(i)
		}
	}
}

func (c *cell) carryOut(i int) {
	h := c.hosts[i]
	h.view = h.m.View()
	for _, q := range h.m.OutstandingQueries() {
		h.m.ReportOutstanding(c.now, q, 0)
	}
	h.view = h.m.View()
	for _, action := range h.m.Ready() {
		switch a := action.(type) {
		case Send:
			c.send(cellMessage{from: i, to: c.byID[a.To.ID], ask: &a.Msg})
		case Append:
			if c.logDown {
				continue
			}
			data, err := a.Record.Encode()
			require.NoError(c.t, err)
			c.delayedAppends = append(c.delayedAppends, delayedRecord{at: c.now + cellAppend, data: data})
		}
	}
}

func (c *cell) send(m cellMessage) {
	c.sent[m.from]++
	m.at = c.now + cellDelay
	c.messages = append(c.messages, m)
}

func (c *cell) deliver() {
	messages := c.messages
	c.messages = nil
	for _, m := range messages {
		h := c.hosts[m.to]
		if m.at > c.now || h.pausedUntil > c.now {
			c.messages = append(c.messages, m)
			continue
		}
		if h.down || c.cut[[2]int{m.from, m.to}] {
			continue
		}
		if m.ask != nil {
			reply := h.m.HandleConfirm(c.now, *m.ask)
			c.send(cellMessage{from: m.to, to: m.from, answer: &reply})
		} else {
			h.m.HandleReply(c.now, *m.answer)
		}
		c.carryOut(m.to)
	}
}

// check requires that ownership is exclusive and records until when a shard was
// unserved.
func (c *cell) check() {
	for i, h := range c.hosts {
		if h.down || h.pausedUntil > c.now || h.view == nil {
			continue
		}
		// A host that resumes after a pause has one round to catch up.
		resuming := h.pausedUntil > 0 && h.pausedUntil+DefaultRound > c.now
		for shard := range cellShards {
			route, ok := c.route(h, shard)
			if ok {
				c.checkOwner(i, shard, route)
			}
			_, frozen := c.frozen[route.Server]
			if (!ok || frozen) && !resuming && !c.isolated(i) {
				c.lastUnserved = c.now + time.Millisecond
			}
		}
	}
}

// checkOwner requires that only the owner with the highest token is routed to.
func (c *cell) checkOwner(host, shard int, route Route) {
	top := &c.top[shard]
	if route.Token < top.Token && route.Server != top.Server {
		require.Fail(c.t, "two owners", "host %d, shard %d: %v and %v at %v", host, shard, route, *top, c.now)
	}
	if route.Token > top.Token {
		*top = route
	}
}

func (c *cell) route(h *cellHost, shard int) (Route, bool) {
	sv := h.view.Services["s"]
	if sv == nil || !h.view.MayRoute(c.now) {
		return Route{}, false
	}
	r := sv.Routes[shard]
	return r, !r.Held && r.Server != ""
}

// isolated reports whether the host cannot exchange messages with a majority.
func (c *cell) isolated(i int) bool {
	reach := 0
	for j, h := range c.hosts {
		if !h.down && h.pausedUntil <= c.now && !c.cut[[2]int{i, j}] && !c.cut[[2]int{j, i}] {
			reach++
		}
	}
	return 2*reach <= len(c.hosts)
}

// owners returns the server of each shard, as routed by a host of the majority.
func (c *cell) owners() []string {
	for i, h := range c.hosts {
		if h.down || h.pausedUntil > c.now || c.isolated(i) {
			continue
		}
		out := make([]string, cellShards)
		for shard := range out {
			r, _ := c.route(h, shard)
			out[shard] = r.Server
		}
		return out
	}
	return nil
}

// partition cuts the given hosts off from the others in both directions.
func (c *cell) partition(side ...int) {
	in := map[int]bool{}
	for _, i := range side {
		in[i] = true
	}
	for i := range c.hosts {
		for j := range c.hosts {
			if in[i] != in[j] {
				c.cut[[2]int{i, j}] = true
			}
		}
	}
}
