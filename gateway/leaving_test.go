package gateway

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// A server that said in an answer of whatever status that it leaves gets no new request
// without a key, although its entry reads ready, then draining, then ready again.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	for _, status := range []int{200, 404, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			withTestGateway(t, func(t *testing.T, b *testGateway) {
				o1 := sound()
				a := b.watch(map[string]*scripted{"o1": o1, "o2": sound()})
				b.sendToO1(t)
				o1.set(status, leavingLine)
				before := a.count("o1")
				for i := range 100 {
					w := b.send("GET", "/list/1", fmt.Sprint("first", i), "")
					require.Empty(t, w.Header().Get("X-Leaving"), "the header speaks of a hop")
				}
				require.Equal(t, before+1, a.count("o1"), "only the request that it answered with the header")
				require.Equal(t, []keyrange.Holder{holder("o1")}, b.control.leaving)
				for _, state := range []directory.State{directory.Ready, directory.Draining, directory.Ready} {
					time.Sleep(3 * time.Second)
					b.list(map[string]directory.State{"o1": state})
					b.gateway.Sweep()
					for i := range 20 {
						require.Equal(t, 200, b.send("GET", "/list/1", fmt.Sprint("later", i), "").Code)
					}
				}
				require.Equal(t, before+1, a.count("o1"))
			})
		})
	}
}

// Requests for its keys go to a leaving server only while another server can still become
// their owner in time, also if no map and no entry says that it leaves.
func TestLeavingOwnerIsSentNothingAfterTheDrainTime(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		s1 := sound()
		a := b.watch(map[string]*scripted{"s1": s1, "s2": sound()})
		s1.set(200, leavingLine)
		require.Equal(t, "s1", b.send("POST", "/book/1", "first", "x").Body.String())
		start := time.Now()
		s1.set(200, "") // its later answers do not repeat it
		time.Sleep(ownerTime - 10*time.Millisecond)
		require.Equal(t, "s1", b.send("POST", "/book/1", "in time", "x").Body.String())
		time.Sleep(ownerTime - time.Since(start))
		for i := range 5 {
			b.refusedIn(t, "/book/1", fmt.Sprint("late", i))
		}
		require.Equal(t, 2, a.count("s1"))

		served := make(chan string)
		go func() { served <- b.send("POST", "/book/1", "moved", "x").Body.String() }()
		time.Sleep(100 * time.Millisecond)
		b.control.change(func(v *cluster.View) { v.Owners = owners("s2", 2) })
		require.Equal(t, "s2", <-served, "a request waits for the new owner")
		require.Equal(t, 2, a.count("s1"))
	})
}

// The directory and the answers lead to one state: a server that is listed as draining is
// treated like one that says that it leaves, from the moment that it is listed so.
func TestDrainingOwnerIsSentNothingAfterTheDrainTime(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		a := b.watch(map[string]*scripted{"s1": sound(), "o1": sound(), "o2": sound()})
		b.list(map[string]directory.State{"s1": directory.Draining, "o1": directory.Draining})
		require.Equal(t, "s1", b.send("POST", "/book/1", "first", "x").Body.String())
		time.Sleep(ownerTime)
		b.refusedIn(t, "/book/1", "late")
		require.Equal(t, 1, a.count("s1"))
		require.Equal(t, "o2", b.send("GET", "/list/1", "a", "").Body.String())
		require.Empty(t, b.control.leaving, "the assigner reads the directory itself")
		b.list(map[string]directory.State{"s1": directory.Ready})
		require.Equal(t, "s1", b.send("POST", "/book/1", "again", "x").Body.String())
	})
}

// A new start of a server that left is another server.
func TestNewStartOfLeavingServerIsUsed(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		o1 := sound()
		b.watch(map[string]*scripted{"o1": o1, "o2": sound()})
		o1.set(200, leavingLine)
		b.list(map[string]directory.State{"o2": directory.Draining})
		require.Equal(t, "o1", b.send("GET", "/list/1", "a", "").Body.String())
		o1.set(200, "")
		require.Equal(t, 503, b.send("GET", "/list/1", "b", "").Code)
		b.control.change(func(v *cluster.View) {
			next := *v.Servers
			next.Servers = append([]directory.Server(nil), next.Servers...)
			next.Servers[0].Holder.StartedMS = 2
			v.Servers = &next
		})
		require.Equal(t, "o1", b.send("GET", "/list/1", "c", "").Body.String())
	})
}

