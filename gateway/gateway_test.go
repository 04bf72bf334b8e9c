package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// withTestGateway runs f with a test gateway in virtual time.
func withTestGateway(t *testing.T, f func(t *testing.T, b *testGateway)) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t)
		defer b.close()
		f(t, b)
	})
}

func TestAnswerIsPassedOnWhole(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		w := b.send("POST", "/book/7?x=1", "a", "body")
		require.Equal(t, 200, w.Code)
		require.Equal(t, "/book/7body", w.Body.String())
		require.Equal(t, "ok", w.Header().Get("X-Signature"))
		require.Equal(t, "a", w.Header().Get("X-Id"))
		require.Equal(t, 1, b.runCount("a"))
	})
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		var got *http.Request
		b.servers["s1"] = func(conn net.Conn, req *http.Request) bool {
			got = req
			return b.echo(conn, req)
		}
		req := httptest.NewRequest("GET", "/look/a%2Fb/?q=%20", nil)
		req.Host = "shop.example:80"
		req.Header.Set("X-Id", "r")
		req.Header.Set("X-Key", "5")
		req.Header.Set("X-Deadline", "900")
		req.Header.Set("X-Expected", "smuggled")
		req.Header.Set("Connection", "X-Private")
		req.Header.Set("X-Private", "1")
		req.Header.Set("X-Other", "kept")
		require.Equal(t, 200, b.do(req).Code)
		require.Equal(t, "/look/a%2Fb/?q=%20", got.RequestURI)
		require.Equal(t, "shop.example:80", got.Host)
		require.Equal(t, "s1", got.Header.Get("X-Expected"))
		require.Equal(t, "kept", got.Header.Get("X-Other"))
		require.Empty(t, got.Header.Get("X-Private"))
		ms, err := strconv.Atoi(got.Header.Get("X-Deadline"))
		require.NoError(t, err)
		require.LessOrEqual(t, ms, 900)
	})
}

// outcome is the expected result of one kind of failure, for an idempotent request
// and for one that may run only once.
type outcome struct {
	name   string
	server func(b *testGateway) backendFunc
	safe   int // status of an idempotent request
	once   int // status of a request that may run only once
	runs   int // maximum number of runs of the latter
}

func outcomes() []outcome {
	cut := func(text string) func(b *testGateway) backendFunc {
		return func(b *testGateway) backendFunc {
			return func(conn net.Conn, req *http.Request) bool {
				_, _ = io.Copy(io.Discard, req.Body) // the gateway's write must not block
				b.recordRun(req)
				_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", req.Header.Get("X-Id"))) // the connection is closed anyway
				return false
			}
		}
	}
	return []outcome{
		{"closes without an answer", cut(""), 502, 502, 1},
		{"cuts the head", cut("HTTP/1.1 200 OK\r\nX-Id: ID\r\n"), 502, 502, 1},
		{"cuts the body", cut("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: ok\r\nContent-Length: 9\r\n\r\nabc"), 502, 502, 1},
		{"cuts a chunk", cut("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: ok\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"), 502, 502, 1},
		{"sends no answer of the protocol", cut("garbage\r\n\r\n"), 502, 502, 1},
		{"answers another request", cut("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: ok\r\nContent-Length: 2\r\n\r\nhi"), 502, 502, 1},
		{"answers without a signature", cut("HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nhi"), 502, 502, 1},
		{"sheds", func(*testGateway) backendFunc { return replyNotRun }, 503, 503, 0},
		{"does not hold the key", func(*testGateway) backendFunc {
			return func(conn net.Conn, req *http.Request) bool {
				_, _ = io.Copy(io.Discard, req.Body) // the gateway's write must not block
				return reply(conn, req, 421, "X-Not-Run: 1\r\n", "")
			}
		}, 503, 503, 0},
		{"says that it failed", func(b *testGateway) backendFunc {
			return func(conn net.Conn, req *http.Request) bool {
				_, _ = io.Copy(io.Discard, req.Body) // the gateway's write must not block
				b.recordRun(req)
				return reply(conn, req, 500, "X-Signature: ok\r\n", "no")
			}
		}, 500, 500, 1},
		{"falls silent", func(b *testGateway) backendFunc {
			return func(conn net.Conn, req *http.Request) bool {
				_, _ = io.Copy(io.Discard, req.Body) // the gateway's write must not block
				b.recordRun(req)
				return waitForClose(conn)
			}
		}, 504, 504, 1},
		{"refuses connections", func(*testGateway) backendFunc { return nil }, 503, 503, 0},
	}
}

