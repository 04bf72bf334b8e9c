package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
)

// loss is how the response to a request that has run is lost.
type loss struct {
	name  string
	sent  string // the bytes of the response that arrive
	reset bool   // the connection is reset, not closed
	// early is set if the server runs the request when it has read its head, and reads no
	// more.
	early  bool
	silent bool // the connection stays open
}

const lostHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: ok\r\n"

var losses = []loss{
	{name: "closed without a byte"},
	{name: "reset without a byte", reset: true},
	{name: "closed in the head", sent: "HTTP/1.1 200 OK\r\nX-I"},
	{name: "reset in the head", sent: "HTTP/1.1 200 OK\r\nX-I", reset: true},
	{name: "closed in the body", sent: lostHead + "Content-Length: 12\r\n\r\nhello"},
	{name: "closed in a chunk", sent: lostHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel"},
	{name: "after an interim response", sent: "HTTP/1.1 103 X\r\n\r\n"},
	{name: "closed before the body was read", early: true},
	{name: "reset before the body was read", early: true, reset: true},
	{name: "silent", silent: true},
	{name: "silent in the head", sent: "HTTP/1.1 200 OK\r\n", silent: true},
}

// lostBody is the body of a request.
type lostBody struct {
	bytes   int
	chunked bool
}

var lostBodies = []lostBody{
	{0, false},
	{4, false},
	{4, true},
	{6 << 10, false}, // written with its head, and read in parts
	{20 << 10, false},
	{20 << 10, true},
	{maxBufferedBody + 5, false},
	{maxBufferedBody + 5, true},
}

// lossServer serves all backend servers. It answers requests with the id "warm", runs the
// others, and loses the responses to their first attempts.
type lossServer struct {
	b     *testGateway
	loss  loss
	times int // attempts whose response is lost
}

func (s *lossServer) serve(lis net.Listener) {
	for {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *lossServer) serveConn(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil || !s.answer(conn, req) {
			return
		}
	}
}

func (s *lossServer) answer(conn net.Conn, req *http.Request) bool {
	id := req.Header.Get("X-Id")
	if id == "warm" || s.b.runCount(id) >= s.times {
		return s.b.echo(conn, req)
	}
	if !s.loss.early {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
	}
	s.b.recordRun(req)
	if s.loss.sent != "" {
		_, _ = io.WriteString(conn, s.loss.sent) // the gateway may have closed the connection
	}
	if s.loss.silent {
		_, _ = io.Copy(io.Discard, conn) // until the gateway closes the connection
	}
	if linger, ok := conn.(interface{ SetLinger(sec int) error }); ok && s.loss.reset {
		_ = linger.SetLinger(0) // the connection has ended already
	}
	return false
}

// lossRow is one request whose responses are lost.
type lossRow struct {
	path  string
	body  lostBody
	loss  loss
	kept  bool // the connection to the server was used before
	times int  // attempts whose response is lost
}

func (r lossRow) String() string {
	return fmt.Sprintf("%s, %d bytes, chunked %t, %s, kept %t, %d lost", r.path, r.body.bytes, r.body.chunked, r.loss.name, r.kept, r.times)
}

func (r lossRow) idempotent() bool { return r.path == "/look/1" || r.path == "/list/1" }

func (r lossRow) streamed() bool { return r.body.bytes > maxBufferedBody }

// play sends the row's request through a gateway. It returns what its caller got and how
// often it ran.
func (r lossRow) play(t *testing.T) (got callerResponse, runs int) {
	b := newTestGateway(t)
	defer b.close()
	network := inMemory()
	servers, callers := network.listen(), network.listen()
	defer servers.Close()
	go (&lossServer{b, r.loss, r.times}).serve(servers)
	cfg := b.gateway.cfg
	cfg.Dial = network.dial
	b.gateway = New(cfg, b.control, zap.NewNop())
	b.control.change(func(v *cluster.View) {
		list := append([]directory.Server(nil), v.Servers.Servers...)
		for i := range list {
			list[i].Address = servers.Addr().String()
		}
		v.Servers = &directory.Snapshot{Servers: list}
	})
	edge := &http.Server{Handler: b.gateway}
	go func() { _ = edge.Serve(callers) }() // returns when the listener is closed
	defer edge.Close()
	if r.kept {
		for range 8 { // each server of the path has a connection
			require.Equal(t, http.StatusOK, b.send(http.MethodPost, r.path, "warm", "").Code)
		}
	}
	conn, err := network.dial(t.Context(), "tcp", callers.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	go r.write(conn)
	got = readResponse(conn, http.MethodPost)
	require.NoError(t, conn.Close())
	time.Sleep(time.Minute) // the server's goroutines end
	return got, b.runCount("a")
}

func (r lossRow) write(conn net.Conn) {
	body := strings.Repeat("z", r.body.bytes)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	if r.body.chunked {
		length = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	// the gateway may answer before it has read all
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Id: a\r\nX-Key: 7\r\nX-Deadline: 3000\r\n%s", r.path, length)
}

// check checks what the caller was told.
func (r lossRow) check(t *testing.T, got callerResponse, runs int) {
	require.True(t, got.complete, "%v", r)
	if !r.idempotent() || r.streamed() {
		require.Equal(t, 1, runs, "%v", r)
	}
	switch {
	case r.loss.silent:
		require.Equal(t, http.StatusGatewayTimeout, got.status, "%v", r)
	case r.idempotent() && !r.streamed() && r.times == 1:
		require.Equal(t, http.StatusOK, got.status, "%v", r)
		require.Equal(t, 2, runs, "%v", r)
	default:
		require.Equal(t, http.StatusBadGateway, got.status, "%v", r)
		require.LessOrEqual(t, runs, maxSends, "%v", r)
	}
}

// A request that has run and whose response is lost is never told to be "not run", and runs
// again only if it is idempotent and its body is at hand, for each kind of request and of
// body, on new connections and on used ones.
//
// Once a byte of a request is written, no error but a refusal that names the request proves
// that it did not run; a body that is streamed can't be sent again.
func TestLostResponses(t *testing.T) {
	for _, path := range []string{"/look/1", "/book/1", "/list/1", "/order/1", "/scan/1"} {
		for _, body := range lostBodies {
			t.Run(fmt.Sprintf("%s/%d bytes/chunked %t", path[1:], body.bytes, body.chunked), func(t *testing.T) {
				t.Parallel()
				for _, l := range losses {
					for _, kept := range []bool{false, true} {
						for _, times := range []int{1, maxSends + 1} {
							r := lossRow{path, body, l, kept, times}
							var got callerResponse
							var runs int
							synctest.Test(t, func(t *testing.T) { got, runs = r.play(t) })
							r.check(t, got, runs)
						}
					}
				}
			})
		}
	}
}
