package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
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

// occupy keeps as many requests in flight at the only server of a service as it may have,
// and returns when they are.
func (b *testGateway) occupy(a *arrivals, path, server string) *sync.WaitGroup {
	b.control.change(func(v *cluster.View) { v.Hosts = 60 }) // the limit is minConnections
	var done sync.WaitGroup
	for i := range minConnections {
		done.Go(func() { b.send("POST", path, fmt.Sprint("occupies", i), "x") })
	}
	time.Sleep(10 * time.Millisecond) // a new connection is watched for a moment
	return &done
}

// Requests that wait for room at a server that leaves are placed anew.
func TestQueuedRequestsLeaveWithTheServer(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		o1 := &scripted{status: 200, lines: leavingLine, takes: 100 * time.Millisecond}
		a := b.watch(map[string]*scripted{"o1": o1, "o2": sound()})
		b.list(map[string]directory.State{"o2": directory.Draining})
		done := b.occupy(a, "/order/1", "o1")
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

// Requests that wait for room at their key's owner are refused at once, as not run, when
// it asks for a pause.
func TestQueuedRequestsAreRefusedWhenTheOwnerIsFull(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		s1 := &scripted{status: 503, lines: "Retry-After: 2\r\n", takes: 100 * time.Millisecond}
		a := b.watch(map[string]*scripted{"s1": s1})
		done := b.occupy(a, "/book/1", "s1")
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

// A request whose connection was still being opened when the server asked for a pause, or
// said that it leaves, is not sent there; it is served elsewhere and costs no retry.
func TestSlowDialReachesNoIneligibleServer(t *testing.T) {
	for _, lines := range []string{"Retry-After: 3\r\n", leavingLine} {
		t.Run(lines, func(t *testing.T) {
			withTestGateway(t, func(t *testing.T, b *testGateway) {
				o1 := &scripted{status: 503, lines: lines, takes: 100 * time.Millisecond}
				a := b.watch(map[string]*scripted{"o1": o1, "o2": sound()})
				b.list(map[string]directory.State{"o2": directory.Draining})
				dials := 0
				b.gateway.servers.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					if dials++; addr == "o1" && dials > 1 {
						time.Sleep(400 * time.Millisecond)
					}
					return b.dial(ctx, network, addr)
				}
				served := make(chan string, 2)
				for i := range 2 {
					go func() { served <- b.send("POST", "/order/1", fmt.Sprint(i), "x").Body.String() }()
					synctest.Wait()
				}
				b.list(map[string]directory.State{"o2": directory.Ready})
				require.Equal(t, "o2", <-served)
				require.Equal(t, "o2", <-served)
				require.Equal(t, 1, a.count("o1"))
				require.Equal(t, int64(1), b.gateway.Metrics.Registry.Get("second_tries.orders").(interface{ Count() int64 }).Count())
			})
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

// Both headers in one answer: nothing goes to the server during the pause, and nothing
// without a key afterwards.
func TestBothHeadersInOneAnswer(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		s1 := &scripted{status: 503, lines: leavingLine + "Retry-After: 1\r\n"}
		a := b.watch(map[string]*scripted{"s1": s1})
		b.refusedIn(t, "/book/1", "a")
		s1.set(200, "")
		took, _ := b.refusedIn(t, "/book/1", "b")
		require.Zero(t, took)
		require.Equal(t, 1, a.count("s1"))
		require.Equal(t, []keyrange.Holder{holder("s1")}, b.control.leaving)
		require.Contains(t, b.control.full, holder("s1"))
		time.Sleep(1100 * time.Millisecond)
		require.Equal(t, "s1", b.send("POST", "/book/1", "c", "x").Body.String())
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

// Kept connections to a server that leaves are closed once they are idle.
func TestConnectionsToLeavingServerAreClosed(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		s1 := sound()
		b.watch(map[string]*scripted{"s1": s1})
		open := 0
		b.gateway.servers.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := b.dial(ctx, network, addr)
			open++
			return &countedConn{c, &open}, err
		}
		require.Equal(t, 200, b.send("POST", "/book/1", "a", "x").Code)
		require.Equal(t, 1, open, "it is kept")
		s1.set(200, leavingLine)
		require.Equal(t, 200, b.send("POST", "/book/1", "b", "x").Code)
		require.Zero(t, open)
	})
}

// countedConn decrements a number when it is closed.
type countedConn struct {
	net.Conn
	open *int
}

func (c *countedConn) Close() error {
	*c.open--
	return c.Conn.Close()
}
