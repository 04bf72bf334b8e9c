package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/gateway"
	"github.com/lacewingsaddle/lacewingsaddle/internal/pipenet"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
	"github.com/lacewingsaddle/lacewingsaddle/routetable"
)

// fixedControl is the control state of a gateway that a test sets.
type fixedControl struct {
	mu   sync.Mutex
	view *cluster.View
}

func (c *fixedControl) View() *cluster.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// setOwner publishes a view in which a server owns every key, or none if id is empty.
func (c *fixedControl) setOwner(id string, fence keyrange.Fence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next, old := *c.view, c.view
	next.Next = make(chan struct{})
	next.Owners = nil
	if id != "" {
		next.Owners = &keyrange.Map{Version: keyrange.Version{Epoch: 1, Change: uint64(fence)}, Tables: []keyrange.Table{{
			Service: "stock",
			Ranges:  []keyrange.Range{{To: keyrange.MaxKey, Owner: keyrange.Holder{ID: id, StartedMS: 1}, Fence: fence, Granted: true}},
		}}}
	}
	c.view = &next
	close(old.Next)
}

func (*fixedControl) AddLoad(string, keyrange.Key)          {}
func (*fixedControl) AddResponseTime(string, time.Duration) {}
func (*fixedControl) AddRejected(string)                    {}
func (*fixedControl) AddRefused(keyrange.Holder)            {}
func (*fixedControl) AddLeaving(keyrange.Holder)            {}
func (*fixedControl) AddFull(keyrange.Holder, time.Time)    {}
func (*fixedControl) MapAge() time.Duration                 { return 0 }

// standIn answers a request on a backend server's connection. It returns false to end the
// connection.
type standIn func(h *stoppingHost, conn net.Conn, req *http.Request) bool

// stoppingHost is a host's path of a request: its server of callers, its gateway, and
// stand-ins for the backend servers o1 and o2 of "orders", s1 and s2 of "stock".
type stoppingHost struct {
	network *pipenet.Network
	addr    string
	control *fixedControl
	gateway *gateway.Gateway
	callers *callerServer
	standIn standIn
	servers []*pipenet.Listener

	mu       sync.Mutex
	runs     map[string]int // by request id
	attempts map[string]int
}

// testGrace is the grace period of these stops.
const testGrace = 6 * time.Second

// requestTimeout is longer than a stop, so that requests may be in flight at its end.
const requestTimeout = 10 * time.Second

func newStoppingHost(row stopRow) *stoppingHost {
	h := &stoppingHost{network: pipenet.New(), standIn: row.standIn, runs: map[string]int{}, attempts: map[string]int{}}
	var servers []directory.Server
	for _, id := range []string{"o1", "o2", "s1", "s2"} {
		service := "orders"
		if id[0] == 's' {
			service = "stock"
		}
		lis := h.network.Listen()
		h.servers = append(h.servers, lis)
		go h.serve(lis)
		servers = append(servers, directory.Server{
			Holder: keyrange.Holder{ID: id, StartedMS: 1}, Service: service, Address: lis.Addr().String(), Slots: 3, State: directory.Ready,
		})
	}
	route := func(name string, kind routetable.Kind, service string) routetable.Route {
		return routetable.Route{
			Name: name, Host: "shop.example", Prefix: "/" + name, Kind: kind, Timeout: requestTimeout,
			Target: max(row.target, time.Second), Attempts: 2, Split: []routetable.WeightedService{{Service: service, Weight: 1}},
		}
	}
	h.control = &fixedControl{view: &cluster.View{
		Routes: routetable.New(1, []routetable.Route{
			route("look", routetable.Idempotent, "stock"),
			route("book", routetable.Once, "stock"),
			route("list", routetable.Idempotent, "orders"),
			route("order", routetable.Once, "orders"),
			route("scan", routetable.Upload, "orders"),
		}, []routetable.Service{{Name: "stock", Sharded: true, MaxConns: row.maxConns}, {Name: "orders", MaxConns: row.maxConns}},
			routetable.Limits{BodyBytes: 8 << 20}),
		Servers: &directory.Snapshot{Servers: servers},
		Hosts:   1,
		Next:    make(chan struct{}),
	}}
	h.control.setOwner("s1", 1)
	h.gateway = gateway.New(gateway.Config{
		Domain: "north", Dial: h.network.Dial,
		Headers: gateway.Headers{
			RequestID: "X-Id", Deadline: "X-Deadline", Signature: "X-Signature",
			Expected: "X-Expected", NotRun: "X-Not-Run", Key: "X-Key", Leaving: "X-Leaving",
		},
		Budget: gateway.BudgetRule{Ratio: 0.2, Extra: 10, Window: 10 * time.Second},
	}, h.control, zap.NewNop())
	h.callers = newCallerServer(h.gateway, h.gateway, func(event.Event) {})
	lis := h.network.Listen()
	h.addr = lis.Addr().String()
	go func() { _ = h.callers.server.Serve(lis) }() // returns when the host stops
	return h
}

