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

// recoverTime is the platform's bound: the time after the last trouble within which
// keys are served again.
const recoverTime = 15 * time.Second

// trouble is one kind of trouble. The world fails the test when a key has two
// holders at any moment.
type trouble struct {
	name  string
	begin func(w *world, r *rand.Rand)
	end   func(w *world)
	lasts time.Duration
	// free says that the trouble alone may cost no key its holder.
	free bool
}

func (w *world) lead() string {
	if all := w.leaders(); len(all) > 0 {
		return all[0]
	}
	return w.present()[0]
}

// present returns the hosts, and starts some when there is none left.
func (w *world) present() []string {
	if len(w.names()) == 0 {
		w.replaceHosts()
	}
	return w.names()
}

func (w *world) anyHost(r *rand.Rand) string {
	names := w.present()
	return names[r.IntN(len(names))]
}

func (w *world) anyServer(r *rand.Rand) *fakeServer { return w.servers[r.IntN(len(w.servers))] }

// everyLink silences the ways from or to a host.
func (w *world) everyLink(host string, from, to bool) {
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

func (w *world) noSilentLinks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.silent)
}

func (w *world) thawAll() {
	for _, name := range w.names() {
		w.thaw(name)
	}
}

func (w *world) setStore(f func(s *fakeStore)) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	f(w.store)
}

func (w *world) storeSound() {
	w.setStore(func(s *fakeStore) {
		s.down, s.silent, s.slow, s.lost, s.late = false, false, 0, false, 0
		clear(s.cut)
	})
}

func (w *world) serversSound() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.refuses, s.dark, s.deaf, s.applies = false, false, false, 0
	}
}

