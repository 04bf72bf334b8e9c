package cluster

import (
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// startTime is the time after the start of all hosts within which every key gets a
	// holder.
	startTime = 4 * time.Second
	// settleTime is the time allowed for recovery after a fault ends.
	settleTime = 4 * time.Second
)

// withDeployment runs f with hosts and servers that have started.
func withDeployment(t *testing.T, hosts, servers int, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, servers)
		defer w.stop()
		for i := range hosts {
			w.addHost([]string{"h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7"}[i])
		}
		w.watch(startTime)
		require.Equal(t, sampled, w.heldKeys(), "every key is held before traffic starts")
		f(w)
	})
}

func TestOneAssignerAndEveryHostKnowsTheMap(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		require.Len(t, w.leaders(), 1)
		for _, name := range w.names() {
			v := w.host(name).View()
			require.NotNil(t, v.Owners)
			require.Len(t, v.Servers.Servers, 6)
			for _, r := range v.Owners.Table(stockName).Ranges {
				require.True(t, r.Granted)
			}
		}
	})
}

// When the assigner is lost, no key loses its holder, since the successor renews the
// grants in time.
func TestLossOfTheAssignerCostsNoKey(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		for range 3 {
			w.kill(w.leaders()[0])
			require.Zero(t, w.watch(settleTime))
			require.Len(t, w.leaders(), 1)
		}
	})
}

// When all hosts are lost at once, new hosts continue with the recorded map.
func TestLossOfAllHosts(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		w.stop()
		w.watch(500 * time.Millisecond)
		w.addHost("n0")
		w.addHost("n1")
		w.watch(settleTime)
		require.Equal(t, sampled, w.heldKeys())
	})
}

// An outage of the store for all hosts costs no key until the holds end.
func TestOutageOfTheStoreCostsNoKey(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		w.store.setDown(true)
		require.Zero(t, w.watch(9*time.Second))
		w.store.setDown(false)
		require.Zero(t, w.watch(settleTime))
		require.Len(t, w.leaders(), 1)
	})
}

// Every call to the store is charged, refused ones too. While the store refuses every
// call, a host retries with one watch and, to claim, with one read, each every 0.9 s
// once the backoff has reached its maximum; the assigner also confirms every 0.3 s.
func TestCallsToAStoreThatIsAwayAreFew(t *testing.T) {
	const hosts, outage = 5, 9 * time.Second
	withDeployment(t, hosts, 6, func(w *world) {
		before := w.store.callCount()
		w.store.setDown(true)
		w.watch(outage)
		steady := hosts*2*int(outage/assigner.MaxRetryDelay(hosts)) + int(outage/confirmEvery)
		detecting := hosts * unavailableAfter
		require.LessOrEqual(t, w.store.callCount()-before, steady+detecting)
		w.store.setDown(false)
		w.requireRecovered(t)
	})
}

// When the store refuses only the assigner, another host takes over at once.
func TestAssignerWithoutStoreHandsOn(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		old := w.leaders()[0]
		w.store.setCut(old, true)
		require.Zero(t, w.watch(settleTime))
		require.Len(t, w.leaders(), 1)
		require.NotEqual(t, old, w.leaders()[0])
	})
}

// A host that no other host reaches, but that reaches the store, does not disturb the
// others for long, and learns of moved ranges from the record.
func TestHostThatNoOtherReaches(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		lead := w.leaders()[0]
		w.setCutOff(lead, true)
		w.watch(6 * time.Second)
		w.setServer("s2", func(s *fakeServer) { s.up = false })
		w.watch(settleTime)
		for _, r := range w.host(lead).View().Owners.Table(stockName).Ranges {
			require.NotEqual(t, "s2", r.Owner.ID)
		}
		w.setCutOff(lead, false)
		require.Zero(t, w.watch(settleTime))
		require.Len(t, w.leaders(), 1)
	})
}

