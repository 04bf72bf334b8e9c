package cluster

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// recoverTime is the platform's bound: keys are served again within this time after
// the last fault.
const recoverTime = 15 * time.Second

// faultScenario is one kind of fault. The simulation fails the test if a key has two
// holders at any moment.
type faultScenario struct {
	name     string
	begin    func(w *world, r *rand.Rand)
	end      func(w *world)
	duration time.Duration
	// keepsKeys is set if the fault alone must not leave any key without a holder.
	keepsKeys bool
}

func (w *world) leaderOrAny() string {
	if all := w.leaders(); len(all) > 0 {
		return all[0]
	}
	return w.ensureHosts()[0]
}

// ensureHosts returns the running hosts, and starts some if there is none left.
func (w *world) ensureHosts() []string {
	if len(w.names()) == 0 {
		w.replaceHosts()
	}
	return w.names()
}

func (w *world) anyHost(r *rand.Rand) string {
	names := w.ensureHosts()
	return names[r.IntN(len(names))]
}

func (w *world) anyServer(r *rand.Rand) *fakeServer { return w.servers[r.IntN(len(w.servers))] }

// silenceLinks makes the links from or to a host lose all messages.
func (w *world) silenceLinks(host string, from, to bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.hosts {
		if from {
			w.silent[link{host, name}] = true
		}
		if to {
			w.silent[link{name, host}] = true
		}
	}
}

func (w *world) restoreLinks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.silent)
}

func (w *world) resumeAll() {
	for _, name := range w.names() {
		w.resume(name)
	}
}

func (w *world) setStore(f func(s *fakeStore)) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	f(w.store)
}

func (w *world) repairStore() {
	w.setStore(func(s *fakeStore) {
		s.down, s.silent, s.slow, s.lost, s.late = false, false, 0, false, 0
		clear(s.cut)
	})
}

func (w *world) repairServers() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.refuses, s.mute, s.unreachable, s.applyDelay = false, false, false, 0
	}
}

