package cluster

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/hostlink"
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
				for _, name := range w.names() {
					require.Empty(t, w.host(name).knownLeaving(), "kept as long as it is listed")
				}
			})
		})
	}
}

// A leaving server that got no requests kept its keys until its entry told so, as only its
// answers to requests were read.
func TestLeavingServerWithoutRequestsLosesItsKeys(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		s := w.server("s1")
		w.setServer("s1", func(s *fakeServer) { s.leaving = true })
		require.Less(t, w.watch(drainBound), 200*time.Millisecond)
		w.requireDrainingEverywhere(t, s.holder)
		require.Zero(t, w.keysOfServer(s.holder))
		w.holdsNothing(t, s)
		require.Equal(t, sampled, w.heldKeys())
	})
}

// The answer to a release, which comes late, may be the first to say that a server leaves. It
// counts for the process that was listed at the address when the release was sent.
func TestAnswerToAReleaseSaysThatTheServerLeaves(t *testing.T) {
	none := keyrange.Range{From: 1, To: 1} // keys without a request
	withDeployment(t, 4, 6, func(w *world) {
		s := w.server("s1")
		w.setServer("s1", func(s *fakeServer) { s.leavingInReleases = true })
		_, err := w.host(w.followers()[0]).sendRelease(context.Background(), s.addr, none)
		require.NoError(t, err)
		w.watch(drainBound)
		w.requireDrainingEverywhere(t, s.holder)
		require.Zero(t, w.keysOfServer(s.holder))
		require.Equal(t, sampled, w.heldKeys())
	})
}

// knownLeaving returns the servers that a host knows to leave.
func (c *Cluster) knownLeaving() []keyrange.Holder {
	out, _ := query(context.Background(), c, c.leaving.known.Holders)
	return out
}

// Every host is told at once, and the keys move with the next plan, not with the next
// regular report or read of the store.
func TestLeavingIsToldAtOnce(t *testing.T) {
	const (
		toldWithin  = 10 * hop
		movedWithin = 300 * time.Millisecond
	)
	withDeployment(t, 8, 6, func(w *world) {
		for i, s := range []*fakeServer{w.server("s1"), w.server("s3"), w.server("s4"), w.server("s5")} {
			w.watch(time.Second + time.Duration(i)*70*time.Millisecond)
			begin := time.Now()
			w.host(w.followers()[i]).AddLeaving(s.holder)
			time.Sleep(toldWithin)
			w.requireDrainingEverywhere(t, s.holder)
			w.watch(movedWithin - time.Since(begin))
			require.Zero(t, w.keysOfServer(s.holder), s.holder.ID)
		}
	})
}

// A host of an earlier version does not read the list: what it cannot know must not end
// its wait, or it would ask without a pause.
func TestHostsOfEarlierVersionsAreNotToldOfLeaving(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		lead := w.host(w.leaders()[0])
		lead.AddLeaving(w.server("s1").holder)
		w.watch(drainBound)
		q := &hostlink.SyncRequest{From: assigner.Host{Name: "sender", Peer: "127.0.0.1:1"}}
		a, err := lead.Sync(context.Background(), q)
		require.NoError(t, err)
		require.Nil(t, a.Leaving)
		require.Equal(t, directory.Ready, a.Servers.Find("s1").State, "entries are sent as they read")
		q.Leaving = directory.Leaving{}.Digest()
		a, err = lead.Sync(context.Background(), q)
		require.NoError(t, err)
		require.Equal(t, []keyrange.Holder{w.server("s1").holder}, a.Leaving.Servers)
		q.Leaving = a.Leaving.Digest
		a, err = lead.Sync(context.Background(), q)
		require.NoError(t, err)
		require.Nil(t, a.Leaving, "it has the list")
	})
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

