package cluster

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

const (
	// drainBound is the platform's bound on the time in which a leaving server's keys move.
	drainBound = 2 * time.Second
	// staysReady is how long a leaving server's entry may still read ready.
	staysReady = 3 * time.Second
	// outageSpreadTime is the time within which hosts tell each other of a leaving server
	// while no assigner can act.
	outageSpreadTime = 4 * time.Second
)

// keysOfServer returns the number of keys that the hosts' maps assign to a server, at
// the most of all hosts.
func (w *world) keysOfServer(h keyrange.Holder) int {
	most := 0
	for _, name := range w.names() {
		n := 0
		for _, r := range w.host(name).View().Owners.Table(stockName).Ranges {
			if r.Owner == h {
				n += r.Width()
			}
		}
		most = max(most, n)
	}
	return most
}

// stateOn returns the state of a server as one host sees it, or "" if the host does not
// list that process.
func (w *world) stateOn(host string, h keyrange.Holder) directory.State {
	if v := w.host(host).View().Servers.Find(h.ID); v != nil && v.Holder == h {
		return v.State
	}
	return ""
}

func (w *world) requireDrainingEverywhere(t *testing.T, h keyrange.Holder) {
	t.Helper()
	for _, name := range w.names() {
		require.Equal(t, directory.Draining, w.stateOn(name, h), "%s on %s", h.ID, name)
	}
}

// holdsNothing requires that a server holds none of the sampled keys.
func (w *world) holdsNothing(t *testing.T, s *fakeServer) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range sampled {
		require.False(t, time.Now().Before(s.until[k]), "%s holds key %d", s.holder.ID, k)
	}
}

// A leaving server got new keys and requests for as long as its entry read ready.
func TestLeavingServerLosesItsKeysWhileItsEntryReadsReady(t *testing.T) {
	for _, reporter := range []string{"follower", "assigner"} {
		t.Run(reporter, func(t *testing.T) {
			withDeployment(t, 4, 6, func(w *world) {
				s := w.server("s1")
				host := w.followers()[0]
				if reporter == "assigner" {
					host = w.leaders()[0]
				}
				w.host(host).AddLeaving(s.holder)
				w.watch(drainBound)
				w.requireDrainingEverywhere(t, s.holder)
				require.Zero(t, w.keysOfServer(s.holder))
				w.holdsNothing(t, s)
				for range int((staysReady - drainBound) / (500 * time.Millisecond)) {
					w.list(s, directory.Ready)
					require.Zero(t, w.watch(500*time.Millisecond))
				}
				w.requireDrainingEverywhere(t, s.holder)
				require.Zero(t, w.keysOfServer(s.holder))
				w.list(s, directory.Draining)
				w.watch(time.Second)
				w.unlist(s)
				w.watch(leaveTime)
				require.False(t, w.usedAgain("s1"))
			})
		})
	}
}

// While the store is away no record can move keys: they stay where they are, every host
// learns that the server leaves, and the keys move as soon as the store answers.
func TestServerLeavesWhileTheStoreIsAway(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		s := w.server("s1")
		w.store.setDown(true)
		w.watch(2 * time.Second)
		w.host(w.names()[3]).AddLeaving(s.holder)
		w.watch(outageSpreadTime)
		w.requireDrainingEverywhere(t, s.holder)
		w.store.setDown(false)
		w.watch(settleTime)
		w.requireDrainingEverywhere(t, s.holder)
		require.Zero(t, w.keysOfServer(s.holder))
		require.Equal(t, sampled, w.heldKeys())
	})
}

// A server that starts again under its id is another one, which is used.
func TestLeavingServerStartsAnew(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		old := w.server("s1").holder
		for _, name := range w.names() {
			w.host(name).AddLeaving(old)
		}
		w.watch(drainBound)
		require.Zero(t, w.keysOfServer(old))
		now := w.addServer("s1").holder
		w.watch(settleTime)
		for _, name := range w.names() {
			w.host(name).AddLeaving(old) // a late answer of the earlier process
		}
		w.setServer("s2", func(s *fakeServer) { s.up = false })
		w.watch(settleTime)
		for _, name := range w.names() {
			require.Equal(t, directory.Ready, w.stateOn(name, now), name)
		}
		require.NotZero(t, w.keysOfServer(now), "keys of a lost server")
		require.Equal(t, sampled, w.heldKeys())
	})
}

