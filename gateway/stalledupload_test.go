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

	"github.com/lacewingsaddle/lacewingsaddle/internal/pipenet"
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
					network := pipenet.New()
					lis := network.Listen()
					server := &http.Server{Handler: b.gateway}
					go func() { _ = server.Serve(lis) }() // returns with Close
					defer server.Close()
					caller, err := network.Dial(t.Context(), "tcp", lis.Addr().String())
					require.NoError(t, err)
					defer caller.Close()
					go func() { _, _ = io.WriteString(caller, uploadHead(chunked)) }() // the host may close first
					time.Sleep(50 * time.Millisecond)
					limit := 3 * time.Second // beyond the route's timeout
					if c.act != nil {
						c.act(b.gateway)
						limit = 50 * time.Millisecond
					}
					require.NoError(t, caller.SetReadDeadline(time.Now().Add(limit)))
					resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
					require.NoError(t, err)
					defer resp.Body.Close()
					require.Equal(t, c.want, resp.StatusCode)
					time.Sleep(2 * time.Minute) // the server's goroutines end
				})
			})
		}
	}
}
