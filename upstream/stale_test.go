package upstream

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// unknownOutcomes lists the kinds of errors that leave open whether a request ran.
var unknownOutcomes = []fault.Kind{fault.SendFailed, fault.AnswerCut, fault.AnswerMismatch, fault.AnswerTooLarge, fault.Timeout}

// staleHeads lists heads of an earlier refusal, with the line that names its request at
// every place.
var staleHeads = map[string]string{
	"id first":    "HTTP/1.1 503 Service Unavailable\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"id last":     "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nRetry-After: 0.5\r\nContent-Length: 0\r\nX-Id: a\r\n\r\n",
	"no id":       "HTTP/1.1 429 Too Many Requests\r\nX-Not-Run: 1\r\nA: b c\r\nContent-Length: 2\r\n\r\nno",
	"no header":   "HTTP/1.1 421 Misdirected Request\r\n\r\n",
	"chunked":     "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\nX-Id: a\r\n\r\n2\r\nno\r\n0\r\nT: v\r\n\r\n",
	"success":     "HTTP/1.1 200 All Is Well\r\nServer: x y\r\nX-Signature: a\r\nX-Id: a\r\nContent-Length: 2\r\n\r\naa",
	"early hints": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Id: a\r\n\r\n",
	"old version": "HTTP/1.0 503 X\r\nX-Not-Run: 1\r\nX-Id: a\r\n\r\n",
}

// ownResponse is the response to the request that follows.
type ownResponse struct {
	text   string
	status int
	body   string
}

var ownResponses = map[string]ownResponse{
	"success": {"HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 2\r\n\r\nbb", 200, "bb"},
	"chunked": {"HTTP/1.1 200 OK\r\nX-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbb\r\n0\r\n\r\n", 200, "bb"},
	"failure": {"HTTP/1.1 500\r\nX-Id: b\r\nContent-Length: 2\r\n\r\nbb", 500, "bb"},
	"empty":   {"HTTP/1.0 204 No Content\r\nX-Id: b\r\n\r\n", 204, ""},
}

// An earlier refusal that is written once more and cut off after any byte swallows the
// start of the next response: the two together are never taken for one response, which
// would be "not run" with the id of a request that ran.
func TestCutCopyBeforeAResponse(t *testing.T) {
	for name, stale := range staleHeads {
		for kind, own := range ownResponses {
			for _, kept := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/kept=%t", name, kind, kept), func(t *testing.T) {
					for n := 1; n <= len(stale); n++ {
						synctest.Test(t, func(t *testing.T) { testCutCopy(t, stale[:n], own, kept) })
					}
				})
			}
		}
	}
}

func testCutCopy(t *testing.T, stale string, own ownResponse, kept bool) {
	answers := []string{stale + own.text}
	if kept {
		answers = []string{okHead + "Content-Length: 0\r\n\r\n", stale + own.text}
	}
	sc := &scriptedServer{answers: answers}
	s := NewServer("x", 4, sc.dial, NewBuffers(testBufferBytes))
	defer s.Close()
	if kept {
		a, err := s.Do(t.Context(), request("a"))
		require.NoError(t, err)
		a.Close()
	}
	r := request("b")
	r.Method, r.Body, r.Length = http.MethodGet, nil, 0
	b, err := s.Do(t.Context(), r)
	if err != nil {
		require.Contains(t, unknownOutcomes, fault.KindOf(err), "%q", stale)
		return
	}
	defer b.Close()
	if b.Header.Get("X-Id") == "" {
		require.False(t, kept)
		require.True(t, strings.HasPrefix(stale+own.text, fmt.Sprintf("HTTP/1.1 %d ", b.Status)), "%q", stale)
		return // on a new connection an error without an id is the request's own
	}
	require.Equal(t, own.status, b.Status, "%q", stale)
	require.Equal(t, own.body, string(b.Body), "%q", stale)
	require.Empty(t, b.Header.Get("X-Not-Run"), "%q", stale)
}

// insertedCopies lists whole responses to an earlier request.
var insertedCopies = []string{
	"HTTP/1.1 503 X\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno",
	"HTTP/1.1 421 X\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"HTTP/1.0 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\naa",
}

// A copy that is written between any two bytes of a response is not taken for a part of
// it. What it pushes out of the body follows the body, which shows where the copy was
// written into a body of known length.
func TestCopyWithinAResponse(t *testing.T) {
	long := strings.Repeat("long body ", 20)
	own := maps.Clone(ownResponses)
	own["long"] = ownResponse{fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: %d\r\n\r\n%s", len(long), long), 200, long}
	for name, response := range own {
		for i, copied := range insertedCopies {
			for _, kept := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%d/kept=%t", name, i, kept), func(t *testing.T) {
					for n := range len(response.text) {
						synctest.Test(t, func(t *testing.T) { testCopyWithin(t, copied, n, response, kept) })
					}
				})
			}
		}
	}
}

func testCopyWithin(t *testing.T, copied string, n int, own ownResponse, kept bool) {
	whole := own
	whole.text = own.text[:n] + copied + own.text[n:]
	testCutCopy(t, "", whole, kept)
}

// Bytes behind a body that mentions a response are no reason to reject it.
func TestBytesBehindABody(t *testing.T) {
	for body, ok := range map[string]bool{
		"hello":                    true,
		"see HTTP/1.1":             true,
		"a HTTP/1.1 200 OK":        false, // may as well be a copy that was written into the body
		"more text behind HTTP/1.": true,
	} {
		for _, behind := range []string{"", "!", "HTTP/1.1 503 X\r\n\r\n"} {
			t.Run(body+"/"+behind, func(t *testing.T) {
				text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s%s", okHead, len(body), body, behind)
				withScript(t, []string{text}, func(t *testing.T, s *Server, _ *scriptedServer) {
					a, err := s.Do(t.Context(), request("a"))
					if !ok && behind != "" {
						require.Equal(t, fault.AnswerMismatch, fault.KindOf(err))
						return
					}
					require.NoError(t, err)
					require.Equal(t, body, string(a.Body))
				})
			})
		}
	}
}

// A copy that has arrived on an idle TCP connection is seen before the next request is
// written: that one goes on a new connection, however little of the copy there is.
func TestBytesOnAnIdleConnection(t *testing.T) {
	for _, n := range []int{1, 20, len(staleHeads["no id"])} {
		t.Run(fmt.Sprint(n), func(t *testing.T) { testBytesOnIdle(t, staleHeads["no id"][:n]) })
	}
}

func testBytesOnIdle(t *testing.T, copied string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	answered := make(chan struct{})
	go func() {
		for _, id := range []string{"a", "b"} {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			c := &manualConn{conn, bufio.NewReader(conn)}
			if c.receive() != nil {
				return
			}
			_, _ = io.WriteString(c, answer("200 OK", id, "Content-Length: 0\r\n", "")) // the test sees what is missing
			if id == "a" {
				<-answered
				_, _ = io.WriteString(c, copied) // the same
			}
		}
	}()
	s := NewServer(lis.Addr().String(), 4, nil, NewBuffers(testBufferBytes))
	defer s.Close()
	do := func(id string) *Response {
		r := request(id)
		r.Deadline = time.Now().Add(time.Minute)
		a, err := s.Do(t.Context(), r)
		require.NoError(t, err)
		return a
	}
	do("a").Close()
	require.Len(t, s.idle, 1)
	close(answered)
	require.Eventually(t, func() bool { return !s.idle[0].reusable() }, time.Minute, time.Millisecond)
	b := do("b")
	defer b.Close()
	require.Equal(t, "b", b.Header.Get("X-Id"))
}
