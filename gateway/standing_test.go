package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

const (
	leavingLine = "X-Leaving: 1\r\n"
	// ownerTime is for how long requests for its keys go to a leaving server: a share
	// of the default drain time.
	ownerTime = 1400 * time.Millisecond
)

// arrivals counts the requests that reach servers.
type arrivals struct {
	mu    sync.Mutex
	times map[string][]time.Time // by server
}

func (a *arrivals) add(server string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times[server] = append(a.times[server], time.Now())
}

func (a *arrivals) count(server string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.times[server])
}

// between counts the arrivals at a server after from and before to.
func (a *arrivals) between(server string, from, to time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, at := range a.times[server] {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// scripted is a server that runs requests and adds lines to its answers, or sheds them.
type scripted struct {
	mu     sync.Mutex
	status int           // of its answers; 503 means that it does not run requests
	lines  string        // header lines of its answers
	takes  time.Duration // for each request
}

func (s *scripted) set(status int, lines string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.lines = status, lines
}

// watch lets the named servers answer as the scripts say, and counts their requests.
func (b *testGateway) watch(scripts map[string]*scripted) *arrivals {
	a := &arrivals{times: map[string][]time.Time{}}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range scripts {
		b.servers[id] = func(conn net.Conn, req *http.Request) bool {
			_, _ = io.Copy(io.Discard, req.Body) // the gateway's write must not block
			a.add(id)
			s.mu.Lock()
			status, lines, takes := s.status, s.lines, s.takes
			s.mu.Unlock()
			time.Sleep(takes)
			if status == http.StatusServiceUnavailable {
				return reply(conn, req, status, "X-Not-Run: 1\r\n"+lines, "")
			}
			b.recordRun(req)
			return reply(conn, req, status, "X-Signature: ok\r\n"+lines, id)
		}
	}
	return a
}

// sound returns the script of a server that serves every request.
func sound() *scripted { return &scripted{status: http.StatusOK} }

func holder(id string) keyrange.Holder { return keyrange.Holder{ID: id, StartedMS: 1} }

// list lists the servers with their states; the others are as before.
func (b *testGateway) list(states map[string]directory.State) {
	b.control.change(func(v *cluster.View) {
		next := *v.Servers
		next.Servers = append([]directory.Server(nil), next.Servers...)
		for i := range next.Servers {
			if s, ok := states[next.Servers[i].Holder.ID]; ok {
				next.Servers[i].State = s
			}
		}
		v.Servers = &next
	})
}

// sendToO1 sends requests without a key while the other server of their service drains.
// Afterwards o1 is known to be the faster one, and is almost always chosen.
func (b *testGateway) sendToO1(t *testing.T) {
	b.list(map[string]directory.State{"o2": directory.Draining})
	for i := range 10 {
		require.Equal(t, "o1", b.send("GET", "/list/1", fmt.Sprint("to o1 ", i), "").Body.String())
	}
	b.list(map[string]directory.State{"o2": directory.Ready})
}

// refusedIn sends a request that must be refused as not run, and returns after how long.
func (b *testGateway) refusedIn(t *testing.T, path, id string) (took, retry time.Duration) {
	start := time.Now()
	w := b.send("POST", path, id, "x")
	require.Equal(t, http.StatusServiceUnavailable, w.Code, w.Body.String())
	require.Zero(t, b.runCount(id), "a refused request must not run")
	s, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	require.NoError(t, err)
	return time.Since(start), time.Duration(s * float64(time.Second))
}

// occupy keeps as many requests in flight at the only server of a service as it may have,
// and returns when they are.
func (b *testGateway) occupy(path string) *sync.WaitGroup {
	b.control.change(func(v *cluster.View) { v.Hosts = 60 }) // the limit is minConnections
	var done sync.WaitGroup
	for i := range minConnections {
		done.Go(func() { b.send("POST", path, fmt.Sprint("occupies", i), "x") })
	}
	time.Sleep(10 * time.Millisecond) // a new connection is watched for a moment
	return &done
}

// A request whose connection was still being opened when the server asked for a pause, or
// said that it leaves, is not sent there; it is served elsewhere and costs no retry.
func TestSlowDialReachesNoIneligibleServer(t *testing.T) {
	for _, lines := range []string{"Retry-After: 3\r\n", leavingLine} {
		t.Run(lines, func(t *testing.T) {
			withTestGateway(t, func(t *testing.T, b *testGateway) {
				o1 := &scripted{status: 503, lines: lines, takes: 100 * time.Millisecond}
				a := b.watch(map[string]*scripted{"o1": o1, "o2": sound()})
				b.list(map[string]directory.State{"o2": directory.Draining})
				var dials atomic.Int64
				b.gateway.servers.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					if n := dials.Add(1); addr == "o1" && n > 1 {
						time.Sleep(400 * time.Millisecond)
					}
					return b.dial(ctx, network, addr)
				}
				core, logs := observer.New(zapcore.InfoLevel)
				b.gateway.logger = zap.New(core)
				held := requestID(true)
				served := make(chan string, 2)
				for _, id := range []string{"first", held} {
					go func() { served <- b.send("POST", "/order/1", id, "x").Body.String() }()
					synctest.Wait()
				}
				b.list(map[string]directory.State{"o2": directory.Ready})
				require.Equal(t, "o2", <-served)
				require.Equal(t, "o2", <-served)
				require.Equal(t, 1, a.count("o1"))
				require.Zero(t, b.gateway.servers.find(holder("o1")).stats(time.Now()).outstanding)
				sent := logs.FilterMessage("gateway: request sent").FilterField(zap.String("request", held)).FilterField(zap.String("server", "o2")).All()
				require.Len(t, sent, 1)
				require.EqualValues(t, 1, sent[0].ContextMap()["send"], "the request that was held back was not sent before")
				require.Equal(t, int64(1), b.gateway.Metrics.Registry.Get("second_tries.orders").(interface{ Count() int64 }).Count())
			})
		})
	}
}

// A second copy of an old answer on a kept connection does not stop the server that sends
// it, nor end or lengthen a pause.
func TestStaleCopyChangesNoStanding(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		stray := ""
		b.servers["s1"] = func(conn net.Conn, req *http.Request) bool {
			if _, err := io.WriteString(conn, stray); err != nil {
				return false
			}
			return b.echo(conn, req)
		}
		require.Equal(t, 200, b.send("GET", "/look/1", "old", "").Code)
		for _, stray = range []string{
			"HTTP/1.1 200 X\r\nX-Id: old\r\nX-Signature: ok\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 503 X\r\nX-Id: old\r\nX-Not-Run: 1\r\nX-Leaving: 1\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n",
		} {
			require.Equal(t, 200, b.send("GET", "/look/1", "new", "").Code)
		}
		// Without an id it may be a copy, too.
		stray = "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Leaving: 1\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n"
		b.send("POST", "/book/1", "new", "x")
		stray = ""
		require.Empty(t, b.control.leaving)
		require.Empty(t, b.control.full)
		time.Sleep(ownerTime)
		require.Equal(t, 200, b.send("POST", "/book/1", "last", "x").Code)
	})
}

