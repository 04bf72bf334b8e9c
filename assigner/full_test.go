package assigner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// reportFull reports servers as full from a number of hosts.
func (c *testLeader) reportFull(hosts int, d time.Duration, servers ...keyrange.Holder) {
	var list []FullServer
	for _, h := range servers {
		list = append(list, FullServer{Holder: h, ForMS: d.Milliseconds()})
	}
	for i := range hosts {
		c.m.AddReport(c.now, fmt.Sprintf("h%d", i), Report{Full: list})
	}
}

// keysOf returns the number of keys of a server.
func (c *testLeader) keysOf(id string) int {
	n := 0
	for _, r := range c.m.currentMap().Table("stock").Ranges {
		if r.Owner.ID == id {
			n += r.Width()
		}
	}
	return n
}

// fullActions returns the actions about full servers since the last call.
func (c *testLeader) fullActions() (begun []FullBegun, ended []FullEnded) {
	for _, a := range c.m.Ready() {
		switch a := a.(type) {
		case FullBegun:
			begun = append(begun, a)
		case FullEnded:
			ended = append(ended, a)
		}
	}
	return begun, ended
}

// A server that is full gets no requests, so that it looks idle: hot ranges moved to it.
func TestHotRangesDoNotMoveToAFullServer(t *testing.T) {
	for _, hosts := range []int{1, 8, 295} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			c := newTestLeader(10, equalSlots)
			c.run(time.Second)
			hot := rand.New(rand.NewPCG(1, 2))
			upper := func() keyrange.Key { return keyrange.Key(keyrange.KeyCount/2 + hot.IntN(keyrange.KeyCount/2)) }
			full := holders("s000", "s001")
			before := c.keysOf("s000") + c.keysOf("s001")
			c.reportFull(hosts, 4*time.Second, full...)
			c.load(3500*time.Millisecond, 300, upper)
			require.LessOrEqual(t, c.keysOf("s000")+c.keysOf("s001"), before)
			c.requireCovered(t)
			c.load(3*time.Second, 300, upper)
			owners := map[string]bool{}
			for range 1000 {
				owners[c.m.currentMap().Table("stock").Find(upper()).Owner.ID] = true
			}
			require.True(t, owners["s000"] || owners["s001"], "they get some after their time")
		})
	}
}

// A range does not go to the owner of its neighbour either if that is full.
func TestNeighbourThatIsFullGetsNothing(t *testing.T) {
	free, full := &plannedServer{capacity: 1}, &plannedServer{capacity: 1, full: true}
	p := &servicePlan{mean: 10, servers: []*plannedServer{free, full}, ranges: []plannedRange{{owner: full}, {owner: free}}}
	other := &plannedServer{capacity: 1}
	require.Same(t, other, p.neighbourOr(0, 1, other))
	require.Same(t, free, p.neighbourOr(1, 1, other))
	require.Same(t, free, p.leastUsed(100))
	require.Same(t, free, p.leastUtilized())
}

// A full server keeps the keys that it has, also if every server is full.
func TestFullServersKeepTheirKeys(t *testing.T) {
	c := newTestLeader(4, equalSlots)
	c.run(time.Second)
	before := c.m.currentMap().Table("stock").Ranges
	c.reportFull(8, time.Minute, holders("s000", "s001", "s002", "s003")...)
	c.run(5 * time.Second)
	require.Equal(t, before, c.m.currentMap().Table("stock").Ranges)
	c.list(3, equalSlots)
	c.run(5 * time.Second)
	require.Zero(t, c.keysOf("s003"), "a lost server's keys are assigned even so")
	c.requireCovered(t)
}

// Hundreds of hosts that report the same server cost one entry, and one line at its
// beginning and its end.
func TestFullServerOfManyHostsIsToldOnce(t *testing.T) {
	c := newTestLeader(4, equalSlots)
	c.run(time.Second)
	c.fullActions()
	full := holders("s001")
	for range 5 {
		c.reportFull(295, 2*time.Second, full...)
		c.now += 100 * time.Millisecond
	}
	c.reportFull(1, 10*time.Millisecond, full...) // of a host that was told a shorter time
	require.Len(t, c.m.full.until, 1)
	begun, ended := c.fullActions()
	require.Equal(t, []FullBegun{{Server: full[0], For: 2 * time.Second, From: "h0"}}, begun)
	require.Empty(t, ended)
	c.now += 1800 * time.Millisecond
	c.m.Tick(c.now)
	require.True(t, c.m.full.contains(c.now, full[0]), "until the end of the longest report")
	c.now += 200 * time.Millisecond
	c.m.Tick(c.now)
	_, ended = c.fullActions()
	require.Equal(t, []FullEnded{{Server: full[0]}}, ended)
	require.Empty(t, c.m.full.until)
}

// The time ends with the process: a new start is another server. Nor does a report count
// for longer than the bound.
func TestFullServerIsOneProcess(t *testing.T) {
	c := newTestLeader(4, equalSlots)
	c.run(time.Second)
	c.reportFull(1, time.Hour, holders("s001")...)
	require.LessOrEqual(t, c.m.full.until[holders("s001")[0]], c.now+MaxFull)
	require.True(t, c.m.isFull(c.now, "s001"))
	s := &directory.Snapshot{Servers: []directory.Server{{
		Holder: keyrange.Holder{ID: "s001", StartedMS: 2}, Service: "stock", Address: "s001", Slots: 3, State: directory.Ready,
	}}}
	c.m.SetServers(c.now, Servers{Snapshot: s, Sharded: []string{"stock"}})
	require.False(t, c.m.isFull(c.now, "s001"))
	c.m.Tick(c.now)
	require.Empty(t, c.m.full.until)
}

// Hosts that a full owner has told to wait send and report nothing. The limit on its hot
// key holds, or begins, for the other hosts all the same.
func TestAdmissionCountsAFullOwner(t *testing.T) {
	for _, c := range []struct {
		hosts   int
		limited bool
	}{{8, false}, {66, true}, {295, true}} {
		m := New(Config{Self: Host{Name: "h"}}, 0)
		owner := keyrange.Holder{ID: "owner", StartedMS: 1}
		m.SetServers(0, Servers{Snapshot: &directory.Snapshot{Servers: []directory.Server{
			{Holder: owner, Service: "stock", Address: "a", Slots: 4, State: directory.Ready},
		}}})
		m.SetHostCount(c.hosts)
		m.AddReport(1, "h2", Report{Full: []FullServer{{Holder: owner, ForMS: 3000}}})
		limitedFor := time.Duration(0)
		for now := admissionInterval; now < 5*time.Second; now += admissionInterval {
			m.admission.offered(hotKey, "owner", 100) // nothing of it is answered or rejected
			m.Tick(now)
			m.decideAdmission(now)
			if len(m.admitted.Limits) == 1 {
				limitedFor += admissionInterval
			}
		}
		if !c.limited {
			require.Zero(t, limitedFor, "%d hosts", c.hosts)
			continue
		}
		require.GreaterOrEqual(t, limitedFor, 2500*time.Millisecond, "%d hosts", c.hosts)
		require.Empty(t, m.full.until)
	}
}