// A retry never goes to a server that leaves: it goes to another server, or to the new
// owner of its key, or is not made.
func TestRetryNeverPicksLeavingServer(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		s1, o1 := sound(), sound()
		a := b.watch(map[string]*scripted{"s1": s1, "s2": sound(), "o1": o1, "o2": sound()})
		s1.set(503, leavingLine)
		b.refusedIn(t, "/look/1", "a")
		require.Equal(t, 1, a.count("s1"))

		b.control.change(func(v *cluster.View) { v.Owners = owners("s2", 2) })
		require.Equal(t, "s2", b.send("GET", "/look/1", "b", "").Body.String())

		b.sendToO1(t)
		before := a.count("o1")
		o1.set(503, leavingLine)
		for i := range 30 {
			require.Equal(t, "o2", b.send("POST", "/order/1", fmt.Sprint("o", i), "x").Body.String())
		}
		require.Equal(t, before+1, a.count("o1"))
	})
}

// Requests for the keys of a service's only server waited for another owner, which there
// is none to become, when that server had left.
func TestKeysOfTheOnlyServerAreRefusedAtOnceWhenItHasLeft(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		s1 := sound()
		a := b.watch(map[string]*scripted{"s1": s1})
		b.list(map[string]directory.State{"s2": directory.Draining})
		s1.set(200, leavingLine)
		require.Equal(t, "s1", b.send("POST", "/book/1", "first", "x").Body.String())
		require.Equal(t, "s1", b.send("POST", "/book/1", "still served", "x").Body.String())
		s1.set(503, leavingLine)
		took, _ := b.refusedIn(t, "/book/1", "shed")
		require.Less(t, took, 10*time.Millisecond)
		require.Equal(t, 3, a.count("s1"))
		time.Sleep(ownerTime)
		took, retry := b.refusedIn(t, "/book/1", "late")
		require.Zero(t, took)
		require.Less(t, retry, time.Second)
		require.Equal(t, 3, a.count("s1"))

		b.list(map[string]directory.State{"s2": directory.Ready})
		took, _ = b.refusedIn(t, "/book/1", "may move")
		require.Greater(t, took, 100*time.Millisecond, "s2 may become the owner")
	})
}

// A request for a key of a leaving server that could not be sent at all, as no connection
// was opened, was refused as if it were a retry.
func TestUnsentRequestIsNoRetryAtALeavingOwner(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		dials := 0
		b.gateway.servers.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if dials++; dials == 2 {
				return nil, &net.OpError{Op: "dial", Err: syscall.ETIMEDOUT}
			}
			return b.dial(ctx, network, addr)
		}
		s1 := sound()
		a := b.watch(map[string]*scripted{"s1": s1})
		s1.set(200, leavingLine)
		require.Equal(t, "s1", b.send("POST", "/book/1", "first", "x").Body.String())
		require.Equal(t, "s1", b.send("POST", "/book/1", "unsent", "x").Body.String())
		require.Equal(t, 2, a.count("s1"))
		s1.set(503, "")
		b.refusedIn(t, "/look/1", "shed")
		require.Equal(t, 3, a.count("s1"), "a request that was sent there is not sent there again")
	})
}

// Requests that wait for room at a server that leaves are placed anew.
func TestQueuedRequestsLeaveWithTheServer(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		o1 := &scripted{status: 200, lines: leavingLine, takes: 100 * time.Millisecond}
		a := b.watch(map[string]*scripted{"o1": o1, "o2": sound()})
		b.list(map[string]directory.State{"o2": directory.Draining})
		done := b.occupy("/order/1")
		served := make(chan string, 4)
		for i := range 4 {
			go func() { served <- b.send("POST", "/order/1", fmt.Sprint("waits", i), "x").Body.String() }()
		}
		synctest.Wait()
		require.Equal(t, minConnections, a.count("o1"))
		b.list(map[string]directory.State{"o2": directory.Ready})
		for range 4 {
			require.Equal(t, "o2", <-served)
		}
		done.Wait()
		require.Equal(t, minConnections, a.count("o1"))
	})
}