// stop stops the host as Host.Stop does, and returns how long that took.
func (h *stoppingHost) stop() time.Duration {
	begin := time.Now()
	h.gateway.Stop()
	h.callers.stop(begin, planStop(testGrace))
	took := time.Since(begin)
	h.gateway.CloseIdle()
	return took
}

func (h *stoppingHost) serve(lis *pipenet.Listener) {
	for {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		go h.serveConn(conn)
	}
}

func (h *stoppingHost) serveConn(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil || !h.standIn(h, conn, req) {
			return
		}
	}
}

// close closes the stand-ins.
func (h *stoppingHost) close() {
	for _, lis := range h.servers {
		_ = lis.Close() // always succeeds
	}
}

// run reads the rest of a request and runs it. It reports whether the request was whole.
func (h *stoppingHost) run(req *http.Request) bool {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	h.mu.Lock()
	h.runs[req.Header.Get("X-Id")]++
	h.mu.Unlock()
	return true
}

// countAttempt returns how many times a request has been sent.
func (h *stoppingHost) countAttempt(req *http.Request) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts[req.Header.Get("X-Id")]++
	return h.attempts[req.Header.Get("X-Id")]
}

func reply(conn net.Conn, req *http.Request, status int, line string) bool {
	id := req.Header.Get("X-Id")
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nX-Id: %s\r\n%s\r\nContent-Length: %d\r\n\r\nown %s", status, id, line, len("own ")+len(id), id)
	return err == nil
}

func answerAfter(d time.Duration) standIn {
	return func(h *stoppingHost, conn net.Conn, req *http.Request) bool {
		if !h.run(req) {
			return false
		}
		time.Sleep(d)
		return reply(conn, req, http.StatusOK, "X-Signature: ok")
	}
}

func neverAnswer(h *stoppingHost, conn net.Conn, req *http.Request) bool {
	if h.run(req) {
		_, _ = io.Copy(io.Discard, conn) // until the gateway closes the connection
	}
	return false
}

