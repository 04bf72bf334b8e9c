package cluster

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/hostlink"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// usedAgain reports whether any host lists a server, without which it sends nothing to it.
func (w *world) usedAgain(id string) bool {
	for _, name := range w.names() {
		v := w.host(name).View()
		if v.Servers.Find(id) != nil {
			return true
		}
	}
	return false
}

// leaveTime is the time within which every host knows that a server has left.
const leaveTime = 2 * time.Second

// A server that has left is not in use again, whichever hosts are restarted before,
// while or after it leaves, also while the store is away.
func TestServerThatLeftStaysAway(t *testing.T) {
	restarts := map[string]func(w *world){
		"one host": func(w *world) { w.restart(w.followers()[0]) },
		"the assigner": func(w *world) {
			if l := w.leaders(); len(l) > 0 {
				w.restart(l[0])
			}
		},
		"every host in turn": func(w *world) {
			for _, name := range w.names() {
				w.restart(name)
				w.watch(300 * time.Millisecond)
			}
		},
		"all hosts at once": func(w *world) {
			names := w.names()
			w.stop()
			for _, name := range names {
				w.addHost(name)
			}
		},
	}
	moments := map[string]struct{ before, between time.Duration }{
		"before": {before: 500 * time.Millisecond},
		"during": {},
		"after":  {between: leaveTime},
	}
	for name, restart := range restarts {
		for moment, m := range moments {
			for _, outage := range []bool{false, true} {
				if outage && (moment != "after" || name == "all hosts at once") {
					continue // without the store and any peer, nothing is known of the leaving
				}
				title := name + " " + moment
				if outage {
					title += " in an outage of the store"
				}
				t.Run(title, func(t *testing.T) {
					withDeployment(t, 4, 6, func(w *world) {
						gone := w.server("s3")
						if m.before > 0 {
							restart(w)
							w.watch(m.before)
						}
						w.unlist(gone)
						w.watch(m.between)
						if outage {
							w.store.setDown(true)
							w.watch(200 * time.Millisecond)
						}
						if m.before == 0 {
							restart(w)
						}
						if m.between == 0 {
							w.watch(leaveTime + settleTime)
						}
						for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
							require.False(t, w.usedAgain("s3"))
						}
					})
				})
			}
		}
	}
}

func (w *world) restart(name string) {
	w.kill(name)
	w.addHost(name)
}

func (w *world) followers() []string {
	lead := map[string]bool{}
	for _, name := range w.leaders() {
		lead[name] = true
	}
	var out []string
	for _, name := range w.names() {
		if !lead[name] {
			out = append(out, name)
		}
	}
	return out
}

// A host that missed that a server left becomes the assigner while the store is away.
// The hosts that know it do not use the server again.
func TestNewAssignerThatMissedALeavingServer(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		informed := w.host(w.followers()[0])
		before := informed.View().Servers
		w.unlist(w.server("s3"))
		w.watch(leaveTime)
		require.Nil(t, informed.View().Servers.Find("s3"))
		stale := &hostlink.SyncResponse{Leads: true, Epoch: 99, Servers: before.WithEpoch(99)}
		done := make(chan struct{})
		informed.post(func() { informed.applyResponse(stale); close(done) })
		<-done
		require.Nil(t, informed.View().Servers.Find("s3"))
	})
}

// A host relays only calls that it can verify: of the assigner of the newest epoch, to
// a server that is or was registered at the address.
func TestRelayIsVerified(t *testing.T) {
	withDeployment(t, 4, 6, func(w *world) {
		lead := w.host(w.leaders()[0])
		other := w.host(w.followers()[0])
		server := w.server("s3")
		sound := func() *hostlink.RelayRequest {
			epoch, _ := query(context.Background(), lead, lead.machine.Epoch)
			return &hostlink.RelayRequest{
				From: lead.cfg.Self, Epoch: epoch, Address: server.addr, HoldMS: 1000, LimitMS: 500,
				Range: keyrange.Range{From: 1, To: 2, Owner: server.holder, Fence: 1 << 40},
			}
		}
		cases := map[string]func(c *hostlink.RelayRequest){
			"an epoch that has ended":         func(c *hostlink.RelayRequest) { c.Epoch-- },
			"a host that is not the assigner": func(c *hostlink.RelayRequest) { c.From = w.host(w.followers()[1]).cfg.Self },
			"a host that is not registered":   func(c *hostlink.RelayRequest) { c.From.Name = "stranger"; c.Epoch++ },
			"an earlier run of a host":        func(c *hostlink.RelayRequest) { c.From.Incarnation = "0"; c.Epoch++ },
			"an address of no server":         func(c *hostlink.RelayRequest) { c.Address = "elsewhere" },
			"an address of another server":    func(c *hostlink.RelayRequest) { c.Address = "s4" },
			"an earlier run of the server":    func(c *hostlink.RelayRequest) { c.Range.Owner.StartedMS-- },
			"a release at no server's address": func(c *hostlink.RelayRequest) {
				c.Release, c.Address = true, "elsewhere"
			},
		}
		for name, change := range cases {
			call := sound()
			change(call)
			a, err := other.Relay(context.Background(), call)
			require.NoError(t, err, name)
			require.Equal(t, assigner.CallUnsent, a.Result, name)
		}
		require.Less(t, server.seen[1], keyrange.Fence(1<<40), "no rejected call reached the server")
		a, err := other.Relay(context.Background(), sound())
		require.NoError(t, err)
		require.Equal(t, assigner.CallOK, a.Result)
	})
}

// A panic while a message is handled ends that message only; the host goes on.
func TestPanicOfAMessageIsContained(t *testing.T) {
	withDeployment(t, 2, 3, func(w *world) {
		c := w.host(w.names()[0])
		_, ok := query(context.Background(), c, func() int { c.contain("a test", func() { panic("unexpected") }); return 1 })
		require.True(t, ok)
		require.Equal(t, int64(1), c.stats.Panics.Count())
		require.Zero(t, w.watch(time.Second))
	})
}

// When the assigner of hundreds of hosts is lost, another one takes over before the hosts
// read the backend servers' entries themselves.
func TestTakeoverOfManyHostsReadsTheStoreLittle(t *testing.T) {
	const hosts = 295
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6)
		defer w.stop()
		for i := range hosts {
			w.addHost(fmt.Sprintf("h%d", i))
		}
		w.watch(startTime)
		w.store.takeReaders()
		w.kill(w.leaders()[0])
		w.watch(settleTime)
		require.Len(t, w.leaders(), 1)
		require.Less(t, w.store.takeReaders(), hosts/10)
	})
}

// Guards against a process that ended because a SIGHUP arrived while it started.
func TestSeedsMayChangeBeforeTheStart(t *testing.T) {
	c := New(Config{Self: assigner.Host{Name: "h0"}, HoldMax: 10 * time.Second}, nil, nil, nil, zap.NewNop())
	require.NotPanics(t, func() { c.SetSeeds([]string{"h1"}) })
	(<-c.events)()
	require.Equal(t, []string{"h1"}, c.cfg.Seeds)
}
