package routing

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/pipenet"
)

// faultPoint is the point of an exchange at which the server fails.
type faultPoint string

const (
	pointNone          faultPoint = "none"
	pointAccepted      faultPoint = "after dial"
	pointMidHeaders    faultPoint = "mid headers"
	pointMidBody       faultPoint = "mid body"
	pointLastByte      faultPoint = "after the last byte"
	pointMidAnswer     faultPoint = "mid answer"
	pointSilent        faultPoint = "no answer"
	pointLate          faultPoint = "late answer"
	pointOtherID       faultPoint = "answer to another request"
	pointUnframed      faultPoint = "answer without a length"
	pointSaidNotRun    faultPoint = "server says not run"
	pointStaleToken    faultPoint = "token too low"
	headerTestOrder               = "X-Test-Order"
	serverHighestToken            = "600"
)

// faultServer is a TCP server that fails at one point of one request and
// serves every other request.
type faultServer struct {
	listener     net.Listener
	checksTokens bool // refuses tokens below serverHighestToken
	wait         sync.WaitGroup

	mu             sync.Mutex
	at             faultPoint
	armed          bool
	ledger         map[string]int // runs by order
	conns          map[net.Conn]bool
	opened         int
	callerAnswered chan struct{} // closed once the caller that awaits a late answer was answered
	lateWritten    chan struct{} // closed once the late answer was written

	overlapping bool           // requests are answered only once all of them have arrived
	overlap     sync.WaitGroup // requests that have yet to arrive
}

func newFaultServer(t testing.TB, checks bool) *faultServer { return newFaultServerOn(t, nil, checks) }

// newFaultServerOn returns a server on a network, or on loopback TCP if it is nil.
func newFaultServerOn(t testing.TB, n *pipenet.Network, checks bool) *faultServer {
	s := &faultServer{
		listener:       listen(t, n),
		checksTokens:   checks,
		ledger:         map[string]int{},
		conns:          map[net.Conn]bool{},
		callerAnswered: make(chan struct{}),
		lateWritten:    make(chan struct{}),
	}
	s.wait.Add(1)
	go s.accept()
	t.Cleanup(s.close)
	return s
}

func (s *faultServer) addr() string { return s.listener.Addr().String() }

func (s *faultServer) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
}

// arm makes the next request, or the next connection for pointAccepted, fail at p.
func (s *faultServer) arm(p faultPoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at, s.armed = p, p != pointNone
}

// takeArmed returns the armed point and disarms it. accepting selects between
// pointAccepted and the points of requests.
func (s *faultServer) takeArmed(accepting bool) faultPoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.armed || (s.at == pointAccepted) != accepting {
		return pointNone
	}
	s.armed = false
	return s.at
}

func (s *faultServer) runs(order string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger[order]
}

func (s *faultServer) accept() {
	defer s.wait.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.takeArmed(true) == pointAccepted {
			reset(c)
			continue
		}
		s.mu.Lock()
		s.conns[c] = true
		s.opened++
		s.mu.Unlock()
		s.wait.Add(1)
		go s.serve(c)
	}
}

func reset(c net.Conn) {
	_ = c.(interface{ SetLinger(sec int) error }).SetLinger(0)
	_ = c.Close()
}

func (s *faultServer) serve(c net.Conn) {
	defer s.wait.Done()
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		if !s.serveOne(c, r, s.takeArmed(false)) {
			return
		}
	}
}

// serveOne serves one request and reports whether the connection stays open.
func (s *faultServer) serveOne(c net.Conn, r *bufio.Reader, at faultPoint) bool {
	if at == pointMidHeaders {
		_, _ = r.Discard(8)
		reset(c)
		return false
	}
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if at == pointMidBody {
		_, _ = io.CopyN(io.Discard, req.Body, 2)
		reset(c)
		return false
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	if at == pointSaidNotRun {
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nLacewingsaddle-Not-Run: overloaded\r\nLacewingsaddle-Request-Id: "+req.Header.Get(HeaderRequestID)+"\r\n\r\n")
		return err == nil
	}
	if at == pointStaleToken && s.checksTokens && req.Header.Get(HeaderToken) < serverHighestToken {
		_, err := io.WriteString(c, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\nLacewingsaddle-Not-Run: stale-token\r\nLacewingsaddle-Request-Id: "+req.Header.Get(HeaderRequestID)+"\r\n\r\n")
		return err == nil
	}
	s.mu.Lock()
	s.ledger[req.Header.Get(headerTestOrder)]++
	overlapping := s.overlapping
	s.mu.Unlock()
	if overlapping {
		s.overlap.Done()
		s.overlap.Wait()
	}
	return s.answer(c, req, body, at)
}

func (s *faultServer) answer(c net.Conn, req *http.Request, body []byte, at faultPoint) bool {
	id := req.Header.Get(HeaderRequestID)
	text := "ran " + req.Header.Get(headerTestOrder) + " " + string(body)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(text))
	switch at {
	case pointLastByte:
		reset(c)
		return false
	case pointSilent:
		_, _ = io.Copy(io.Discard, c)
		return false
	case pointLate:
		<-s.callerAnswered
		defer close(s.lateWritten)
	case pointOtherID:
		id = "another"
	case pointUnframed:
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+HeaderRequestID+": "+id+"\r\n\r\n"+text)
		return false
	case pointMidAnswer:
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+length+HeaderRequestID+": "+id+"\r\n\r\n"+text[:4])
		return false
	}
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+length+HeaderRequestID+": "+id+"\r\n\r\n"+text)
	return err == nil
}

