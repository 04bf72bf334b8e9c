package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
	"github.com/lacewingsaddle/lacewingsaddle/routetable"
)

var testHeaders = Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", Signature: "X-Signature",
	Expected: "X-Expected", NotRun: "X-Not-Run", Key: "X-Key", Leaving: "X-Leaving",
}

// fakeControl is a Control whose view is set by the test.
type fakeControl struct {
	mu       sync.Mutex
	view     *cluster.View
	refused  []keyrange.Holder
	rejected map[string]int // by server
	mapAge   time.Duration
	leaving  []keyrange.Holder
	full     map[keyrange.Holder]time.Time // end of the pause
}

func (c *fakeControl) View() *cluster.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}
func (c *fakeControl) AddLoad(string, keyrange.Key)          {}
func (c *fakeControl) AddResponseTime(string, time.Duration) {}
func (c *fakeControl) MapAge() time.Duration                 { return c.mapAge }
func (c *fakeControl) AddRejected(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected[server]++
}

func (c *fakeControl) AddRefused(h keyrange.Holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = append(c.refused, h)
}

func (c *fakeControl) AddLeaving(h keyrange.Holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = append(c.leaving, h)
}

func (c *fakeControl) AddFull(h keyrange.Holder, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.full[h] = until
}

// change publishes a modified copy of the view.
func (c *fakeControl) change(f func(v *cluster.View)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := *c.view
	next.Next = make(chan struct{})
	f(&next)
	old := c.view
	c.view = &next
	close(old.Next)
}

// backendFunc handles one request on a fake server's connection. It returns
// false to end the connection.
type backendFunc func(conn net.Conn, req *http.Request) bool

// testGateway is a gateway in front of fake servers, over in-memory connections.
type testGateway struct {
	t       *testing.T
	control *fakeControl
	gateway *Gateway
	mu      sync.Mutex
	servers map[string]backendFunc
	runs    map[string]int // number of runs by request id
	dials   int
}

// newTestGateway returns a gateway with a sharded service "stock", owned by s1, and
// an unsharded service "orders" with the servers o1 and o2.
func newTestGateway(t *testing.T) *testGateway {
	b := &testGateway{t: t, servers: map[string]backendFunc{}, runs: map[string]int{}}
	var list []directory.Server
	for _, id := range []string{"o1", "o2", "s1", "s2"} {
		service := "orders"
		if id[0] == 's' {
			service = "stock"
		}
		list = append(list, directory.Server{
			Holder: keyrange.Holder{ID: id, StartedMS: 1}, Service: service, Address: id, Slots: 3, State: directory.Ready,
		})
		b.servers[id] = b.echo
	}
	b.control = &fakeControl{rejected: map[string]int{}, full: map[keyrange.Holder]time.Time{}, view: &cluster.View{
		Routes:  testRoutes(1),
		Servers: &directory.Snapshot{Servers: list},
		Owners:  owners("s1", 1),
		Hosts:   1,
		Next:    make(chan struct{}),
	}}
	b.gateway = New(Config{
		Domain: "north", Headers: testHeaders, Dial: b.dial,
		Budget: BudgetRule{Ratio: 0.2, Extra: 10, Window: 10 * time.Second},
	}, b.control, zap.NewNop())
	return b
}

func owners(id string, fence keyrange.Fence) *keyrange.Map {
	return &keyrange.Map{Version: keyrange.Version{Epoch: 1, Change: uint64(fence)}, Tables: []keyrange.Table{{
		Service: "stock",
		Ranges:  []keyrange.Range{{From: 0, To: keyrange.MaxKey, Owner: keyrange.Holder{ID: id, StartedMS: 1}, Fence: fence, Granted: true}},
	}}}
}

func testRoutes(version uint64) *routetable.Table {
	route := func(name string, kind routetable.Kind, service string) routetable.Route {
		return routetable.Route{
			Name: name, Host: "shop.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second,
			Target: 600 * time.Millisecond, Attempts: 2, Split: []routetable.WeightedService{{Service: service, Weight: 1}},
		}
	}
	return routetable.New(version, []routetable.Route{
		route("look", routetable.Idempotent, "stock"),
		route("book", routetable.Once, "stock"),
		route("list", routetable.Idempotent, "orders"),
		route("order", routetable.Once, "orders"),
		route("scan", routetable.Upload, "orders"),
	}, []routetable.Service{{Name: "stock", Sharded: true, MaxConns: 60}, {Name: "orders", MaxConns: 60}},
		routetable.Limits{BodyBytes: 8 << 20})
}

func (b *testGateway) dial(_ context.Context, _, addr string) (net.Conn, error) {
	b.mu.Lock()
	f := b.servers[addr]
	b.dials++
	b.mu.Unlock()
	if f == nil {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	go b.serve(far, addr)
	return near, nil
}

func (b *testGateway) serve(conn net.Conn, addr string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		b.mu.Lock()
		f := b.servers[addr]
		b.mu.Unlock()
		if f == nil || !f(conn, req) {
			return
		}
	}
}

// recordRun notes that a request ran.
func (b *testGateway) recordRun(req *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[req.Header.Get("X-Id")]++
}

func (b *testGateway) runCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// echo is a sound server: it runs the request and echoes path and body.
func (b *testGateway) echo(conn net.Conn, req *http.Request) bool {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	b.recordRun(req)
	return reply(conn, req, http.StatusOK, "X-Signature: ok\r\n", req.URL.Path+string(body))
}

// reply writes a response with additional header lines.
func reply(conn net.Conn, req *http.Request, status int, lines, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, req.Header.Get("X-Id"), lines, len(body), body)
	return err == nil
}

// replyNotRun answers that the request was not run.
func replyNotRun(conn net.Conn, req *http.Request) bool {
	_, _ = io.Copy(io.Discard, req.Body) // the gateway's write must not block
	return reply(conn, req, http.StatusServiceUnavailable, "X-Not-Run: 1\r\n", "")
}

// send sends a request through the gateway. It returns nil if the gateway aborted
// the connection.
func (b *testGateway) send(method, path, id, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Host = "shop.example"
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Key", "77")
	req.Header.Set("X-Deadline", "3000")
	return b.do(req)
}

func (b *testGateway) do(req *http.Request) (w *httptest.ResponseRecorder) {
	w = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			w = nil
		}
	}()
	b.gateway.ServeHTTP(w, req)
	return w
}

// close closes the idle connections, so that no goroutine is left.
func (b *testGateway) close() {
	b.control.change(func(v *cluster.View) { v.Servers = &directory.Snapshot{} })
	b.gateway.Sweep()
}