// waitForClose sends nothing until the peer closes the connection.
func waitForClose(conn net.Conn) bool {
	var one [1]byte
	_, _ = conn.Read(one[:]) // returns when the connection is closed
	return false
}

// Each kind of failure has its status. A status that means "not run" is returned
// only if it is true, and a request that may run once runs at most once.
func TestOutcomes(t *testing.T) {
	for _, c := range outcomes() {
		for _, path := range []string{"/look/1", "/book/1", "/list/1", "/order/1"} {
			t.Run(c.name+path, func(t *testing.T) {
				withTestGateway(t, func(t *testing.T, b *testGateway) {
					for _, id := range []string{"s1", "o1", "o2"} {
						b.servers[id] = c.server(b)
					}
					w := b.send("POST", path, "id", "x")
					require.NotNil(t, w)
					want := c.safe
					if path == "/book/1" || path == "/order/1" {
						want = c.once
						require.LessOrEqual(t, b.runCount("id"), c.runs)
					}
					require.Equal(t, want, w.Code)
					if w.Code == 503 {
						require.Zero(t, b.runCount("id"))
						require.NotEmpty(t, w.Header().Get("Retry-After"))
					}
				})
			})
		}
	}
}

// A late response to an earlier request on the same connection is skipped.
func TestLateAnswerBeforeTheRightOne(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		b.servers["s1"] = func(conn net.Conn, req *http.Request) bool {
			b.recordRun(req)
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Id: old\r\nX-Signature: old\r\nContent-Length: 3\r\n\r\nold") // an error shows at the next write
			return reply(conn, req, 200, "X-Signature: ok\r\n", "right")
		}
		w := b.send("GET", "/look/1", "new", "")
		require.Equal(t, "right", w.Body.String())
	})
}

func TestUnkeyedRequestGoesToAnotherServer(t *testing.T) {
	for _, path := range []string{"/list/1", "/order/1"} {
		withTestGateway(t, func(t *testing.T, b *testGateway) {
			b.servers["o1"] = replyNotRun
			for i := range 20 {
				w := b.send("POST", path, fmt.Sprint(i), "x")
				require.Equal(t, 200, w.Code)
				require.Equal(t, 1, b.runCount(fmt.Sprint(i)))
			}
		})
	}
}

// A request for a key that is moving to another server waits for the grant.
func TestRequestWaitsForTheNewOwner(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		b.control.change(func(v *cluster.View) {
			m := owners("s2", 2)
			m.Tables[0].Ranges[0].Granted = false
			v.Owners = m
		})
		time.AfterFunc(100*time.Millisecond, func() {
			b.control.change(func(v *cluster.View) { v.Owners = owners("s2", 3) })
		})
		start := time.Now()
		require.Equal(t, 200, b.send("POST", "/book/1", "a", "x").Code)
		require.InDelta(t, 0.1, time.Since(start).Seconds(), 0.02)
	})
}

// A request for a key that stays without an owner is refused early, not at its
// deadline.
func TestRequestForAKeyWithoutOwnerIsRefusedSoon(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		b.control.change(func(v *cluster.View) { v.Owners = &keyrange.Map{} })
		start := time.Now()
		w := b.send("POST", "/book/1", "a", "x")
		require.Equal(t, 503, w.Code)
		require.Less(t, time.Since(start), 400*time.Millisecond)
	})
}