// A host receives only the registrations that it lacks, and ends with all of them.
func TestHostsAreToldAsChanges(t *testing.T) {
	withDeployment(t, 5, 4, func(w *world) {
		lead := w.host(w.leaders()[0])
		var before uint64
		lead.post(func() { before = lead.hostsVersion })
		w.addHost("h5")
		w.watch(settleTime)
		got := make(chan []assigner.Host, 1)
		lead.post(func() { got <- lead.hostsSince(before).Hosts })
		hosts := <-got
		require.Len(t, hosts, 1)
		require.Equal(t, "h5", hosts[0].Name)
		for _, name := range w.names() {
			require.Equal(t, 6, w.host(name).View().Hosts, name)
		}
	})
}

// A planned stop hands leadership over without a gap.
func TestResignation(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		old := w.leaders()[0]
		w.host(old).Resign()
		require.Zero(t, w.watch(time.Second))
		require.NotContains(t, w.leaders(), old)
		w.kill(old)
		require.Zero(t, w.watch(settleTime))
	})
}

func TestCrashedServersKeysMove(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		w.setServer("s2", func(s *fakeServer) { s.up = false })
		require.Less(t, w.watch(settleTime), 3*time.Second)
		require.Equal(t, sampled, w.heldKeys())
	})
}

// A server that refuses every connection may still be running and hold its keys: they
// must not move before its hold ends. The simulation fails the test if a key has two
// holders.
func TestServerCutOffWithResetsKeepsItsKeysUntilItsHoldEnds(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		w.setServer("s2", func(s *fakeServer) { s.refuses = true })
		w.watch(settleTime)
		require.Equal(t, sampled, w.heldKeys())
		w.setServer("s2", func(s *fakeServer) { s.refuses = false })
		w.watch(settleTime)
		require.Equal(t, sampled, w.heldKeys())
	})
}

func TestDrainingServerLosesItsKeysAtOnce(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		w.list(w.server("s1"), directory.Draining)
		require.Less(t, w.watch(time.Second), 200*time.Millisecond)
		for k := range sampled {
			require.True(t, w.server("s1").until[k].Before(time.Now()))
		}
	})
}

// A host that read the store itself for a while, out of reach of the assigner,
// receives every later change from the assigner.
func TestChangesReachAHostThatReadForItself(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		for _, name := range w.names() {
			w.setCutOff(name, true)
			w.addServer("x" + name)
			w.watch(2 * time.Second)
			w.setCutOff(name, false)
			w.watch(2 * time.Second)
		}
		for _, id := range []string{"s1", "s3", "s5"} {
			w.list(w.server(id), directory.Draining)
			w.watch(600 * time.Millisecond)
			for _, name := range w.names() {
				require.Equal(t, directory.Draining, w.host(name).View().Servers.Find(id).State, "%s on %s", id, name)
			}
		}
	})
}

// Entries that lapse during an outage of the store are kept for a grace period, in
// which servers can write them again; those not written again are then removed.
func TestLapsedEntriesAfterAnOutage(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		w.store.setDown(true)
		w.watch(5 * time.Second)
		w.unlist(w.server("s1"))
		w.unlist(w.server("s2"))
		w.store.setDown(false)
		w.watch(1500 * time.Millisecond)
		w.list(w.server("s1"), directory.Ready)
		require.NotNil(t, w.host("h0").View().Servers.Find("s2"), "kept during the grace period")
		w.watch(settleTime)
		require.NotNil(t, w.host("h0").View().Servers.Find("s1"))
		require.Nil(t, w.host("h0").View().Servers.Find("s2"))
		require.Equal(t, sampled, w.heldKeys())
	})
}

// One failed read is no outage: a server whose entry is removed then is removed at
// once.
func TestOneFailedReadDelaysNothing(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		w.store.setFailures(1)
		w.watch(50 * time.Millisecond)
		w.unlist(w.server("s1"))
		w.watch(1800 * time.Millisecond)
		for _, name := range w.names() {
			require.Nil(t, w.host(name).View().Servers.Find("s1"), name)
		}
	})
}