// Requests that wait for room at a server are placed anew as soon as the directory says
// that it drains, also while none of its requests ends.
func TestQueuedRequestsLeaveADrainingServer(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		a := b.watch(map[string]*scripted{"o1": {status: 200, takes: 250 * time.Millisecond}, "o2": sound()})
		b.list(map[string]directory.State{"o2": directory.Draining})
		done := b.occupy("/order/1")
		served := make(chan string, 4)
		for i := range 4 {
			go func() { served <- b.send("POST", "/order/1", fmt.Sprint("waits", i), "x").Body.String() }()
		}
		synctest.Wait()
		start := time.Now()
		b.list(map[string]directory.State{"o1": directory.Draining, "o2": directory.Ready})
		b.gateway.Sweep()
		for range 4 {
			require.Equal(t, "o2", <-served)
		}
		require.Less(t, time.Since(start), 50*time.Millisecond)
		done.Wait()
		require.Equal(t, minConnections, a.count("o1"), "requests in flight are not cut off")
	})
}

// follow runs Follow until the returned function is called.
func (b *testGateway) follow(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); b.gateway.Follow(ctx) }()
	return func() { cancel(); <-done }
}

// A host that had no requests for a while counted the drain time from its next request,
// not from the moment at which it learnt that the server drains.
func TestDrainTimeCountsFromTheDirectory(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		defer b.follow(t)()
		a := b.watch(map[string]*scripted{"s1": sound()})
		b.list(map[string]directory.State{"s1": directory.Draining})
		time.Sleep(ownerTime - 10*time.Millisecond)
		require.Equal(t, "s1", b.send("POST", "/book/1", "in time", "x").Body.String())
		time.Sleep(10 * time.Millisecond)
		b.refusedIn(t, "/book/1", "late")
		require.Equal(t, 1, a.count("s1"))
	})
}

// Requests that wait for room at a server that drains waited on until another request, or
// the next sweep, applied the directory.
func TestWaitingRequestsLeaveADrainingServerAtOnce(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		defer b.follow(t)()
		a := b.watch(map[string]*scripted{"o1": {status: 200, takes: 250 * time.Millisecond}, "o2": sound()})
		b.list(map[string]directory.State{"o2": directory.Draining})
		done := b.occupy("/order/1")
		served := make(chan string)
		go func() { served <- b.send("POST", "/order/1", "waits", "x").Body.String() }()
		synctest.Wait()
		start := time.Now()
		b.list(map[string]directory.State{"o1": directory.Draining, "o2": directory.Ready})
		require.Equal(t, "o2", <-served)
		require.Less(t, time.Since(start), 50*time.Millisecond)
		done.Wait()
		require.Equal(t, minConnections, a.count("o1"), "requests in flight are not cut off")
	})
}

// Kept connections to a server that leaves are closed once they are idle.
func TestConnectionsToLeavingServerAreClosed(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		s1 := sound()
		b.watch(map[string]*scripted{"s1": s1})
		var open atomic.Int64
		b.gateway.servers.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := b.dial(ctx, network, addr)
			open.Add(1)
			return &countedConn{c, &open}, err
		}
		s1.takes = 10 * time.Millisecond
		b.occupy("/book/1").Wait()
		require.EqualValues(t, minConnections, open.Load(), "they are kept")
		s1.set(200, leavingLine)
		require.Equal(t, 200, b.send("POST", "/book/1", "b", "x").Code)
		require.Zero(t, open.Load(), "also those that were idle before")
	})
}

// countedConn decrements a number when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
}

func (c *countedConn) Close() error {
	c.open.Add(-1)
	return c.Conn.Close()
}