// Hosts that start after all others are lost know from the record which servers leave.
func TestLeavingServerIsNotUsedAgainAfterTheLossOfAllHosts(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		s := w.server("s1")
		w.host("h2").AddLeaving(s.holder)
		w.watch(drainBound)
		w.stop()
		w.watch(500 * time.Millisecond)
		w.addHost("n0")
		w.addHost("n1")
		w.watch(settleTime)
		w.setServer("s2", func(s *fakeServer) { s.up = false }) // its keys need owners
		w.watch(settleTime)
		w.requireDrainingEverywhere(t, s.holder)
		require.Zero(t, w.keysOfServer(s.holder))
		require.Equal(t, sampled, w.heldKeys())
		w.unlist(s)
		now := w.addServer("s1").holder
		w.watch(settleTime)
		require.Equal(t, directory.Ready, w.stateOn("n0", now))
	})
}

// Only a process that the directory lists counts, and of others nothing is kept, neither
// on the host nor on the assigner.
func TestReportsOfUnknownServersAreDropped(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		known := w.server("s1").holder
		unknown := []keyrange.Holder{{ID: known.ID, StartedMS: known.StartedMS + 100}}
		var full []assigner.FullServer
		for i := range 10_000 {
			unknown = append(unknown, keyrange.Holder{ID: fmt.Sprint("unknown", i), StartedMS: 1})
			full = append(full, assigner.FullServer{Holder: unknown[i], ForMS: 60_000})
		}
		for _, name := range w.names() {
			c := w.host(name)
			for _, h := range unknown {
				c.AddLeaving(h)
				c.AddFull(h, time.Now().Add(time.Minute))
			}
			c.mu.Lock()
			require.Empty(t, c.report.Leaving)
			require.Empty(t, c.full)
			c.mu.Unlock()
			q := &hostlink.SyncRequest{
				From:   assigner.Host{Name: "sender", Peer: "127.0.0.1:1"},
				Report: assigner.Report{Leaving: unknown, Full: full},
			}
			_, err := c.Sync(context.Background(), q)
			require.NoError(t, err)
		}
		require.Zero(t, w.watch(time.Second))
		for _, name := range w.names() {
			for _, v := range w.host(name).View().Servers.Servers {
				require.Equal(t, directory.Ready, v.State)
			}
			require.Empty(t, w.host(name).knownLeaving())
		}
	})
}

// Servers leave at once while others are full. One that is both leaves; one that is only
// full is not lost.
func TestServersLeaveWhileOthersAreFull(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		both, full := w.server("s2").holder, w.server("s0").holder
		kept := w.keysOfServer(full)
		require.NotZero(t, kept)
		until := time.Now().Add(10 * time.Second)
		for _, name := range w.names() {
			w.host(name).AddFull(full, until)
			w.host(name).AddFull(both, until)
		}
		w.watch(500 * time.Millisecond)
		require.NotZero(t, w.keysOfServer(both))
		w.host("h1").AddLeaving(w.server("s1").holder)
		w.host("h2").AddLeaving(w.server("s3").holder)
		w.host("h3").AddLeaving(both)
		require.Less(t, w.watch(drainBound), 200*time.Millisecond)
		require.Zero(t, w.keysOfServer(w.server("s1").holder))
		require.Zero(t, w.keysOfServer(w.server("s3").holder))
		require.Zero(t, w.keysOfServer(both))
		require.Equal(t, kept, w.keysOfServer(full))
		require.Equal(t, sampled, w.heldKeys())
	})
}