// requestCase is a class of requests, each tested with every fault point.
type requestCase struct {
	name   string
	method string
	path   string
	body   string
	header http.Header
	order  bool
}

var requestCases = []requestCase{
	{name: "lookup", method: http.MethodGet, path: "/stock/lookup/k"},
	{name: "order", method: http.MethodPost, path: "/stock/order/k", body: "wheelset", order: true},
	{name: "empty order", method: http.MethodPost, path: "/stock/order/k", order: true},
	{name: "order by DELETE", method: http.MethodDelete, path: "/stock/order/k", order: true},
	{name: "order by GET", method: http.MethodGet, path: "/stock/order/k", order: true},
	{
		name: "order with ids", method: http.MethodPost, path: "/stock/order/k", order: true,
		header: http.Header{"X-Idempotency-Key": {"7"}},
	},
	{name: "upload", method: http.MethodPut, path: "/stock/upload/k", body: strings.Repeat("scan", 1000), order: true},
}

// wantedOutcomes holds the outcome of an order by fault point. Lookups are
// answered after a retry unless the deadline passes.
var wantedOutcomes = map[faultPoint]fault.Outcome{
	pointNone:       fault.Answered,
	pointAccepted:   "", // any: the kernel may have taken the bytes before the reset
	pointMidHeaders: fault.Unknown,
	pointMidBody:    fault.Unknown,
	pointLastByte:   fault.Unknown,
	pointMidAnswer:  fault.Unknown,
	pointSilent:     fault.Unknown,
	pointLate:       fault.Unknown,
	pointOtherID:    fault.Unknown,
	pointUnframed:   fault.Unknown,
	pointSaidNotRun: fault.Answered, // by a retry
	pointStaleToken: fault.Answered, // by a retry
}

// wantedOutcome returns the outcome of an order of this class that fails at a point.
func (k requestCase) wantedOutcome(at faultPoint, checks bool) fault.Outcome {
	refused := at == pointSaidNotRun || (at == pointStaleToken && checks)
	if refused && k.name == "upload" {
		return fault.NotRun // a begun upload cannot be sent again
	}
	return wantedOutcomes[at]
}

var orderIDs atomic.Int64

// call sends one request through the router and returns its outcome and body.
func (k requestCase) call(t *testing.T, f *fixture, order string) (fault.Outcome, string) {
	t.Helper()
	req, err := http.NewRequest(k.method, f.http.URL+k.path, strings.NewReader(k.body))
	require.NoError(t, err)
	req.Header.Set(headerTestOrder, order)
	for name, values := range k.header {
		req.Header[name] = values
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return fault.Unknown, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fault.Unknown, ""
	}
	return fault.Outcome(resp.Header.Get(HeaderOutcome)), string(body)
}

func nextOrder() string { return fmt.Sprintf("order-%d", orderIDs.Add(1)) }

// checkOutcome compares the outcome that the caller got with the server's ledger
// of runs.
func (k requestCase) checkOutcome(t *testing.T, s *faultServer, at faultPoint, order string, outcome fault.Outcome, body string) {
	t.Helper()
	runs := s.runs(order)
	if k.order {
		require.LessOrEqual(t, runs, 1, "an order ran twice")
	}
	switch outcome {
	case fault.NotRun:
		require.Zero(t, runs, "the outcome is not-run, but the order ran")
	case fault.Answered:
		require.GreaterOrEqual(t, runs, 1, "answered, but the order did not run")
		require.Equal(t, "ran "+order+" "+k.body, body, "not the complete answer to this request")
	default:
		require.Equal(t, fault.Unknown, outcome)
	}
	if k.order && wantedOutcomes[at] != "" {
		require.Equal(t, k.wantedOutcome(at, s.checksTokens), outcome)
	}
	if !k.order && at != pointSilent && at != pointLate {
		require.Equal(t, fault.Answered, outcome, "a lookup is retried")
	}
}

func TestOutcomeByFaultPoint(t *testing.T) {
	for _, checks := range []bool{false, true} {
		for _, reused := range []bool{false, true} {
			for at := range wantedOutcomes {
				for _, k := range requestCases {
					if at == pointMidBody && k.body == "" {
						continue
					}
					name := fmt.Sprintf("%s/%s/reused=%v/checks=%v", at, k.name, reused, checks)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) { faultCase(t, k, at, reused, checks) })
					})
				}
			}
		}
	}
}

func faultCase(t *testing.T, k requestCase, at faultPoint, reused, checks bool) {
	network := pipenet.New()
	s := newFaultServerOn(t, network, checks)
	f := newFixture(t, fixtureOptions{addr: s.addr(), profile: testProfile(), echoes: true, network: network})
	if reused {
		first := nextOrder()
		outcome, body := k.call(t, f, first)
		k.checkOutcome(t, s, pointNone, first, outcome, body)
	}
	s.arm(at)
	order := nextOrder()
	outcome, body := k.call(t, f, order)
	k.checkOutcome(t, s, at, order, outcome, body)
	if at == pointLate {
		close(s.callerAnswered)
		<-s.lateWritten
	}
	after := nextOrder()
	outcome, body = k.call(t, f, after)
	k.checkOutcome(t, s, pointNone, after, outcome, body)
	if k.order {
		require.LessOrEqual(t, s.runs(order), 1, "an order ran twice")
	}
}

func TestNothingListens(t *testing.T) {
	s := newFaultServer(t, false)
	addr := s.addr()
	s.close()
	f := newFixture(t, fixtureOptions{addr: addr, profile: testProfile()})
	for _, k := range requestCases {
		outcome, _ := k.call(t, f, nextOrder())
		require.Equal(t, fault.NotRun, outcome, k.name)
	}
}