// Both headers in one answer: nothing goes to the server during the pause, and nothing
// without a key afterwards. As its keys move, callers are not told to wait for its pause:
// they were refused until its end.
func TestBothHeadersInOneAnswer(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		s1 := &scripted{status: 503, lines: leavingLine + "Retry-After: 1\r\n"}
		a := b.watch(map[string]*scripted{"s1": s1, "s2": sound()})
		start := time.Now()
		_, retry := b.refusedIn(t, "/book/1", "a")
		require.Less(t, retry, time.Second)
		s1.set(200, "")
		_, retry = b.refusedIn(t, "/book/1", "b")
		require.Less(t, retry, time.Second)
		require.Equal(t, 1, a.count("s1"))
		require.Equal(t, []keyrange.Holder{holder("s1")}, b.control.leaving)
		require.Contains(t, b.control.full, holder("s1"))

		served := make(chan string)
		go func() { served <- b.send("POST", "/book/1", "moved", "x").Body.String() }()
		time.Sleep(50 * time.Millisecond)
		require.Less(t, time.Since(start), time.Second, "the pause lasts")
		b.control.change(func(v *cluster.View) { v.Owners = owners("s2", 2) })
		require.Equal(t, "s2", <-served, "a request waits for the new owner")
		require.Equal(t, 1, a.count("s1"))

		b.control.change(func(v *cluster.View) { v.Owners = owners("s1", 3) })
		time.Sleep(1100*time.Millisecond - time.Since(start))
		require.Equal(t, "s1", b.send("POST", "/book/1", "c", "x").Body.String())
	})
}

// Callers of a service without keys were told to come back at the end of the pause of a
// server that leaves, which will not serve them then.
func TestPauseOfLeavingServerIsNoReasonToWait(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		o1 := &scripted{status: 503, lines: leavingLine + "Retry-After: 1\r\n"}
		a := b.watch(map[string]*scripted{"o1": o1, "o2": {status: 503, lines: "Retry-After: 8\r\n"}})
		b.refusedIn(t, "/order/1", "first")
		require.Equal(t, 2, a.count("o1")+a.count("o2"))
		took, retry := b.refusedIn(t, "/order/1", "then")
		require.Zero(t, took)
		require.Greater(t, retry, 7*time.Second, "the only server that may serve it is full until then")
	})
}

