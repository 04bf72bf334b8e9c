package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/internal/pipenet"
	"github.com/lacewingsaddle/lacewingsaddle/routetable"
)

const (
	// uploadTotal is the length of an upload that is passed on while it arrives.
	uploadTotal = 2 * maxBufferedBody
	// uploadArrived is how much of it arrives before its caller stalls.
	uploadArrived = maxBufferedBody + 64<<10
)

// uploadHead returns the head of an upload, and the start of its body.
func uploadHead(chunked bool) string {
	head := "POST /scan/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: r1\r\n"
	part := strings.Repeat("u", uploadArrived)
	if chunked {
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", uploadArrived, part)
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", uploadTotal, part)
}

// Guards against uploads without an answer: the answer to one whose caller had stalled was
// kept back, as net/http writes no response while the request's body is being read.
func TestAnswerReachesACallerThatStallsInAnUpload(t *testing.T) {
	const answerAfter = 100 * time.Millisecond
	early := func(status int, lines string) backendFunc {
		return func(conn net.Conn, req *http.Request) bool {
			var answer sync.WaitGroup
			answer.Go(func() {
				time.Sleep(answerAfter)
				reply(conn, req, status, lines, "")
			})
			_, _ = io.Copy(io.Discard, req.Body) // it reads on; the body breaks off
			answer.Wait()
			return false
		}
	}
	cases := []struct {
		name   string
		server backendFunc
		act    func(g *Gateway)
		want   int
	}{
		{"server refuses early", early(http.StatusServiceUnavailable, "X-Not-Run: 1\r\n"), nil, http.StatusServiceUnavailable},
		{"server fails early", early(http.StatusInternalServerError, "X-Signature: ok\r\n"), nil, http.StatusInternalServerError},
		{"server closes", func(net.Conn, *http.Request) bool { time.Sleep(answerAfter); return false }, nil, http.StatusBadGateway},
		{"time is over", hang, nil, http.StatusGatewayTimeout},
		{"the host gives it up", hang, func(g *Gateway) {
			g.Stop()
			g.RejectNew()
			g.CutOff()
		}, http.StatusGatewayTimeout},
	}
	for _, c := range cases {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/chunked=%t", c.name, chunked), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestGateway(t)
					defer b.close()
					b.servers["o1"], b.servers["o2"] = c.server, c.server
					limit := 3 * time.Second // beyond the route's timeout
					if c.act != nil {
						time.AfterFunc(50*time.Millisecond, func() { c.act(b.gateway) })
						limit = 100 * time.Millisecond
					}
					require.Equal(t, c.want, b.statusForStalled(t, uploadHead(chunked), limit))
					time.Sleep(2 * time.Minute) // the server's goroutines end
				})
			})
		}
	}
}

// Guards against refusals that callers don't get: before it writes the response to a request
// whose body is unread, net/http reads the rest of a short body.
func TestRefusalReachesACallerThatStallsInItsBody(t *testing.T) {
	const (
		smallLimit = 8 // bytes of a body
		part       = "0123456789"
	)
	heads := map[string]string{
		"no route":          "POST /nowhere/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: r1\r\n",
		"no host":           "POST /scan/1 HTTP/1.1\r\nHost: other.example\r\nX-Id: r1\r\n",
		"beyond the limit":  "POST /scan/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: r1\r\n",
		"keyed without key": "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: r1\r\n",
	}
	framings := map[string]string{
		"length": "Content-Length: 20\r\n\r\n" + part,
		"chunks": "Transfer-Encoding: chunked\r\n\r\na\r\n" + part + "\r\n",
	}
	for name, head := range heads {
		for framing, body := range framings {
			t.Run(name+"/"+framing, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestGateway(t)
					defer b.close()
					b.control.change(func(v *cluster.View) {
						routes := *v.Routes
						routes.Limits = routetable.Limits{BodyBytes: smallLimit}
						v.Routes = &routes
					})
					status := b.statusForStalled(t, head+body, 100*time.Millisecond)
					require.GreaterOrEqual(t, status, http.StatusBadRequest)
					require.Less(t, status, http.StatusInternalServerError)
					time.Sleep(2 * time.Minute) // the server's goroutines end
				})
			})
		}
	}
}

// statusForStalled sends text, the beginning of a request, to the gateway behind a real
// server, and nothing after it. It returns the status of the response, which must begin to
// arrive within limit.
func (b *testGateway) statusForStalled(t *testing.T, text string, limit time.Duration) int {
	network := pipenet.New()
	lis := network.Listen()
	server := &http.Server{Handler: b.gateway}
	go func() { _ = server.Serve(lis) }() // returns with Close
	defer server.Close()
	caller, err := network.Dial(t.Context(), "tcp", lis.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	go func() { _, _ = io.WriteString(caller, text) }() // the host may close first
	require.NoError(t, caller.SetReadDeadline(time.Now().Add(limit)))
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}