// A full server keeps its keys, and gets none of those that lose their owner, however
// many hosts report it.
func TestFullServerKeepsItsKeysAndGetsNoOthers(t *testing.T) {
	for _, hosts := range []int{8, 295} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
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

// A server that turns away request after request is reported once a second.
func TestFullServerIsReportedAtABoundedRate(t *testing.T) {
	s := (&directory.Snapshot{}).Fold([]directory.Change{{ID: "s1", Server: &directory.Server{Holder: keyrange.Holder{ID: "s1", StartedMS: 1}}}}, 1)
	h := s.Servers[0].Holder
	const until = 10 * time.Second
	f := fullServers{}
	reports := 0
	for now := time.Millisecond; now < until; now += 5 * time.Millisecond {
		f.add(h, until+time.Duration(reports)) // clocks differ slightly
		for _, r := range f.due(now, s) {
			require.Equal(t, (until - now).Milliseconds(), r.ForMS)
			reports++
		}
	}
	require.Equal(t, int(until/fullReportInterval), reports)
	require.Empty(t, f.due(until, s))
	require.Empty(t, f, "its time is over")
	f.add(h, 2*until)
	require.Len(t, f.due(until+1, s), 1)
	f.add(h, 3*until)
	require.Len(t, f.due(until+2, s), 1, "a later end is reported at once")
	require.Empty(t, f.due(until+3, &directory.Snapshot{}))
	require.Empty(t, f, "it is not listed")
}

// Each host writes a line when a server begins and ceases to leave, the assigner one when
// a server begins and ceases to be full.
func TestLeavingAndFullServersAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		w := newWorld(t, 6)
		w.logger = zap.New(core)
		defer w.stop()
		for i := range 4 {
			w.addHost(fmt.Sprintf("h%d", i))
		}
		w.watch(startTime)
		count := func(e event.Event) int { return lines.FilterMessage(event.Message(e)).Len() }
		answers, entry, full := w.server("s1"), w.server("s2"), w.server("s3")
		for range 3 {
			w.host("h0").AddLeaving(answers.holder)
			w.host("h1").AddFull(full.holder, time.Now().Add(2*time.Second))
			w.watch(300 * time.Millisecond)
		}
		w.list(entry, directory.Draining)
		w.watch(time.Second)
		require.Equal(t, 2*4, count(event.ServerLeaving{}))
		require.Equal(t, 4, lines.FilterField(zap.String("source", "answers")).Len())
		require.Equal(t, 4, lines.FilterField(zap.String("source", "entry")).Len())
		require.Equal(t, 1, count(event.ServerFull{}))
		require.Zero(t, count(event.ServerLeavingEnded{}))
		w.list(answers, directory.Draining)
		w.watch(time.Second)
		w.host("h2").AddLeaving(entry.holder)
		w.watch(time.Second)
		require.Equal(t, 2*4, count(event.ServerLeaving{}), "both were known to leave")
		w.unlist(answers)
		w.addServer("s2")
		w.watch(3 * time.Second)
		require.Equal(t, 2*4, count(event.ServerLeavingEnded{}))
		require.Equal(t, 4, lines.FilterField(zap.String("why", "gone")).Len())
		require.Equal(t, 4, lines.FilterField(zap.String("why", "restarted")).Len())
		require.Equal(t, 1, count(event.ServerFullEnded{}))
		for _, name := range w.names() {
			require.Equal(t, int64(2), w.host(name).Stats().ServersLeaving.Count())
		}
	})
}

// Every host, from several goroutines, reports the same servers with every request. What
// is kept is one entry each.
func TestManyHostsReportTheSameServers(t *testing.T) {
	for _, hosts := range []int{8, 295} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 6)
				defer w.stop()
				for i := range hosts {
					w.addHost(fmt.Sprintf("h%d", i))
				}
				w.watch(startTime)
				leaving, full := w.server("s1").holder, w.server("s0").holder
				kept := w.keysOfServer(full)
				requests := w.reportFromAll(leaving, full)
				w.watch(drainBound)
				requests.Wait()
				w.requireDrainingEverywhere(t, leaving)
				require.Zero(t, w.keysOfServer(leaving))
				require.Equal(t, kept, w.keysOfServer(full))
				for _, name := range w.names() {
					c := w.host(name)
					require.Equal(t, []keyrange.Holder{leaving}, c.knownLeaving())
					c.mu.Lock()
					require.Empty(t, c.report.Leaving)
					require.Len(t, c.full, 1)
					c.mu.Unlock()
				}
				require.Equal(t, sampled, w.heldKeys())
			})
		})
	}
}

// reportFromAll makes every host report two servers again and again for half a second.
func (w *world) reportFromAll(leaving, full keyrange.Holder) *sync.WaitGroup {
	const goroutines, requests, pause = 4, 20, 25 * time.Millisecond
	until := time.Now().Add(time.Minute)
	var running sync.WaitGroup
	for _, name := range w.names() {
		c := w.host(name)
		for range goroutines {
			running.Go(func() {
				for range requests {
					c.AddLeaving(leaving)
					c.AddFull(full, until)
					time.Sleep(pause)
				}
			})
		}
	}
	return &running
}