func (w *world) changeServer(s *fakeServer, f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// replaceHosts adds hosts until there are as many as at the start.
func (w *world) replaceHosts() {
	for i := len(w.names()); i < troubledHosts; i++ {
		w.lives++
		w.addHost(fmt.Sprintf("n%d", w.lives))
	}
}

const (
	troubledHosts   = 5
	troubledServers = 6
)

// relist writes the entries of all servers that live.
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

// troubles lists the kinds of trouble that the platform's pages name, as far as
// they concern control.
func troubles() []trouble {
	storeOnly := func(f func(s *fakeStore)) func(*world, *rand.Rand) {
		return func(w *world, _ *rand.Rand) { w.setStore(f) }
	}
	return []trouble{
		{"assigner killed", func(w *world, _ *rand.Rand) { w.kill(w.lead()) }, (*world).replaceHosts, time.Second, true},
		{"assigner and its successor killed", func(w *world, _ *rand.Rand) {
			w.kill(w.lead())
			w.watch(800 * time.Millisecond)
			w.kill(w.lead())
		}, (*world).replaceHosts, time.Second, true},
		{"assigner paused", func(w *world, _ *rand.Rand) { w.pause(w.lead()) }, (*world).thawAll, 3 * time.Second, true},
		{"assigner paused as its confirmation is on its way", func(w *world, r *rand.Rand) {
			w.setStore(func(s *fakeStore) { s.slow = 100 * time.Millisecond })
			w.watch(time.Duration(300+r.IntN(300)) * time.Millisecond)
			w.pause(w.lead())
			w.setStore(func(s *fakeStore) { s.slow = 0 })
		}, (*world).thawAll, 2500 * time.Millisecond, true},
		{"assigner and its successor paused", func(w *world, _ *rand.Rand) {
			w.pause(w.lead())
			w.watch(1500 * time.Millisecond)
			w.pause(w.lead())
		}, (*world).thawAll, 2 * time.Second, false},
		{"any host paused", func(w *world, r *rand.Rand) { w.pause(w.anyHost(r)) }, (*world).thawAll, 2 * time.Second, true},
		{"assigner cut from the store", func(w *world, _ *rand.Rand) {
			lead := w.lead()
			w.setStore(func(s *fakeStore) { s.cut[lead] = true })
		}, (*world).storeSound, 4 * time.Second, true},
		{"assigner's links silent", func(w *world, _ *rand.Rand) { w.everyLink(w.lead(), true, true) }, (*world).noSilentLinks, 4 * time.Second, true},
		{"questions to the assigner are lost", func(w *world, _ *rand.Rand) { w.everyLink(w.lead(), false, true) }, (*world).noSilentLinks, 4 * time.Second, true},
		{"store down for all", storeOnly(func(s *fakeStore) { s.down = true }), (*world).storeSound, 6 * time.Second, true},
		{"store silent", storeOnly(func(s *fakeStore) { s.silent = true }), (*world).storeSound, 5 * time.Second, true},
		{"store slow", storeOnly(func(s *fakeStore) { s.slow = 300 * time.Millisecond }), (*world).storeSound, 6 * time.Second, true},
		{"store turns half of the hosts away", func(w *world, r *rand.Rand) {
			for range troubledHosts / 2 {
				name := w.anyHost(r)
				w.setStore(func(s *fakeStore) { s.cut[name] = true })
			}
		}, (*world).storeSound, 4 * time.Second, true},
		{"answers to appends lost", storeOnly(func(s *fakeStore) { s.lost = true }), (*world).storeSound, 4 * time.Second, true},
		{"appends done seconds later", storeOnly(func(s *fakeStore) { s.lost, s.late = true, 2*time.Second }), (*world).storeSound, 5 * time.Second, true},
		{"assigner killed while appends are late", func(w *world, _ *rand.Rand) {
			w.setStore(func(s *fakeStore) { s.lost, s.late = true, 1500*time.Millisecond })
			w.watch(300 * time.Millisecond)
			w.kill(w.lead())
		}, func(w *world) { w.storeSound(); w.replaceHosts() }, 3 * time.Second, false},
		{"assigner cut from the store as its append is on its way", func(w *world, r *rand.Rand) {
			lead := w.lead()
			w.setStore(func(s *fakeStore) { s.lost = true })
			w.unlist(w.anyServer(r))
			w.watch(600 * time.Millisecond)
			w.setStore(func(s *fakeStore) { s.lost, s.cut[lead] = false, true })
		}, func(w *world) { w.storeSound(); w.relist() }, 4 * time.Second, false},
		{"assigner paused, replaced, and the history gone", func(w *world, _ *rand.Rand) {
			w.pause(w.lead())
			w.watch(2500 * time.Millisecond)
			w.setStore(func(s *fakeStore) { s.assignmentGap = uint64(len(s.records)) })
		}, (*world).thawAll, 500 * time.Millisecond, true},
		{"history of the servers gone", storeOnly(func(s *fakeStore) { s.gapUntil = uint64(len(s.servers)) }), (*world).relist, time.Second, true},
		{"all hosts killed", func(w *world, _ *rand.Rand) {
			for _, name := range w.names() {
				w.kill(name)
			}
		}, (*world).replaceHosts, time.Second, false},
		{"all hosts but one killed", func(w *world, _ *rand.Rand) {
			for _, name := range w.present()[1:] {
				w.kill(name)
			}
		}, (*world).replaceHosts, 2 * time.Second, true},
		{"planned stop of the assigner", func(w *world, _ *rand.Rand) {
			lead := w.lead()
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
		{"server refuses connections and lives", func(w *world, r *rand.Rand) {
			s := w.anyServer(r)
			w.changeServer(s, func() { s.refuses = true })
		}, (*world).serversSound, 4 * time.Second, false},
		{"server dark", func(w *world, r *rand.Rand) {
			s := w.anyServer(r)
			w.changeServer(s, func() { s.dark, s.deaf = true, true })
			w.watch(2400 * time.Millisecond)
			w.unlist(s)
		}, func(w *world) { w.serversSound(); w.relist() }, 4 * time.Second, false},
		{"server takes grants without an answer", func(w *world, r *rand.Rand) {
			s := w.anyServer(r)
			w.changeServer(s, func() { s.dark = true })
		}, (*world).serversSound, 4 * time.Second, false},
		{"server applies grants late", func(w *world, r *rand.Rand) {
			s := w.anyServer(r)
			w.changeServer(s, func() { s.dark, s.applies = true, 1200*time.Millisecond })
		}, (*world).serversSound, 4 * time.Second, false},
		{"server cut from the store", func(w *world, r *rand.Rand) { w.unlist(w.anyServer(r)) }, (*world).relist, 3 * time.Second, false},
		{"server leaves", func(w *world, r *rand.Rand) {
			s := w.anyServer(r)
			w.list(s, directory.Draining)
			w.watch(2 * time.Second)
			w.changeServer(s, func() { s.up = false })
			w.unlist(s)
			w.watch(time.Second)
			w.addServer(s.holder.ID)
		}, (*world).relist, time.Second, false},
		{"server's address goes to another service", func(w *world, r *rand.Rand) {
			old := w.anyServer(r)
			w.unlist(old)
			w.addServerAt(old.addr, "x-"+old.holder.ID, "other")
		}, func(w *world) { w.giveBack(); w.relist() }, 3 * time.Second, false},
		{"servers added", func(w *world, r *rand.Rand) {
			w.lives++
			w.addServer(fmt.Sprintf("more-%d", w.lives))
		}, (*world).relist, time.Second, true},
	}
}

// addServerAt starts a server of another service at an address whose process has
// ended.
func (w *world) addServerAt(addr, id, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives++
	for i, v := range w.servers {
		if v.addr == addr {
			w.servers[i] = &fakeServer{holder: keyrange.Holder{ID: id, StartedMS: int64(w.lives)}, addr: addr, up: true, service: service}
			w.list(w.servers[i], directory.Ready)
		}
	}
}

// giveBack ends the servers of other services and starts the usual ones anew.
func (w *world) giveBack() {
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

// Every kind of trouble alone: no key ever has two holders, no key is lost where
// none need be, and all are held again within the platform's bound.
func TestTroublesAlone(t *testing.T) {
	for _, tr := range troubles() {
		t.Run(tr.name, func(t *testing.T) {
			deployment(t, troubledHosts, troubledServers, func(w *world) {
				r := rand.New(rand.NewPCG(1, 1))
				tr.begin(w, r)
				without := w.watch(tr.lasts)
				tr.end(w)
				without = max(without, w.watch(settleTime))
				if tr.free {
					require.Zero(t, without, "time without a holder")
				}
				w.requireRecovered(t)
			})
		})
	}
}

// requireRecovered requires that within the platform's bound one assigner leads and
// every key has a holder that every host knows.
func (w *world) requireRecovered(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(recoverTime); time.Now().Before(end); w.watch(50 * time.Millisecond) {
		if w.held() == sampled && len(w.leaders()) == 1 && w.everyHostFollows() && w.everyHostKnows() {
			return
		}
	}
	require.Fail(t, "not recovered", "%d of %d keys held, assigners %v", w.held(), sampled, w.leaders())
}

// everyHostFollows reports whether each host follows the one that leads.
func (w *world) everyHostFollows() bool {
	lead := w.lead()
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

// everyHostKnows reports whether each host's map names the holder of each key.
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

// overlapSeeds is the number of days with several troubles in one run of the tests.
const overlapSeeds = 60

// Several troubles overlap in an order that the seed draws.
func TestTroublesOverlap(t *testing.T) {
	list := troubles()
	for seed := range uint64(overlapSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, troubledServers)
				defer w.stop()
				for i := range troubledHosts {
					w.addHost(fmt.Sprintf("h%d", i))
				}
				w.watch(startTime)
				playOverlap(w, list, seed)
				w.requireRecovered(t)
			})
		})
	}
}

// playOverlap begins and ends four troubles in turn, so that each overlaps the next.
func playOverlap(w *world, list []trouble, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	var last *trouble
	for range 4 {
		tr := list[r.IntN(len(list))]
		tr.begin(w, r)
		w.watch(time.Duration(r.Int64N(int64(tr.lasts))))
		if last != nil {
			last.end(w)
		}
		last = &tr
	}
	w.watch(last.lasts)
	for _, tr := range list {
		tr.end(w) // whatever is still in force
	}
}