func TestHistoryOfTheServersIsGone(t *testing.T) {
	withDeployment(t, 3, 4, func(w *world) {
		w.store.mu.Lock()
		w.store.gapUntil = uint64(len(w.store.servers)) + 2
		w.store.mu.Unlock()
		w.list(w.server("s0"), directory.Draining)
		w.addServer("s9")
		w.watch(time.Second)
		v := w.host("h1").View().Servers
		require.Equal(t, directory.Draining, v.Find("s0").State)
		require.NotNil(t, v.Find("s9"))
	})
}

// A new configuration soon applies on every host, and an older one never replaces it.
func TestConfigurationNeverGoesBack(t *testing.T) {
	withDeployment(t, 4, 4, func(w *world) {
		w.publish(5)
		w.watch(300 * time.Millisecond)
		w.publish(4) // an older version that arrives late
		w.watch(time.Second)
		for _, name := range w.names() {
			require.Equal(t, uint64(5), w.host(name).View().Routes.Version)
		}
	})
}

func TestUnreadableConfigurationKeepsTheLast(t *testing.T) {
	withDeployment(t, 2, 4, func(w *world) {
		w.store.mu.Lock()
		w.store.config = append(w.store.config, []byte("{"))
		w.store.mu.Unlock()
		w.watch(time.Second)
		require.Equal(t, uint64(1), w.host("h0").View().Routes.Version)
	})
}

// A host that starts during an outage of the store learns everything from a seed.
func TestHostStartsDuringAnOutage(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		w.store.setDown(true)
		w.watch(200 * time.Millisecond)
		c := w.addHost("n9")
		w.watch(2500 * time.Millisecond)
		v := c.View()
		require.NotNil(t, v.Routes)
		require.NotNil(t, v.Owners)
		require.Len(t, v.Servers.Servers, 6)
		w.store.setDown(false)
		w.watch(settleTime)
	})
}

// Seeds that were stale at the start are replaced while the host runs.
func TestSeedsAreReplaced(t *testing.T) {
	withDeployment(t, 3, 4, func(w *world) {
		w.store.setDown(true)
		w.watch(200 * time.Millisecond)
		c := w.addHost("n9")
		c.SetSeeds([]string{"nobody"})
		w.watch(2 * time.Second)
		require.Nil(t, c.View().Routes)
		c.SetSeeds([]string{"nobody", "h1"})
		w.watch(2 * time.Second)
		require.NotNil(t, c.View().Routes)
		w.store.setDown(false)
		w.watch(settleTime)
	})
}

// A map of an earlier epoch or change does not replace a newer one.
func TestStaleMapIsNotTakenBack(t *testing.T) {
	withDeployment(t, 2, 4, func(w *world) {
		c := w.host("h0")
		newest := c.View().Owners
		stale := newest.Clone()
		stale.Version.Change--
		stale.Tables = nil
		done := make(chan struct{})
		c.post(func() {
			c.applyMap(stale)
			close(done)
		})
		<-done
		require.Equal(t, newest.Version, c.View().Owners.Version)
		require.NotNil(t, c.View().Owners.Table(stockName))
	})
}

func (s *fakeStore) setDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = on
}

// setFailures makes the next reads of the servers' entries time out.
func (s *fakeStore) setFailures(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeouts = n
}

func (s *fakeStore) setCut(host string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[host] = on
}

func (w *world) setCutOff(host string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutOff[host] = on
}

func (w *world) setServer(id string, f func(*fakeServer)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.server(id))
}

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Calls to the store are counted by result.
func TestStoreCallsAreCountedByResult(t *testing.T) {
	s := newStats()
	for _, err := range []error{nil, nil, fault.New(fault.LogConflict, "x"), fault.New(fault.InDoubt, "x")} {
		s.countStoreCall(err)
	}
	count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, s.StoreResults).Count() }
	require.Equal(t, int64(4), s.StoreCalls.Count())
	require.Equal(t, int64(2), count("store_calls.done"))
	require.Equal(t, int64(1), count("store_calls.log-conflict"))
	require.Equal(t, int64(1), count("store_calls.in-doubt"))
}