// A request whose server answers that it does not hold the key is sent to the new
// owner.
func TestMovedKeyIsSentToTheNewOwner(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		b.servers["s1"] = func(conn net.Conn, req *http.Request) bool {
			_, _ = io.Copy(io.Discard, req.Body) // the gateway's write must not block
			b.control.change(func(v *cluster.View) { v.Owners = owners("s2", 2) })
			return reply(conn, req, 421, "X-Not-Run: 1\r\n", "")
		}
		require.Equal(t, 200, b.send("POST", "/book/1", "a", "x").Code)
		require.Equal(t, 1, b.runCount("a"))
	})
}

func TestRefusedConnectionIsReported(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		b.servers["s1"] = nil
		b.send("POST", "/book/1", "a", "x")
		require.NotEmpty(t, b.control.refused)
	})
}

// Retries stay within the budget even if every attempt fails.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		var sends atomic.Int64
		for _, id := range []string{"o1", "o2"} {
			b.servers[id] = func(conn net.Conn, req *http.Request) bool {
				sends.Add(1)
				return replyNotRun(conn, req)
			}
		}
		const requests = 300
		for i := range requests {
			b.send("POST", "/list/1", fmt.Sprint(i), "x")
			time.Sleep(20 * time.Millisecond)
		}
		require.LessOrEqual(t, sends.Load(), int64(requests+0.2*requests+10))
		require.Greater(t, sends.Load(), int64(requests))
	})
}

// When the caller disconnects, the connection to the server is closed immediately.
func TestCallerLeaves(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		left := make(chan time.Time, 1)
		b.servers["s1"] = func(conn net.Conn, req *http.Request) bool {
			_, _ = io.Copy(io.Discard, req.Body) // the gateway's write must not block
			waitForClose(conn)
			left <- time.Now()
			return false
		}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		req := httptest.NewRequestWithContext(ctx, "GET", "/look/1", nil)
		req.Host = "shop.example"
		req.Header.Set("X-Id", "a")
		req.Header.Set("X-Key", "1")
		start := time.Now()
		require.Nil(t, b.do(req))
		require.Equal(t, 50*time.Millisecond, (<-left).Sub(start))
	})
}

func TestRouteTimeout(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		b.servers["s1"] = func(conn net.Conn, _ *http.Request) bool { return waitForClose(conn) }
		start := time.Now()
		require.Equal(t, 504, b.send("GET", "/look/1", "a", "").Code)
		require.Equal(t, 2*time.Second, time.Since(start))
	})
}

func TestLongBodies(t *testing.T) {
	for _, size := range []int{0, 100, 20 << 10, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 5, 3 << 20} {
		withTestGateway(t, func(t *testing.T, b *testGateway) {
			body := strings.Repeat("z", size)
			w := b.send("POST", "/scan/1", "a", body)
			require.Equal(t, 200, w.Code, "size %d", size)
			require.Equal(t, len("/scan/1")+size, w.Body.Len())
			require.Equal(t, 1, b.runCount("a"))
		})
	}
}

// A server that answers before it has read the body would take the bytes of the
// next request for the rest of that body, so its connection must not be reused.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		early := func(conn net.Conn, req *http.Request) bool {
			reply(conn, req, 500, "X-Signature: ok\r\n", "early")
			rest, _ := io.ReadAll(req.Body) // an error means that the connection was closed
			require.NotContains(t, string(rest), "HTTP/1.1")
			return false
		}
		b.servers["o1"], b.servers["o2"] = early, early
		require.Equal(t, 500, b.send("POST", "/scan/1", "a", strings.Repeat("z", 50<<10)).Code)
		b.servers["o1"], b.servers["o2"] = b.echo, b.echo
		require.Equal(t, 200, b.send("POST", "/scan/1", "b", "x").Code)
	})
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		b.servers["s1"] = func(conn net.Conn, req *http.Request) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: ok\r\n\r\nall of it", req.Header.Get("X-Id")) // the end of the connection ends the body
			return false
		}
		w := b.send("GET", "/look/1", "a", "")
		require.Equal(t, "all of it", w.Body.String())
	})
}

func TestUnknownRouteAndMissingKey(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		require.Equal(t, 404, b.send("GET", "/nowhere/", "a", "").Code)
		req := httptest.NewRequest("GET", "/look/1", nil)
		req.Host = "shop.example"
		require.Equal(t, 400, b.do(req).Code)
	})
}

