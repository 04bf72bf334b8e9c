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

	"github.com/lacewingsaddle/lacewingsaddle/internal/pipenet"
)

// callerResponse is what a caller read from its connection.
type callerResponse struct {
	status   int
	body     string
	complete bool // the response ended as its protocol version demands
}

// callOverHTTP sends one request to the gateway over a connection of its own and reads
// the response as a caller of that protocol version would.
func callOverHTTP(t *testing.T, b *testGateway, path, version string) callerResponse {
	network := pipenet.New()
	lis := network.Listen()
	server := &http.Server{Handler: b.gateway}
	go func() { _ = server.Serve(lis) }() // returns when the listener is closed
	defer server.Close()
	conn, err := network.Dial(t.Context(), "tcp", lis.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: shop.example\r\nX-Id: a\r\nX-Key: 7\r\nX-Deadline: 3000\r\nContent-Length: 0\r\n\r\n", path, version)
	require.NoError(t, err)
	return readResponse(conn, http.MethodPost)
}

// readResponse reads the response to a request with the given method.
func readResponse(conn net.Conn, method string) callerResponse {
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return callerResponse{}
	}
	body, err := io.ReadAll(resp.Body)
	// A response of HTTP/1.0 without a length ends with its connection, whole or not.
	return callerResponse{resp.StatusCode, string(body), err == nil}
}

// truncation is a response that a server breaks off.
type truncation struct {
	name string
	text string // ID stands for the request's id, LONG for more than is buffered
}

func truncations() []truncation {
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: ok\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	return []truncation{
		{"before the head", ""},
		{"in the status line", "HTTP/1.1 20"},
		{"in a header line", head + "Content-Le"},
		{"after the header lines", head + "Content-Length: 3\r\n"},
		{"before the body", head + "Content-Length: 3\r\n\r\n"},
		{"in the body", head + "Content-Length: 3\r\n\r\nab"},
		{"in a long body", head + "Content-Length: 99999999\r\n\r\nLONG"},
		{"before the first chunk", chunked},
		{"in a chunk's size", chunked + "1"},
		{"after a chunk's size", chunked + "3\r\n"},
		{"in a chunk", chunked + "3\r\nab"},
		{"after a chunk", chunked + "3\r\nabc\r\n"},
		{"before the last chunk's end", chunked + "3\r\nabc\r\n0\r\n"},
		{"in the trailer", chunked + "3\r\nabc\r\n0\r\nA: b\r\n"},
		{"in a long chunk", chunked + "ffffff\r\nLONG"},
		{"after a long chunk", chunked + "1000ff\r\nLONG\r\n"},
	}
}

// longBody has more bytes than a response buffers: the first of them are passed on
// before the response breaks off.
var longBody = strings.Repeat("x", 0x1000ff)

// A response that breaks off never reaches the caller as a complete success, whatever
// was read of it and whichever protocol version the caller speaks.
func TestTruncatedResponseIsNeverComplete(t *testing.T) {
	for _, version := range []string{"1.1", "1.0"} {
		for _, c := range truncations() {
			for _, path := range []string{"/look/1", "/book/1", "/order/1"} {
				t.Run(version+"/"+c.name+path, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testTruncation(t, c, path, version) })
				})
			}
		}
	}
}

func testTruncation(t *testing.T, c truncation, path, version string) {
	b := newTestGateway(t)
	defer b.close()
	cut := func(conn net.Conn, req *http.Request) bool {
		_, _ = io.Copy(io.Discard, req.Body) // the gateway's write must not block
		b.recordRun(req)
		text := strings.ReplaceAll(strings.ReplaceAll(c.text, "ID", req.Header.Get("X-Id")), "LONG", longBody)
		_, _ = io.WriteString(conn, text) // the connection is closed anyway
		return false
	}
	for _, id := range []string{"s1", "o1", "o2"} {
		b.servers[id] = cut
	}
	got := callOverHTTP(t, b, path, version)
	if got.complete {
		require.Equal(t, http.StatusBadGateway, got.status)
	}
	if path != "/look/1" {
		require.LessOrEqual(t, b.runCount("a"), 1)
	}
}

// The same answers arrive whole when the server does not break off.
func TestWholeResponseIsComplete(t *testing.T) {
	for _, version := range []string{"1.1", "1.0"} {
		for _, body := range []string{"", "abc", longBody} {
			t.Run(fmt.Sprintf("%s/%d bytes", version, len(body)), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestGateway(t)
					defer b.close()
					b.servers["s1"] = func(conn net.Conn, req *http.Request) bool {
						return reply(conn, req, 200, "X-Signature: ok\r\n", body)
					}
					got := callOverHTTP(t, b, "/look/1", version)
					require.Equal(t, callerResponse{200, body, true}, got)
				})
			})
		}
	}
}

// A server sends "not run" for an order a second time while the retry of that order
// runs: the caller is not told that the order did not run, and it runs once.
func TestSecondCopyOfNotRunBehindARetry(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		attempts := 0
		b.servers["s1"] = func(conn net.Conn, req *http.Request) bool {
			_, _ = io.Copy(io.Discard, req.Body) // the gateway's write must not block
			if attempts++; attempts == 1 {
				go func() {
					time.Sleep(overloadBackoff + 20*time.Millisecond)
					reply(conn, req, 503, "X-Not-Run: 1\r\n", "") // the second copy
				}()
				return reply(conn, req, 503, "X-Not-Run: 1\r\n", "")
			}
			b.recordRun(req)
			time.Sleep(100 * time.Millisecond)
			return reply(conn, req, 200, "X-Signature: ok\r\n", "done")
		}
		w := b.send("POST", "/book/1", "a", "x")
		require.Equal(t, 200, w.Code)
		require.Equal(t, 1, b.runCount("a"))
	})
}
