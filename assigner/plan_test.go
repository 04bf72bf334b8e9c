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

// testLeader is a machine that leads, with a store and servers that answer at once.
type testLeader struct {
	m   *Machine
	now Time
	end uint64
	// answers reports whether a server answers a release; nil if each does.
	answers func(Release) bool
}

func newTestLeader(servers int, slots func(i int) int) *testLeader {
	c := &testLeader{now: time.Hour}
	c.m = New(Config{
		Self: Host{Name: "h"}, Lease: time.Second, ConfirmEvery: 300 * time.Millisecond,
		Hold: 2 * time.Second, HoldMax: 10 * time.Second, RenewEvery: 700 * time.Millisecond,
	}, c.now)
	c.list(servers, slots)
	return c
}

func (c *testLeader) list(servers int, slots func(i int) int) {
	s := &directory.Snapshot{}
	for i := range servers {
		id := fmt.Sprintf("s%03d", i)
		s.Servers = append(s.Servers, directory.Server{
			Holder: keyrange.Holder{ID: id, StartedMS: 1}, Service: "stock", Address: id, Slots: slots(i), State: directory.Ready,
		})
	}
	c.m.SetServers(c.now, Servers{Snapshot: s, Sharded: []string{"stock"}})
}

// run advances the time; every call succeeds at once.
func (c *testLeader) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += 10 * time.Millisecond {
		c.m.Tick(c.now)
		for _, a := range c.m.Ready() {
			switch a := a.(type) {
			case Load:
				c.m.StepLoaded(c.now, Loaded{Start: c.now, End: c.end})
			case Confirm:
				c.m.StepConfirmed(c.now, Confirmed{Start: c.now, End: c.end})
			case Append:
				c.end++
				c.m.StepAppended(c.now, Appended{Start: c.now, End: c.end})
			case Grant:
				c.m.StepGranted(c.now, Granted{Service: a.Service, Range: a.Range})
			case Release:
				if c.answers != nil && !c.answers(a) {
					continue
				}
				c.m.StepReleased(c.now, Released{Service: a.Service, Range: a.Range, Holder: a.Holder, Handover: "h"})
			}
		}
	}
}

// load runs for d with perSecond requests a second, whose keys draw chooses.
func (c *testLeader) load(d time.Duration, perSecond int, draw func() keyrange.Key) {
	const step = 100 * time.Millisecond
	for range int(d / step) {
		var r Report
		for range perSecond / 10 {
			r.Keys = append(r.Keys, KeyLoad{Service: "stock", Key: draw(), Count: 1})
		}
		c.m.AddReport(c.now, "h", r)
		c.run(step)
	}
}