// The next assigner knows which servers leave, whenever the one that was told is lost.
func TestNewAssignerKnowsWhichServersLeave(t *testing.T) {
	delays := []time.Duration{0, hop, 3 * hop, 50 * time.Millisecond, 300 * time.Millisecond, time.Second}
	for _, delay := range delays {
		t.Run(delay.String(), func(t *testing.T) {
			withDeployment(t, 4, 6, func(w *world) {
				s := w.server("s1")
				old := w.leaders()[0]
				w.host(w.followers()[0]).AddLeaving(s.holder)
				time.Sleep(delay)
				w.kill(old)
				w.watch(settleTime)
				w.requireDrainingEverywhere(t, s.holder)
				require.Zero(t, w.keysOfServer(s.holder))
				w.addHost("late")
				w.kill(w.leaders()[0])
				w.watch(settleTime)
				w.requireDrainingEverywhere(t, s.holder)
				require.Zero(t, w.keysOfServer(s.holder))
				require.Equal(t, sampled, w.heldKeys())
			})
		})
	}
}

// Only a process that the directory lists counts.
func TestLeavingOfAnUnknownServerIsDropped(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		known := w.server("s1").holder
		for i := range 10_000 {
			unknown := keyrange.Holder{ID: fmt.Sprint("unknown", i), StartedMS: 1}
			for _, name := range w.names() {
				w.host(name).AddLeaving(unknown)
				w.host(name).AddFull(unknown, time.Now().Add(time.Minute))
			}
		}
		other := keyrange.Holder{ID: known.ID, StartedMS: known.StartedMS + 100}
		w.host("h0").AddLeaving(other)
		w.host("h0").AddFull(other, time.Now().Add(time.Minute))
		require.Zero(t, w.watch(time.Second))
		for _, name := range w.names() {
			for _, v := range w.host(name).View().Servers.Servers {
				require.Equal(t, directory.Ready, v.State)
			}
			c := w.host(name)
			report := c.drainReport()
			require.Empty(t, report.Leaving)
			require.Empty(t, report.Full)
		}
	})
}

// Two servers leave at once while a third one is full: the full one is no lost server.
func TestServersLeaveWhileAnotherIsFull(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		full := w.server("s2").holder
		kept := w.keysOfServer(full)
		until := time.Now().Add(10 * time.Second)
		for _, name := range w.names() {
			w.host(name).AddFull(full, until)
		}
		w.watch(500 * time.Millisecond)
		w.host("h1").AddLeaving(w.server("s1").holder)
		w.host("h2").AddLeaving(w.server("s3").holder)
		w.host("h3").AddLeaving(full)
		w.watch(drainBound)
		require.Zero(t, w.keysOfServer(w.server("s1").holder))
		require.Zero(t, w.keysOfServer(w.server("s3").holder))
		require.Zero(t, w.keysOfServer(full), "it leaves, too")
		require.NotZero(t, kept)
		require.Equal(t, sampled, w.heldKeys())
	})
}

// A full server keeps its keys, and gets none of those that lose their owner, however
// many hosts report it.
func TestFullServerKeepsItsKeysAndGetsNoOthers(t *testing.T) {
	for _, hosts := range []int{8, 295} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 6)
				defer w.stop()
				for i := range hosts {
					w.addHost(fmt.Sprintf("h%d", i))
				}
				w.watch(startTime)
				full := w.server("s0").holder // the first that would get keys
				before := w.keysOfServer(full)
				require.NotZero(t, before)
				until := time.Now().Add(5 * time.Second)
				for _, name := range w.names() {
					w.host(name).AddFull(full, until)
				}
				w.watch(time.Second)
				require.Equal(t, before, w.keysOfServer(full))
				w.list(w.server("s3"), directory.Draining)
				w.watch(drainBound)
				require.Zero(t, w.keysOfServer(w.server("s3").holder))
				require.Equal(t, before, w.keysOfServer(full), "it gets none of the leaving server's keys")
				w.watch(time.Until(until))
				w.list(w.server("s4"), directory.Draining)
				w.watch(drainBound)
				require.Greater(t, w.keysOfServer(full), before, "its time is over")
				require.Equal(t, sampled, w.heldKeys())
			})
		})
	}
}

// The next assigner learns again which servers are full.
func TestNewAssignerKnowsWhichServersAreFull(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		full := w.server("s0").holder // the first that would get keys
		before := w.keysOfServer(full)
		w.host(w.followers()[0]).AddFull(full, time.Now().Add(20*time.Second))
		w.watch(300 * time.Millisecond)
		w.kill(w.leaders()[0])
		w.watch(settleTime)
		w.list(w.server("s3"), directory.Draining)
		w.watch(drainBound)
		require.Zero(t, w.keysOfServer(w.server("s3").holder))
		require.Equal(t, before, w.keysOfServer(full))
	})
}