// loseAnswer runs each request and closes the connection halfway through the response to
// the first attempt.
func loseAnswer(h *stoppingHost, conn net.Conn, req *http.Request) bool {
	first := h.countAttempt(req) == 1
	if !h.run(req) {
		return false
	}
	if !first {
		return reply(conn, req, http.StatusOK, "X-Signature: ok")
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: ") // the response is lost
	return false
}

// loseThenRefuse runs the first attempt of each request, loses the response, and refuses
// the others as not run.
func loseThenRefuse(h *stoppingHost, conn net.Conn, req *http.Request) bool {
	if h.countAttempt(req) == 1 {
		h.run(req)
		return false
	}
	_, err := io.Copy(io.Discard, req.Body)
	return err == nil && reply(conn, req, http.StatusServiceUnavailable, "X-Not-Run: 1")
}

// refuseOnce refuses the first attempt of each request as not run.
func refuseOnce(h *stoppingHost, conn net.Conn, req *http.Request) bool {
	if h.countAttempt(req) > 1 {
		return h.run(req) && reply(conn, req, http.StatusOK, "X-Signature: ok")
	}
	_, err := io.Copy(io.Discard, req.Body)
	return err == nil && reply(conn, req, http.StatusServiceUnavailable, "X-Not-Run: 1")
}

// readSlowly takes about a second for a body of 1 MiB.
func readSlowly(h *stoppingHost, conn net.Conn, req *http.Request) bool {
	for {
		_, err := io.CopyN(io.Discard, req.Body, 64<<10)
		if err == io.EOF {
			break
		}
		if err != nil {
			return false
		}
		time.Sleep(60 * time.Millisecond)
	}
	return h.run(req) && reply(conn, req, http.StatusOK, "X-Signature: ok")
}

// answerAtLength sends a long response over 400 ms.
func answerAtLength(h *stoppingHost, conn net.Conn, req *http.Request) bool {
	if !h.run(req) {
		return false
	}
	const pieces, pieceBytes = 8, 16 << 10
	id := req.Header.Get("X-Id")
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Signature: ok\r\nContent-Length: %d\r\n\r\nown %s", id, len("own ")+len(id)+pieces*pieceBytes, id)
	for range pieces {
		if err != nil {
			return false
		}
		time.Sleep(50 * time.Millisecond)
		_, err = io.WriteString(conn, strings.Repeat(" ", pieceBytes))
	}
	return err == nil
}

// uploadBytes is longer than what a gateway buffers of a request's body.
const uploadBytes = 1<<20 + 40<<10

// bodyParts are the parts in which a caller sends a request after the first part of its
// head, and the pause before each.
type bodyParts struct {
	name  string
	head  string // its last lines
	parts []string
	pause time.Duration
}

var bodies = []bodyParts{
	{name: "none", head: "\r\n"},
	{name: "whole", head: "Content-Length: 4\r\n\r\nbody"},
	{name: "in halves", head: "Content-Length: 4\r\n\r\nbo", parts: []string{"dy"}, pause: 150 * time.Millisecond},
	{name: "with a late end of its head", head: "Content-Le", parts: []string{"ngth: 4\r\n\r\nbody"}, pause: 40 * time.Millisecond},
	{name: "in late chunks", head: "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", parts: []string{"2\r\nxy\r\n", "0\r\n\r\n"}, pause: 100 * time.Millisecond},
	{name: "without its end", head: "Content-Length: 4\r\n\r\nbo"},
	{
		name:  "streamed",
		head:  fmt.Sprintf("Content-Length: %d\r\n\r\n%s", uploadBytes, strings.Repeat("u", uploadBytes-20<<10)),
		parts: []string{strings.Repeat("u", 10<<10), strings.Repeat("u", 10<<10)}, pause: 100 * time.Millisecond,
	},
	{
		name:  "streamed in chunks",
		head:  fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", uploadBytes, strings.Repeat("u", uploadBytes)),
		parts: []string{"2\r\nxy\r\n", "0\r\n\r\n"}, pause: 100 * time.Millisecond,
	},
}

// stopRequest is a caller's request around a stop.
type stopRequest struct {
	id, path string
	body     bodyParts
	kept     bool // on a connection that was used before
	at       time.Time
}

// callerResult is what a caller saw.
type callerResult struct {
	stopRequest
	reached  bool // the host has read bytes of the request
	status   int  // 0 if there was no response
	complete bool
	answer   string
}

// call sends a request at its time and reads the response.
func (h *stoppingHost) call(q stopRequest) callerResult {
	got := callerResult{stopRequest: q}
	if !q.kept {
		time.Sleep(time.Until(q.at))
	}
	conn, err := h.network.Dial(context.Background(), "tcp", h.addr)
	if err != nil {
		return got
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	if q.kept {
		_, _ = io.WriteString(conn, "GET /nowhere HTTP/1.1\r\nHost: shop.example\r\n\r\n") // the response tells
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return got
		}
		_, _ = io.Copy(io.Discard, resp.Body) // the connection is used on
		time.Sleep(time.Until(q.at))
	}
	n, _ := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Id: %s\r\n", q.path, q.id) // n tells
	got.reached = n > 0
	var writer sync.WaitGroup
	defer writer.Wait()
	defer conn.Close()
	writer.Go(func() {
		parts := append([]string{"X-Key: 7\r\n" + q.body.head}, q.body.parts...)
		for i, p := range parts {
			if i > 0 {
				time.Sleep(q.body.pause)
			}
			if _, err := io.WriteString(conn, p); err != nil {
				return // the host refused the request before its end
			}
		}
	})
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return got
	}
	got.status = resp.StatusCode
	answer, err := io.ReadAll(resp.Body)
	got.answer, got.complete = strings.TrimRight(string(answer), " "), err == nil
	return got
}