// imbalance returns the load of the busiest server relative to the mean, for keys
// chosen by draw.
func (c *testLeader) imbalance(draw func() keyrange.Key) float64 {
	const draws = 20000
	table := c.m.currentMap().Table("stock")
	count := map[string]int{}
	for range draws {
		count[table.Find(draw()).Owner.ID]++
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	return float64(most) * float64(len(c.m.servers.Servers)) / draws
}

func equalSlots(int) int { return 3 }

// requireCovered checks that the ranges cover the whole key space exactly once.
func (c *testLeader) requireCovered(t *testing.T) {
	t.Helper()
	next := 0
	for _, r := range c.m.currentMap().Table("stock").Ranges {
		require.Equal(t, next, int(r.From))
		next = int(r.To) + 1
	}
	require.Equal(t, keyrange.KeyCount, next)
}

func TestFirstPlanFollowsCapacity(t *testing.T) {
	c := newTestLeader(10, func(i int) int { return 1 + i%2*3 })
	c.run(time.Second)
	c.requireCovered(t)
	for _, r := range c.m.currentMap().Table("stock").Ranges {
		require.InDelta(t, float64(1+int(r.Owner.ID[3]-'0')%2*3)/25, float64(r.Width())/float64(keyrange.KeyCount), 0.01)
	}
}

// hotNeighbours draws almost half of the requests from 60 neighbouring keys.
func hotNeighbours(seed uint64) func() keyrange.Key {
	r := rand.New(rand.NewPCG(seed, 2))
	return func() keyrange.Key {
		if r.Float64() < 0.43 {
			return keyrange.Key(30000 + r.IntN(60))
		}
		return keyrange.Key(r.IntN(keyrange.KeyCount))
	}
}

// Almost half of the requests go to 60 neighbouring keys. With the baseline, an even
// split that never moves, one server gets all of them.
func TestHotNeighboursAreSpread(t *testing.T) {
	for _, servers := range []int{20, 140, 752} {
		c := newTestLeader(servers, equalSlots)
		hot := hotNeighbours(1)
		c.run(time.Second)
		baseline := c.imbalance(hot)
		c.load(2*time.Second, servers*7, hot)
		after := c.imbalance(hot)
		t.Logf("%d servers: busiest over mean %.2f, evenly split %.2f", servers, after, baseline)
		require.Less(t, after, baseline/3)
		c.requireCovered(t)
	}
}

// One key gets much of the traffic. Within 1.5 s it has a range of its own, wherever it
// lies in the range that it was in, so that no other key shares its overloaded owner's
// room for long and the requests for it can be limited.
func TestHotKeyIsSeparated(t *testing.T) {
	for _, servers := range []int{20, 158, 752} {
		for _, position := range []string{"first", "middle", "last"} {
			for _, share := range []float64{0.1, 0.4} {
				t.Run(fmt.Sprintf("%s of a range, %d servers, %.1f of the traffic", position, servers, share), func(t *testing.T) {
					c := newTestLeader(servers, equalSlots)
					r := rand.New(rand.NewPCG(3, 4))
					even := func() keyrange.Key { return keyrange.Key(r.IntN(keyrange.KeyCount)) }
					c.run(time.Second)
					c.load(time.Second, servers*7, even)
					in := c.m.currentMap().Table("stock").Find(30000)
					hot := map[string]keyrange.Key{"first": in.From, "middle": (in.From + in.To) / 2, "last": in.To}[position]
					c.load(1500*time.Millisecond, servers*7, func() keyrange.Key {
						if r.Float64() < share {
							return hot
						}
						return even()
					})
					require.Equal(t, 1, c.m.currentMap().Table("stock").Find(hot).Width())
				})
			}
		}
	}
}

// The busiest server carries less than 1.3 times the mean two seconds after the load
// has become concentrated.
func TestBusiestServerTarget(t *testing.T) {
	for _, servers := range []int{20, 140, 752} {
		c := newTestLeader(servers, equalSlots)
		hot := hotNeighbours(1)
		c.run(time.Second)
		c.load(2*time.Second, servers*7, hot)
		require.Less(t, c.imbalance(hot), 1.3, "%d servers", servers)
	}
}

// Under a load without hot keys whose rate varies, hardly any range moves.
func TestSteadyLoadMovesLittle(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	c := newTestLeader(20, equalSlots)
	even := func() keyrange.Key { return keyrange.Key(r.IntN(keyrange.KeyCount)) }
	c.run(time.Second)
	before := c.m.known.Fences
	for i := range 10 {
		c.load(time.Second, 130+20*(i%2), even)
	}
	require.Less(t, int(c.m.known.Fences-before), 25, "moves in ten seconds")
}

// Replays an even load of a few requests a second at each of 20 servers. The noise of the
// counts alone moves less than one range in five seconds.
func TestCountingNoiseMovesFewKeys(t *testing.T) {
	const (
		seeds   = 5
		seconds = 10
	)
	moves := 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 2))
		c := newTestLeader(20, equalSlots)
		c.run(time.Second)
		before := c.m.known.Fences
		c.load(seconds*time.Second, 140, func() keyrange.Key { return keyrange.Key(rng.IntN(keyrange.KeyCount)) })
		moves += int(c.m.known.Fences - before)
	}
	t.Logf("%d moves in %d s", moves, seeds*seconds)
	require.Less(t, moves, seeds*seconds/5)
}

// A server with three times its share is relieved in more than nine plans of ten, also if
// a plan knows only a few requests for each server.
func TestBusyServerIsRelieved(t *testing.T) {
	const (
		plans    = 1000
		required = 0.9 * plans
	)
	for _, fair := range []float64{8, 17, 33} {
		rng := rand.New(rand.NewPCG(uint64(fair), 6))
		relieved := 0
		for range plans {
			busy := share{load: float64(poisson(rng, 3*fair)), fair: fair}
			if moveIsDue(busy, share{load: fair, fair: fair}) {
				relieved++
			}
		}
		t.Logf("fair share %.0f: %d plans of %d relieve the busy server", fair, relieved, plans)
		require.Greater(t, float64(relieved), required, "fair share %.0f", fair)
	}
}