func (w *world) changeServer(s *fakeServer, f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// endAndReplace ends a server that has been leaving for a while. A new process starts under
// its id.
func (w *world) endAndReplace(s *fakeServer) {
	w.watch(2 * time.Second)
	w.changeServer(s, func() { s.up = false })
	w.unlist(s)
	w.watch(time.Second)
	w.addServer(s.holder.ID)
}

// replaceHosts starts hosts until there are scenarioHosts of them.
func (w *world) replaceHosts() {
	for i := len(w.names()); i < scenarioHosts; i++ {
		w.starts++
		w.addHost(fmt.Sprintf("n%d", w.starts))
	}
}

const (
	scenarioHosts   = 5
	scenarioServers = 6
)

// relist writes the entries of all running servers.
func (w *world) relist() {
	w.mu.Lock()
	list := append([]*fakeServer(nil), w.servers...)
	w.mu.Unlock()
	for _, s := range list {
		if s.up {
			w.list(s, directory.Ready)
		}
	}
}

// faultScenarios lists the kinds of fault that the platform's documentation names, as
// far as they affect the control state.
func faultScenarios() []faultScenario {
	storeOnly := func(f func(s *fakeStore)) func(*world, *rand.Rand) {
		return func(w *world, _ *rand.Rand) { w.setStore(f) }
	}
	return []faultScenario{
		{"assigner killed", func(w *world, _ *rand.Rand) { w.kill(w.leaderOrAny()) }, (*world).replaceHosts, time.Second, true},
		{"assigner and its successor killed", func(w *world, _ *rand.Rand) {
			w.kill(w.leaderOrAny())
			w.watch(800 * time.Millisecond)
			w.kill(w.leaderOrAny())
		}, (*world).replaceHosts, time.Second, true},
		{"assigner paused", func(w *world, _ *rand.Rand) { w.pause(w.leaderOrAny()) }, (*world).resumeAll, 3 * time.Second, true},
		{"assigner paused while its confirmation is in flight", func(w *world, r *rand.Rand) {
			w.setStore(func(s *fakeStore) { s.slow = 100 * time.Millisecond })
			w.watch(time.Duration(300+r.IntN(300)) * time.Millisecond)
			w.pause(w.leaderOrAny())
			w.setStore(func(s *fakeStore) { s.slow = 0 })
		}, (*world).resumeAll, 2500 * time.Millisecond, true},
		{"assigner and its successor paused", func(w *world, _ *rand.Rand) {
			w.pause(w.leaderOrAny())
			w.watch(1500 * time.Millisecond)
			w.pause(w.leaderOrAny())
		}, (*world).resumeAll, 2 * time.Second, false},
		{"any host paused", func(w *world, r *rand.Rand) { w.pause(w.anyHost(r)) }, (*world).resumeAll, 2 * time.Second, true},
		{"assigner cut from the store", func(w *world, _ *rand.Rand) {
			lead := w.leaderOrAny()
			w.setStore(func(s *fakeStore) { s.cut[lead] = true })
		}, (*world).repairStore, 4 * time.Second, true},
		{"assigner's links lose messages", func(w *world, _ *rand.Rand) { w.silenceLinks(w.leaderOrAny(), true, true) }, (*world).restoreLinks, 4 * time.Second, true},
		{"requests to the assigner are lost", func(w *world, _ *rand.Rand) { w.silenceLinks(w.leaderOrAny(), false, true) }, (*world).restoreLinks, 4 * time.Second, true},
		{"store down for all", storeOnly(func(s *fakeStore) { s.down = true }), (*world).repairStore, 6 * time.Second, true},
		{"store does not answer", storeOnly(func(s *fakeStore) { s.silent = true }), (*world).repairStore, 5 * time.Second, true},
		{"store slow", storeOnly(func(s *fakeStore) { s.slow = 300 * time.Millisecond }), (*world).repairStore, 6 * time.Second, true},
		{"store refuses half of the hosts", func(w *world, r *rand.Rand) {
			for range scenarioHosts / 2 {
				name := w.anyHost(r)
				w.setStore(func(s *fakeStore) { s.cut[name] = true })
			}
		}, (*world).repairStore, 4 * time.Second, true},
		{"answers to appends lost", storeOnly(func(s *fakeStore) { s.lost = true }), (*world).repairStore, 4 * time.Second, true},
		{"appends done seconds later", storeOnly(func(s *fakeStore) { s.lost, s.late = true, 2*time.Second }), (*world).repairStore, 5 * time.Second, true},
		{"assigner killed while appends are late", func(w *world, _ *rand.Rand) {
			w.setStore(func(s *fakeStore) { s.lost, s.late = true, 1500*time.Millisecond })
			w.watch(300 * time.Millisecond)
			w.kill(w.leaderOrAny())
		}, func(w *world) { w.repairStore(); w.replaceHosts() }, 3 * time.Second, false},
		{"assigner cut from the store while its append is in flight", func(w *world, r *rand.Rand) {
			lead := w.leaderOrAny()
			w.setStore(func(s *fakeStore) { s.lost = true })
			w.unlist(w.anyServer(r))
			w.watch(600 * time.Millisecond)
			w.setStore(func(s *fakeStore) { s.lost, s.cut[lead] = false, true })
		}, func(w *world) { w.repairStore(); w.relist() }, 4 * time.Second, false},
		{"assigner paused, replaced, and the history gone", func(w *world, _ *rand.Rand) {
			w.pause(w.leaderOrAny())
			w.watch(2500 * time.Millisecond)
			w.setStore(func(s *fakeStore) { s.assignmentGap = uint64(len(s.records)) })
		}, (*world).resumeAll, 500 * time.Millisecond, true},
		{"history of the servers gone", storeOnly(func(s *fakeStore) { s.gapUntil = uint64(len(s.servers)) }), (*world).relist, time.Second, true},
		{"all hosts killed", func(w *world, _ *rand.Rand) {
			for _, name := range w.names() {
				w.kill(name)
			}
		}, (*world).replaceHosts, time.Second, false},
		{"all hosts but one killed", func(w *world, _ *rand.Rand) {
			for _, name := range w.ensureHosts()[1:] {
				w.kill(name)
			}
		}, (*world).replaceHosts, 2 * time.Second, true},
		{"planned stop of the assigner", func(w *world, _ *rand.Rand) {
			lead := w.leaderOrAny()
			w.host(lead).Resign()
			w.watch(500 * time.Millisecond)
			w.kill(lead)
		}, (*world).replaceHosts, time.Second, true},
		{"server crashed and restarted", func(w *world, r *rand.Rand) {
			s := w.anyServer(r)
			w.changeServer(s, func() { s.up = false })
			w.watch(1500 * time.Millisecond)
			w.addServer(s.holder.ID)
		}, (*world).relist, time.Second, false},
		{"server restarted at once", func(w *world, r *rand.Rand) { w.addServer(w.anyServer(r).holder.ID) }, (*world).relist, time.Second, false},
		{"server refuses connections but keeps running", func(w *world, r *rand.Rand) {
			s := w.anyServer(r)
			w.changeServer(s, func() { s.refuses = true })
		}, (*world).repairServers, 4 * time.Second, false},
		{"server does not answer and loses its entry", func(w *world, r *rand.Rand) {
			s := w.anyServer(r)
			w.changeServer(s, func() { s.mute, s.unreachable = true, true })
			w.watch(2400 * time.Millisecond)
			w.unlist(s)
		}, func(w *world) { w.repairServers(); w.relist() }, 4 * time.Second, false},
		{"server takes grants without an answer", func(w *world, r *rand.Rand) {
			s := w.anyServer(r)
			w.changeServer(s, func() { s.mute = true })
		}, (*world).repairServers, 4 * time.Second, false},
		{"server applies grants late", func(w *world, r *rand.Rand) {
			s := w.anyServer(r)
			w.changeServer(s, func() { s.mute, s.applyDelay = true, 1200*time.Millisecond })
		}, (*world).repairServers, 4 * time.Second, false},
		{"server cut from the store", func(w *world, r *rand.Rand) { w.unlist(w.anyServer(r)) }, (*world).relist, 3 * time.Second, false},
		{"server leaves", func(w *world, r *rand.Rand) {
			s := w.anyServer(r)
			w.list(s, directory.Draining)
			w.endAndReplace(s)
		}, (*world).relist, time.Second, false},
		{"server leaves while its entry reads ready", func(w *world, r *rand.Rand) {
			s := w.anyServer(r)
			w.tellRunningHosts(func(c *Cluster) { c.AddLeaving(s.holder) })
			w.endAndReplace(s)
		}, (*world).relist, time.Second, false},
		{"server full for every host", func(w *world, r *rand.Rand) {
			s := w.anyServer(r)
			w.tellRunningHosts(func(c *Cluster) { c.AddFull(s.holder, time.Now().Add(2*time.Second)) })
		}, (*world).relist, 3 * time.Second, true},
		{"server's address goes to another service", func(w *world, r *rand.Rand) {
			old := w.anyServer(r)
			w.unlist(old)
			w.addServerAt(old.addr, "x-"+old.holder.ID, "other")
		}, func(w *world) { w.restoreService(); w.relist() }, 3 * time.Second, false},
		{"servers added", func(w *world, r *rand.Rand) {
			w.starts++
			w.addServer(fmt.Sprintf("more-%d", w.starts))
		}, (*world).relist, time.Second, true},
	}
}

// tellRunningHosts calls f with each host that is not paused.
func (w *world) tellRunningHosts(f func(c *Cluster)) {
	for _, name := range w.names() {
		if !w.isPaused(name) {
			f(w.host(name))
		}
	}
}

// addServerAt starts a server of another service at the address of a server, whose
// process it ends.
func (w *world) addServerAt(addr, id, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	for i, v := range w.servers {
		if v.addr == addr {
			w.servers[i] = &fakeServer{holder: keyrange.Holder{ID: id, StartedMS: int64(w.starts)}, addr: addr, up: true, service: service}
			w.list(w.servers[i], directory.Ready)
		}
	}
}

// restoreService ends the servers of other services and restarts the usual ones.
func (w *world) restoreService() {
	w.mu.Lock()
	list := append([]*fakeServer(nil), w.servers...)
	w.mu.Unlock()
	for _, s := range list {
		if s.service != "" {
			w.unlist(s)
			w.addServerAt(s.addr, strings.TrimPrefix(s.holder.ID, "x-"), "")
		}
	}
}

// Each kind of fault alone: no key ever has two holders, no key loses its holder where
// that is avoidable, and all keys are held again within the platform's bound.
func TestTroublesAlone(t *testing.T) {
	for _, tr := range faultScenarios() {
		t.Run(tr.name, func(t *testing.T) {
			withDeployment(t, scenarioHosts, scenarioServers, func(w *world) {
				r := rand.New(rand.NewPCG(1, 1))
				tr.begin(w, r)
				without := w.watch(tr.duration)
				tr.end(w)
				without = max(without, w.watch(settleTime))
				if tr.keepsKeys {
					require.Zero(t, without, "time without a holder")
				}
				w.requireRecovered(t)
			})
		})
	}
}

// requireRecovered requires that within the platform's bound there is one assigner and
// every key has a holder that every host knows.
func (w *world) requireRecovered(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(recoverTime); time.Now().Before(end); w.watch(50 * time.Millisecond) {
		if w.heldKeys() == sampled && len(w.leaders()) == 1 && w.everyHostFollows() && w.everyHostKnows() {
			return
		}
	}
	require.Fail(t, "not recovered", "%d of %d keys held, assigners %v", w.heldKeys(), sampled, w.leaders())
}

// everyHostFollows reports whether every host follows the assigner.
func (w *world) everyHostFollows() bool {
	lead := w.leaderOrAny()
	for _, name := range w.names() {
		c := w.host(name)
		got := make(chan string, 1)
		c.post(func() { got <- c.machine.Assigner().Name })
		if <-got != lead {
			return false
		}
	}
	return true
}

// everyHostKnows reports whether every host's map names the holder of each key.
func (w *world) everyHostKnows() bool {
	for _, name := range w.names() {
		table := w.host(name).View().Owners.Table(stockName)
		if table == nil {
			return false
		}
		for k := range sampled {
			r := table.Find(keyrange.Key(k * keyrange.KeyCount / sampled))
			if r == nil || !r.Granted || !w.holds(r.Owner, k) {
				return false
			}
		}
	}
	return true
}

func (w *world) holds(h keyrange.Holder, k int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if s.holder == h {
			return s.up && time.Now().Before(s.until[k])
		}
	}
	return false
}

// overlapSeeds is the number of seeds, each with several overlapping faults.
const overlapSeeds = 60

// Several faults overlap in an order drawn from the seed.
func TestTroublesOverlap(t *testing.T) {
	list := faultScenarios()
	for seed := range uint64(overlapSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, scenarioServers)
				defer w.stop()
				for i := range scenarioHosts {
					w.addHost(fmt.Sprintf("h%d", i))
				}
				w.watch(startTime)
				runOverlapping(w, list, seed)
				w.requireRecovered(t)
			})
		})
	}
}

// runOverlapping begins and ends four faults in turn, so that each overlaps the next.
func runOverlapping(w *world, list []faultScenario, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	var last *faultScenario
	for range 4 {
		tr := list[r.IntN(len(list))]
		tr.begin(w, r)
		w.watch(time.Duration(r.Int64N(int64(tr.duration))))
		if last != nil {
			last.end(w)
		}
		last = &tr
	}
	w.watch(last.duration)
	for _, tr := range list {
		tr.end(w) // ends the faults that are still active
	}
}