func TestStoppingClosesConnectionsAndThenRefuses(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		b.gateway.Stop()
		w := b.send("GET", "/look/1", "a", "")
		require.Equal(t, 200, w.Code)
		require.Equal(t, "close", w.Header().Get("Connection"))
		require.False(t, b.gateway.Ready())
		b.gateway.RejectNew()
		require.Equal(t, 503, b.send("GET", "/look/1", "b", "").Code)
	})
}

// Connections are reused, but not for a request that may run only once if they
// have been idle for long.
func TestConnectionsAreReused(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		for i := range 5 {
			b.send("POST", "/book/1", fmt.Sprint(i), "x")
		}
		require.Equal(t, 1, b.dials)
		time.Sleep(3 * time.Second)
		b.send("POST", "/book/1", "late", "x")
		require.Equal(t, 2, b.dials)
	})
}

// failing returns a server that runs each request and answers with status 500.
func failing(b *testGateway) backendFunc {
	return func(conn net.Conn, req *http.Request) bool {
		_, _ = io.Copy(io.Discard, req.Body) // the gateway's write must not block
		b.recordRun(req)
		return reply(conn, req, 500, "X-Signature: ok\r\n", "the server's own words")
	}
}

// A server's error response is passed on if no retry is allowed.
func TestServerErrorIsPassedOnWithoutARetry(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		b.gateway.cfg.Budget = BudgetRule{Window: 10 * time.Second} // allows no retries
		b.servers["o1"], b.servers["o2"] = failing(b), failing(b)
		w := b.send("GET", "/list/1", "a", "")
		require.Equal(t, 500, w.Code)
		require.Equal(t, "the server's own words", w.Body.String())
		require.Equal(t, 1, b.runCount("a"))
	})
}

// A server's error response is passed on, too, if the retry was not accepted.
func TestServerErrorIsPassedOnAfterAFailedRetry(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		var asked atomic.Int64
		first := failing(b)
		once := func(conn net.Conn, req *http.Request) bool {
			if asked.Add(1) == 1 {
				return first(conn, req)
			}
			return replyNotRun(conn, req)
		}
		b.servers["o1"], b.servers["o2"] = once, once
		w := b.send("GET", "/list/1", "a", "")
		require.Equal(t, 500, w.Code)
		require.Equal(t, "the server's own words", w.Body.String())
	})
}

// An owner that does not hold its key for a moment, as between two grants, gets one
// retry if no other owner is named.
func TestStaleOwnerIsRetriedOnce(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		var asked atomic.Int64
		b.servers["s1"] = func(conn net.Conn, req *http.Request) bool {
			if asked.Add(1) > 1 {
				return b.echo(conn, req)
			}
			_, _ = io.Copy(io.Discard, req.Body) // the gateway's write must not block
			return reply(conn, req, 421, "X-Not-Run: 1\r\n", "")
		}
		start := time.Now()
		require.Equal(t, 200, b.send("POST", "/book/1", "a", "x").Code)
		require.InDelta(t, staleOwnerWait.Seconds(), time.Since(start).Seconds(), 0.02)
		require.Equal(t, 1, b.runCount("a"))
	})
}

// A server with too many connections accepts new ones and resets them immediately.
// Nothing has been sent on them, so even a request that may run only once is
// retried, or refused as not run.
func TestNewConnectionThatIsResetCarriesNothing(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
			_ = conn.Close()                     // the gateway sees a reset
		}
	}()
	b := newTestGateway(t)
	b.gateway = New(Config{Domain: "north", Headers: testHeaders, Budget: BudgetRule{Window: 10 * time.Second}}, b.control, zap.NewNop())
	b.control.change(func(v *cluster.View) {
		servers := slices.Clone(v.Servers.Servers)
		for i := range servers {
			servers[i].Address = lis.Addr().String()
		}
		v.Servers = &directory.Snapshot{Servers: servers}
	})
	w := b.send("POST", "/order/1", "a", "x")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	require.Equal(t, int64(maxSends), accepted.Load())
}