// Servers that have just joined get keys though none of the others is far above its
// share.
func TestJoinedServerIsGivenKeys(t *testing.T) {
	const fair = 24.0
	require.True(t, moveIsDue(share{load: fair * 4 / 3, fair: fair}, share{fair: fair}))
	require.False(t, moveIsDue(share{load: fair * 4 / 3, fair: fair}, share{load: fair * 3 / 4, fair: fair}))
}

// When servers leave, their keys are assigned to those with the least load.
func TestLostServersKeysAreSpread(t *testing.T) {
	c := newTestLeader(20, equalSlots)
	c.run(time.Second)
	c.list(16, equalSlots)
	c.run(4 * time.Second)
	c.requireCovered(t)
	width := map[string]int{}
	for _, r := range c.m.currentMap().Table("stock").Ranges {
		require.True(t, r.Granted)
		require.Less(t, r.Owner.ID, "s016")
		width[r.Owner.ID] += r.Width()
	}
	for id, n := range width {
		require.InDelta(t, 1.0/16, float64(n)/float64(keyrange.KeyCount), 0.03, id)
	}
}

// New servers are assigned keys while there is load.
func TestNewServersGetKeys(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	even := func() keyrange.Key { return keyrange.Key(r.IntN(keyrange.KeyCount)) }
	c := newTestLeader(12, equalSlots)
	c.run(time.Second)
	c.load(2*time.Second, 150, even)
	c.list(16, equalSlots)
	c.load(4*time.Second, 150, even)
	owners := map[string]bool{}
	for _, x := range c.m.currentMap().Table("stock").Ranges {
		owners[x.Owner.ID] = true
	}
	require.Len(t, owners, 16)
}

// The number of ranges stays bounded while the hot keys move through the key space.
func TestRangesAreJoined(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	c := newTestLeader(20, equalSlots)
	c.run(time.Second)
	wander := func(from, to int) {
		for i := from; i < to; i++ {
			base := i * 2500
			c.load(3*time.Second, 200, func() keyrange.Key {
				if r.Float64() < 0.4 {
					return keyrange.Key(base + r.IntN(200))
				}
				return keyrange.Key(r.IntN(keyrange.KeyCount))
			})
			c.requireCovered(t)
		}
	}
	wander(0, 12)
	half := len(c.m.ranges)
	wander(12, 24)
	require.Less(t, len(c.m.ranges), half*5/4, "ranges after twice the time")
}

// A server with high latency is assigned fewer keys.
func TestSlowServersGetLess(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	c := newTestLeader(10, equalSlots)
	c.run(time.Second)
	for range 30 {
		var rep Report
		for range 20 {
			rep.Keys = append(rep.Keys, KeyLoad{Service: "stock", Key: keyrange.Key(r.IntN(keyrange.KeyCount)), Count: 1})
			id := r.IntN(10)
			ms := 200
			if id == 0 {
				ms = 800
			}
			rep.Latencies = append(rep.Latencies, ServerLatency{ID: fmt.Sprintf("s%03d", id), Millis: ms})
		}
		c.m.AddReport(c.now, "h", rep)
		c.run(100 * time.Millisecond)
	}
	width := 0
	for _, x := range c.m.currentMap().Table("stock").Ranges {
		if x.Owner.ID == "s000" {
			width += x.Width()
		}
	}
	require.Less(t, float64(width)/float64(keyrange.KeyCount), 0.07)
}

func BenchmarkPlan(b *testing.B) {
	for _, servers := range []int{23, 188, 752, 3001} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 2))
			c := newTestLeader(servers, equalSlots)
			c.run(time.Second)
			c.load(2*time.Second, servers*7, func() keyrange.Key { return keyrange.Key(r.IntN(keyrange.KeyCount)) })
			for b.Loop() {
				c.m.plan(c.now)
				c.m.pending, c.m.storeBusy = nil, false
			}
		})
	}
}