// Unreadable headers count as none. They are logged once for each server.
func TestUnreadableHeadersAreLoggedOnce(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		lines := b.recordLog()
		s1 := &scripted{status: 503, lines: "Retry-After: -5\r\nX-Leaving: perhaps\r\n"}
		b.watch(map[string]*scripted{"s1": s1})
		for i := range 3 {
			b.refusedIn(t, "/book/1", fmt.Sprint(i))
		}
		require.Empty(t, b.control.leaving)
		require.Empty(t, b.control.full)
		count := 0
		for _, line := range lines() {
			if line == "unreadable header of a backend server" {
				count++
			}
		}
		require.Equal(t, 1, count)
		s1.set(200, "")
		require.Equal(t, 200, b.send("POST", "/book/1", "sound", "x").Code)
	})
}

// Judgements are logged when they begin and when they end, and a server that leaves is
// reported again while the directory lists it as ready.
func TestJudgementsAreLoggedAndReported(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		lines := b.recordLog()
		standing := func() (out []string) {
			for _, l := range lines() {
				if l == "backend server leaves or is full" || l == "backend server no longer leaves or is full" {
					out = append(out, l)
				}
			}
			return out
		}
		begun, ended := "backend server leaves or is full", "backend server no longer leaves or is full"
		s1 := &scripted{status: 503, lines: "Retry-After: 1\r\n"}
		b.watch(map[string]*scripted{"s1": s1})
		b.refusedIn(t, "/book/1", "a")
		require.Equal(t, []string{begun}, standing())
		require.EqualValues(t, 1, b.gauge("servers_full"))
		time.Sleep(time.Second)
		b.gateway.Sweep()
		require.Equal(t, []string{begun, ended}, standing())
		require.EqualValues(t, 0, b.gauge("servers_full"))

		s1.set(200, leavingLine)
		require.Equal(t, 200, b.send("POST", "/book/1", "b", "x").Code)
		require.EqualValues(t, 1, b.gauge("servers_leaving"))
		for range 7 {
			time.Sleep(time.Second)
			b.gateway.Sweep()
		}
		require.GreaterOrEqual(t, len(b.control.leaving), 3)
		reports := len(b.control.leaving)
		b.list(map[string]directory.State{"s1": directory.Draining})
		for range 7 {
			time.Sleep(time.Second)
			b.gateway.Sweep()
		}
		require.Len(t, b.control.leaving, reports, "the assigner knows it")
		require.Equal(t, []string{begun, ended, begun}, standing())
	})
}

// gauge returns the value of a gauge.
func (b *testGateway) gauge(name string) int64 {
	return b.gateway.Metrics.Registry.Get(name).(interface{ Value() int64 }).Value()
}

// In a release, in which servers leave one after the other, the report of the first was
// not repeated until the last had left.
func TestLeavingServerIsReportedAgainWhileOthersLeave(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		o1, s1, s2 := sound(), sound(), sound()
		b.watch(map[string]*scripted{"o1": o1, "o2": sound(), "s1": s1, "s2": s2})
		sweeps := func(n int) {
			for range n {
				time.Sleep(time.Second)
				b.gateway.Sweep()
			}
		}
		b.list(map[string]directory.State{"o2": directory.Draining}) // so that o1 is chosen
		o1.set(200, leavingLine)
		require.Equal(t, "o1", b.send("GET", "/list/1", "a", "").Body.String())
		b.list(map[string]directory.State{"o2": directory.Ready})
		sweeps(2)
		s1.set(200, leavingLine)
		require.Equal(t, "s1", b.send("GET", "/look/1", "b", "").Body.String())
		sweeps(2)
		b.control.change(func(v *cluster.View) { v.Owners = owners("s2", 2) })
		s2.set(200, leavingLine)
		require.Equal(t, "s2", b.send("GET", "/look/1", "c", "").Body.String())
		sweeps(2)
		var again int
		for _, h := range b.control.leaving {
			if h == holder("o1") {
				again++
			}
		}
		require.Equal(t, 3, again, "at once, after 3 s and after 6 s: %v", b.control.leaving)
	})
}

// eventControl calls f when a request is about to be queued for its key's owner.
type eventControl struct {
	*fakeControl
	f func()
}

func (c eventControl) MapAge() time.Duration {
	c.f()
	return c.fakeControl.MapAge()
}

// Guards against a request that waited in vain for a server that became full, or began to
// leave, in the moment between the request's choice of the server and its wait: it missed
// the eviction of the waiting requests.
func TestRequestThatMissedTheEvictionDoesNotWait(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		b.watch(map[string]*scripted{"s1": {status: http.StatusOK, takes: time.Second}})
		var occupied atomic.Bool
		pause := http.Header{"Retry-After": {"5"}}
		b.gateway.control = eventControl{b.control, func() {
			if occupied.Load() {
				b.gateway.observe(holder("s1"), http.StatusServiceUnavailable, pause)
			}
		}}
		done := b.occupy("/look/1")
		occupied.Store(true)
		took, retry := b.refusedIn(t, "/book/1", "late")
		require.Zero(t, took)
		require.GreaterOrEqual(t, retry, 5*time.Second)
		done.Wait()
	})
}