// notRunStatuses tell a caller that its request did not run.
var notRunStatuses = []int{408, 421, 429, 503}

// requireTruth checks what a caller was told of its request.
func (h *stoppingHost) requireTruth(t *testing.T, c callerResult) {
	h.mu.Lock()
	runs := h.runs[c.id]
	h.mu.Unlock()
	what := fmt.Sprintf("%s, body %s, kept %t, status %d, runs %d", c.id, c.body.name, c.kept, c.status, runs)
	if c.path != "/look" && c.path != "/list" {
		require.LessOrEqual(t, runs, 1, what)
	}
	if !c.reached {
		require.Zero(t, runs, what)
		return
	}
	require.NotZero(t, c.status, what)
	require.True(t, c.complete, what)
	if slices.Contains(notRunStatuses, c.status) {
		require.Zero(t, runs, what)
	}
	if c.status == http.StatusOK {
		require.Equal(t, "own "+c.id, c.answer, what)
		require.NotZero(t, runs, what)
	}
}

// stopMoments are when requests arrive, counted from the stop signal, around each step of
// the plan.
func stopMoments() []time.Duration {
	p := planStop(testGrace)
	out := []time.Duration{-time.Second, -50 * time.Millisecond}
	for _, step := range []time.Duration{0, p.settleAfter, p.settleAfter + quietTime, p.refuseAfter, p.end, p.end + answerTime} {
		out = append(out, step-time.Millisecond, step, step+time.Millisecond)
	}
	return append(out, time.Second)
}

// sends reports whether callers send a body to a path. Of the long ones there are few, to
// bound the time of the test.
func sends(path string, body bodyParts, kept bool) bool {
	return len(body.head) < uploadBytes/2 || path == "/scan" && !kept || path == "/look" && kept
}

// requestsAt returns requests of each kind that arrive in the same moment.
func requestsAt(begin time.Time, moment time.Duration) []stopRequest {
	var out []stopRequest
	for _, path := range []string{"/look", "/book", "/list", "/order", "/scan"} {
		for _, body := range bodies {
			for _, kept := range []bool{false, true} {
				if !sends(path, body, kept) {
					continue
				}
				id := fmt.Sprintf("%s-%v-%d", path[1:], moment, len(out))
				out = append(out, stopRequest{id: id, path: path, body: body, kept: kept, at: begin.Add(moment)})
			}
		}
	}
	return out
}

// loadInterval is the interval of the requests of a stop under load.
const loadInterval = 5 * time.Millisecond

// loadAround returns requests that keep a host busy before and all through a stop.
func loadAround(begin time.Time) []stopRequest {
	paths := []string{"/look", "/book", "/list", "/order", "/scan"}
	var out []stopRequest
	for at := -500 * time.Millisecond; at < testGrace; at += loadInterval {
		i := len(out)
		out = append(out, stopRequest{id: fmt.Sprintf("load-%d", i), path: paths[i%len(paths)], body: bodies[1], at: begin.Add(at)})
	}
	return out
}

// longTarget lets requests wait for an owner or for a server until the stop gives them up.
const longTarget = 20 * time.Second

type stopRow struct {
	name     string
	standIn  standIn
	maxConns int                                    // 0 means that the gateway's default applies
	target   time.Duration                          // of latency; 0 means a second
	change   func(h *stoppingHost, begin time.Time) // may change the control state; nil if nothing changes
	loaded   []int                                  // statuses that callers get under load, in order
}

