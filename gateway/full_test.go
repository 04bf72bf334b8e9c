package gateway

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
)

// Requests that wait for room at their key's owner are refused at once, as not run, when
// it asks for a pause.
func TestQueuedRequestsAreRefusedWhenTheOwnerIsFull(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		s1 := &scripted{status: 503, lines: "Retry-After: 2\r\n", takes: 100 * time.Millisecond}
		a := b.watch(map[string]*scripted{"s1": s1})
		done := b.occupy("/book/1")
		start := time.Now()
		var waiting sync.WaitGroup
		for i := range 4 {
			waiting.Go(func() {
				_, retry := b.refusedIn(t, "/book/1", fmt.Sprint("waits", i))
				require.Less(t, time.Since(start), 100*time.Millisecond, "when the answer arrives")
				require.GreaterOrEqual(t, retry, 2*time.Second)
			})
		}
		waiting.Wait()
		done.Wait()
		require.Equal(t, minConnections, a.count("s1"))
	})
}

// A server that asked for a pause is sent nothing until its end: not by new requests, by
// retries or over connections that were being opened. Requests without a key go elsewhere.
func TestFullServerIsLeftAlone(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		o1 := sound()
		a := b.watch(map[string]*scripted{"o1": o1, "o2": sound()})
		b.sendToO1(t)
		o1.set(503, "Retry-After: 2.5\r\n")
		before := a.count("o1")
		for i := range 30 {
			require.Equal(t, "o2", b.send("POST", "/order/1", fmt.Sprint("o", i), "x").Body.String())
		}
		require.Equal(t, before+1, a.count("o1"), "the request that it answered")
		end := b.control.full[holder("o1")]
		require.WithinDuration(t, time.Now().Add(2500*time.Millisecond), end, 10*time.Millisecond)
		o1.set(200, "")
		for i := 0; time.Until(end) > 10*time.Millisecond; i++ {
			require.Equal(t, 200, b.send("GET", "/list/1", fmt.Sprint("during", i), "").Code)
			time.Sleep(10 * time.Millisecond)
		}
		require.Equal(t, before+1, a.count("o1"))
		time.Sleep(10 * time.Millisecond)
		b.sendToO1(t)
	})
}

// Retry-After asks for a pause only in a 503. A 429 without proof that the request did not
// run isn't passed on, as callers take it for that proof.
func TestRetryAfterOfOtherAnswersIsNoPause(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		s1 := sound()
		b.watch(map[string]*scripted{"s1": s1})
		for status, want := range map[int]int{200: 200, 301: 301, 413: 413, 429: 502, 500: 500} {
			s1.set(status, "Retry-After: 60\r\n")
			require.Equal(t, want, b.send("POST", "/book/1", fmt.Sprint(status), "x").Code)
		}
		require.Empty(t, b.control.full)
	})
}

// While every server of a service is full, requests are refused at once, until the first
// pause ends.
func TestEveryServerIsFull(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		a := b.watch(map[string]*scripted{"o1": {status: 503, lines: "Retry-After: 4\r\n"}, "o2": {status: 503, lines: "Retry-After: 3\r\n"}})
		b.refusedIn(t, "/order/1", "first")
		require.Equal(t, 2, a.count("o1")+a.count("o2"))
		for i := range 10 {
			took, retry := b.refusedIn(t, "/order/1", fmt.Sprint("then", i))
			require.Zero(t, took)
			require.GreaterOrEqual(t, retry, 2900*time.Millisecond)
			require.Less(t, retry, 5*time.Second)
		}
		require.Equal(t, 2, a.count("o1")+a.count("o2"))
	})
}

// A request that was shed by as many full servers as it may be sent to was refused until
// the end of their pauses, although another server had room for the caller's next try.
func TestRefusalBySomeFullServersIsShort(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		full := func() *scripted { return &scripted{status: 503, lines: "Retry-After: 60\r\n"} }
		a := b.watch(map[string]*scripted{"o1": full(), "o2": full(), "o3": sound()})
		b.control.change(func(v *cluster.View) {
			o3 := directory.Server{Holder: holder("o3"), Service: "orders", Address: "o3", Slots: 3, State: directory.Draining}
			v.Servers = &directory.Snapshot{Servers: slices.Insert(slices.Clone(v.Servers.Servers), 2, o3)}
		})
		dials := 0
		b.gateway.servers.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if dials++; dials == 2 {
				b.list(map[string]directory.State{"o3": directory.Ready})
			}
			return b.dial(ctx, network, addr)
		}
		_, retry := b.refusedIn(t, "/order/1", "first")
		require.Equal(t, 2, a.count("o1")+a.count("o2"), "the route allows two servers")
		require.Less(t, retry, time.Second)
		require.Equal(t, "o3", b.send("POST", "/order/1", "second", "x").Body.String())
	})
}

// Requests for the keys of a full server are refused at once with a Retry-After that is no
// shorter than the rest of its pause, the one that it answered included. They are served
// again after the pause.
func TestKeysOfFullServer(t *testing.T) {
	for _, path := range []string{"/book/1", "/look/1"} {
		withTestGateway(t, func(t *testing.T, b *testGateway) {
			s1 := &scripted{status: 503, lines: "Retry-After: 1.5\r\n"}
			a := b.watch(map[string]*scripted{"s1": s1})
			start := time.Now()
			left := func() time.Duration { return 1500*time.Millisecond - time.Since(start) }
			for i := range 14 {
				took, retry := b.refusedIn(t, path, fmt.Sprint(i))
				require.Less(t, took, 5*time.Millisecond)
				require.GreaterOrEqual(t, retry, left())
				time.Sleep(100 * time.Millisecond)
			}
			require.Equal(t, 1, a.count("s1"))
			s1.set(200, "")
			time.Sleep(left() + 5*time.Millisecond)
			require.Equal(t, "s1", b.send("POST", path, "after", "x").Body.String())
		})
	}
}

// Of many concurrent requests at a server that answers slowly, those in flight are
// answered, and none reaches the server from half a second after its first answer to the
// end of the latest pause.
func TestFullServerUnderConcurrentRequests(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		s1 := &scripted{status: 503, lines: "Retry-After: 2\r\n", takes: 300 * time.Millisecond}
		a := b.watch(map[string]*scripted{"s1": s1})
		start := time.Now()
		var all sync.WaitGroup
		for i := range 400 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				b.refusedIn(t, "/look/1", fmt.Sprint(i))
			})
		}
		all.Wait()
		first := start.Add(300 * time.Millisecond)
		require.Zero(t, a.between("s1", first.Add(500*time.Millisecond), first.Add(2*time.Second)))
	})
}

// The line of a request that is refused for its full owner names the server.
func TestRefusalNamesTheFullOwner(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		core, logs := observer.New(zapcore.InfoLevel)
		b.gateway.logger = zap.New(core)
		b.watch(map[string]*scripted{"s1": {status: 503, lines: "Retry-After: 2\r\n"}})
		b.refusedIn(t, "/book/1", "a")
		b.refusedIn(t, "/book/1", "b")
		refused := logs.FilterMessage("gateway: request not answered").All()
		require.Len(t, refused, 2)
		require.Equal(t, "s1", refused[1].ContextMap()["server"])
		require.Contains(t, refused[1].ContextMap()["error"], "s1 is full")
	})
}