var stopRows = []stopRow{
	{name: "fast servers", standIn: answerAfter(2 * time.Millisecond), loaded: []int{200, 503}},
	{name: "slow servers", standIn: answerAfter(700 * time.Millisecond), loaded: []int{200, 503}},
	{name: "slow servers with few connections", standIn: answerAfter(700 * time.Millisecond), maxConns: 4, loaded: []int{200, 503}},
	{name: "servers that answer at length", standIn: answerAtLength, loaded: []int{200, 503}},
	{name: "servers that never answer", standIn: neverAnswer, loaded: []int{503, 504}},
	{name: "servers that never answer with few connections", standIn: neverAnswer, maxConns: 4, loaded: []int{503, 504}},
	{name: "answers that are lost", standIn: loseAnswer, loaded: []int{200, 502, 503}},
	{name: "answers that are lost before a refusal", standIn: loseThenRefuse, loaded: []int{502, 503}},
	{name: "servers that refuse once", standIn: refuseOnce, loaded: []int{200, 503}},
	{name: "servers that read slowly", standIn: readSlowly, loaded: []int{200, 503}},
	{name: "no owner", standIn: answerAfter(2 * time.Millisecond), change: removeOwner, loaded: []int{200, 503}},
	{name: "no owner to the end", standIn: answerAfter(2 * time.Millisecond), target: longTarget, change: removeOwner, loaded: []int{200, 503}},
	{name: "queued for a server to the end", standIn: neverAnswer, maxConns: 4, target: longTarget, loaded: []int{503, 504}},
	{name: "queued for slow servers to the end", standIn: answerAfter(700 * time.Millisecond), maxConns: 4, target: longTarget, loaded: []int{200, 503, 504}},
	{name: "an owner that changes", standIn: answerAfter(50 * time.Millisecond), change: changeOwners, loaded: []int{200, 503}},
}

func removeOwner(h *stoppingHost, _ time.Time) { h.control.setOwner("", 0) }

// changeOwners moves the keys between two servers, each time by way of no owner.
func changeOwners(h *stoppingHost, begin time.Time) {
	const pause = 130 * time.Millisecond
	for fence := keyrange.Fence(2); time.Since(begin) < testGrace; fence += 2 {
		h.control.setOwner("", 0)
		time.Sleep(pause)
		h.control.setOwner([]string{"s1", "s2"}[fence/2%2], fence)
		time.Sleep(pause)
	}
}

// stopUnder runs a stop with requests around it and checks each of them. It returns the
// statuses that callers got, in order.
func stopUnder(t *testing.T, row stopRow, requests func(begin time.Time) []stopRequest) (statuses []int) {
	var h *stoppingHost
	var got []callerResult
	var took time.Duration
	synctest.Test(t, func(*testing.T) {
		h = newStoppingHost(row)
		begin := time.Now().Add(2 * time.Second)
		results := make(chan callerResult)
		all := requests(begin)
		for _, q := range all {
			go func() { results <- h.call(q) }()
		}
		var background sync.WaitGroup
		time.Sleep(time.Until(begin.Add(-1100 * time.Millisecond)))
		if row.change != nil {
			background.Go(func() { row.change(h, begin) })
		}
		time.Sleep(time.Until(begin))
		background.Go(func() { took = h.stop() })
		for range all {
			got = append(got, <-results)
		}
		background.Wait()
		h.close()
		time.Sleep(requestTimeout) // the servers' goroutines end
	})
	require.LessOrEqual(t, took, testGrace-stopMargin)
	for _, c := range got {
		h.requireTruth(t, c)
		if c.reached {
			statuses = append(statuses, c.status)
		}
	}
	slices.Sort(statuses)
	return slices.Compact(statuses)
}

// Each request that reaches a host around its planned stop is answered or refused, "not
// run" is true of it, and none runs twice that may run once, whatever its body, its
// connection and its backend server do. Requests of all kinds arrive in the same
// millisecond, at each step of the plan.
//
// Nothing is cut off, as a connection ends only between two requests (httpdrain), each
// request in flight at the end of the plan is given up by the gateway, which knows what was
// sent of it, and the end leaves answerTime to write that. What waits for an owner or in a
// limiter has not been sent. A refusal after a send remembers that the send may have run.
func TestStopOfTheWholePath(t *testing.T) {
	for _, row := range stopRows {
		t.Run(row.name, func(t *testing.T) {
			for _, moment := range stopMoments() {
				if moment >= planStop(testGrace).refuseAfter-time.Millisecond {
					continue // a stop without other requests has ended
				}
				t.Run(moment.String(), func(t *testing.T) {
					t.Parallel()
					stopUnder(t, row, func(begin time.Time) []stopRequest { return requestsAt(begin, moment) })
				})
			}
			t.Run("under load", func(t *testing.T) {
				t.Parallel()
				statuses := stopUnder(t, row, func(begin time.Time) []stopRequest {
					all := loadAround(begin)
					for _, moment := range stopMoments() {
						all = append(all, requestsAt(begin, moment)...)
					}
					return all
				})
				require.Equal(t, row.loaded, statuses)
			})
		})
	}
}
