package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// endless is a server that sends a start and then a piece again and again until the
// connection is closed.
type endless struct{ start, piece string }

func (e endless) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		req, err := http.ReadRequest(bufio.NewReader(far))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // a short body; what follows does not depend on it
		block := []byte(strings.Repeat(e.piece, 1+(16<<10)/len(e.piece)))
		for _, err = io.WriteString(far, e.start); err == nil; {
			_, err = far.Write(block)
		}
	}()
	return near, nil
}

// endlessHeads lists the heads that never end and are of the protocol as far as they
// have been sent.
var endlessHeads = map[string]endless{
	"status line":             {"HTTP/1.1 200 ", "OK"},
	"header line":             {okHead + "A: ", "b"},
	"header lines":            {okHead, "A: b\r\n"},
	"short header lines":      {okHead, "a:\n"},
	"continued header line":   {okHead + "A: b\r\n", " c\r\n"},
	"informational responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"early hints":             {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	"stray head":              {"HTTP/1.1 200 OK\r\nX-Id: b\r\n", "A: b\r\n"},
	"stray body":              {"HTTP/1.1 200 OK\r\nX-Id: b\r\n\r\n", "x"},
	"stray chunks":            {"HTTP/1.1 200 OK\r\nX-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
}

// A head without an end, and whatever precedes the response without an end, ends the
// exchange at once and closes the connection. A server in trouble may send so until
// the caller closes.
func TestEndlessHeads(t *testing.T) {
	for name, server := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewServer("x", 4, server.dial, NewBuffers(testBufferBytes))
				start := time.Now()
				_, err := s.Do(t.Context(), request("a"))
				require.Equal(t, fault.AnswerTooLarge, fault.KindOf(err), "%v", err)
				require.Less(t, time.Since(start), 10*time.Millisecond)
				require.Zero(t, s.open)
			})
		})
	}
}

// Bytes that are no response are rejected at the first line, however many follow.
func TestEndlessBytesOfNoProtocol(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewServer("x", 4, endless{"garbage\r\n", "x"}.dial, NewBuffers(testBufferBytes))
		_, err := s.Do(t.Context(), request("a"))
		require.Equal(t, fault.AnswerCut, fault.KindOf(err))
		require.Zero(t, s.open)
	})
}

// endlessBodies lists the bodies that never end.
var endlessBodies = map[string]endless{
	"until the connection ends": {okHead + "\r\n", "x"},
	"in chunks":                 {okHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
}

// A body without an end is streamed up to a limit and then ends with an error, which
// the caller sees as a truncated response.
func TestEndlessBodies(t *testing.T) {
	for name, server := range endlessBodies {
		t.Run(name, func(t *testing.T) {
			s := NewServer("x", 4, server.dial, NewBuffers(testBufferBytes))
			r := request("a")
			r.Deadline = time.Now().Add(time.Hour)
			a, err := s.Do(t.Context(), r)
			require.NoError(t, err)
			n, err := io.Copy(io.Discard, a.Rest)
			require.Equal(t, fault.AnswerTooLarge, fault.KindOf(err))
			require.Equal(t, int64(maxBodyBytes-maxBuffered), n)
			a.Close()
			require.Zero(t, s.open)
			require.Equal(t, int64(testBufferBytes), s.buffers.left.Load())
		})
	}
}

// A body whose declared length exceeds the limit is rejected before it is read.
func TestDeclaredLengthBeyondLimit(t *testing.T) {
	withScript(t, []string{okHead + "Content-Length: 9223372036854775807\r\n\r\nx"}, func(t *testing.T, s *Server, _ *scriptedServer) {
		_, err := s.Do(t.Context(), request("a"))
		require.Equal(t, fault.AnswerTooLarge, fault.KindOf(err))
	})
}

// Bounds of TestMemoryWithEndlessServers: the heap that may be added by endlessServers
// responses at once on a host of 184 MB.
const (
	endlessServers   = 100
	maxHeapGrowth    = 64 << 20
	smallHostBuffers = 18 << 20
)

// However many servers send without an end at the same time, the responses in progress
// stay within the host's share of memory.
func TestMemoryWithEndlessServers(t *testing.T) {
	all := map[string]endless{}
	for name, v := range endlessHeads {
		all[name] = v
	}
	for name, v := range endlessBodies {
		all[name] = v
	}
	for name, server := range all {
		t.Run(name, func(t *testing.T) {
			buffers := NewBuffers(smallHostBuffers)
			before := heapInUse()
			var responses [endlessServers]*Response
			var done sync.WaitGroup
			for i := range responses {
				done.Add(1)
				go func() {
					defer done.Done()
					s := NewServer("x", 1, server.dial, buffers)
					r := request("a")
					r.Deadline = time.Now().Add(time.Hour)
					responses[i], _ = s.Do(t.Context(), r) // a rejected response is one of the cases
				}()
			}
			done.Wait()
			grown := heapInUse() - before
			for _, a := range responses {
				if a != nil {
					a.Close()
				}
			}
			require.Less(t, grown, int64(maxHeapGrowth))
			require.Equal(t, int64(smallHostBuffers), buffers.left.Load())
		})
	}
}

// heapInUse returns the bytes of reachable objects.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Without room for its body a response is streamed whole.
func TestStreamedWithoutRoom(t *testing.T) {
	body := strings.Repeat("x", unreservedBytes+1000)
	text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", okHead, len(body), body)
	withScript(t, []string{text}, func(t *testing.T, s *Server, _ *scriptedServer) {
		s.buffers = NewBuffers(10)
		a, err := s.Do(t.Context(), request("a"))
		require.NoError(t, err)
		require.Len(t, a.Body, unreservedBytes)
		rest, err := io.ReadAll(a.Rest)
		require.NoError(t, err)
		require.Equal(t, body, string(a.Body)+string(rest))
		a.Close()
		require.Equal(t, int64(10), s.buffers.left.Load())
		require.Len(t, s.idle, 1)
	})
}

// manualServer hands the far ends of its connections to the test, which reads requests
// and writes bytes at the moments of its choice.
type manualServer struct{ conns chan *manualConn }

type manualConn struct {
	net.Conn
	reader *bufio.Reader
}

func (m *manualServer) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	m.conns <- &manualConn{far, bufio.NewReader(far)}
	return near, nil
}

// receive reads one request with its body. It returns an error if the caller closed the
// connection.
func (c *manualConn) receive() error {
	req, err := http.ReadRequest(c.reader)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err
}

// answer returns a response that says which request it is for.
func answer(status, id, extra, body string) string {
	head := "HTTP/1.1 " + status + "\r\n"
	if id != "" {
		head += "X-Id: " + id + "\r\n"
	}
	return head + extra + "\r\n" + body
}

// copies lists what a server may send a second time on a connection that is in use
// again. Each belongs to the earlier request "a".
var copies = map[string]string{
	"success with id":            answer("200 OK", "a", "Content-Length: 2\r\n", "aa"),
	"success with id, in chunks": answer("200 OK", "a", "Transfer-Encoding: chunked\r\n", "2\r\naa\r\n0\r\n\r\n"),
	"success without id":         answer("200 OK", "", "Content-Length: 2\r\n", "aa"),
	"error with id":              answer("503 X", "a", "X-Not-Run: 1\r\nContent-Length: 0\r\n", ""),
	"error without id":           answer("503 X", "", "X-Not-Run: 1\r\nContent-Length: 0\r\n", ""),
	"error without id, chunked":  answer("500 X", "", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"),
	"no content":                 answer("204 No Content", "a", "", ""),
	"not modified":               answer("304 Not Modified", "", "", ""),
	"interim and success":        "HTTP/1.1 103 Early Hints\r\n\r\n" + answer("200 OK", "a", "Content-Length: 2\r\n", "aa"),
	"body bytes alone":           "aa",
}

// A second copy of the response to an earlier request, whenever it comes on a reused
// connection, is never taken for the response to the next request: that one gets its
// own response, or an error that leaves open whether it ran.
func TestSecondCopies(t *testing.T) {
	moments := []string{"before the request", "between its head and body", "after it"}
	for name, copied := range copies {
		for _, moment := range moments {
			for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodHead} {
				t.Run(name+"/"+moment+"/"+method, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testSecondCopy(t, copied, moment, method) })
				})
			}
		}
	}
}

func testSecondCopy(t *testing.T, copied, moment, method string) {
	m := &manualServer{conns: make(chan *manualConn, 4)}
	s := NewServer("x", 4, m.dial, NewBuffers(testBufferBytes))
	defer s.Close()
	go func() {
		c := <-m.conns
		defer c.Close()
		if c.receive() != nil {
			return
		}
		_, _ = io.WriteString(c, answer("200 OK", "a", "Content-Length: 2\r\n", "aa"))
		switch moment {
		case "before the request":
			_, _ = io.WriteString(c, copied)
			if c.receive() != nil {
				return
			}
		case "between its head and body":
			if _, err := http.ReadRequest(c.reader); err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c.reader) }()
			_, _ = io.WriteString(c, copied)
		default:
			if c.receive() != nil {
				return
			}
			_, _ = io.WriteString(c, copied)
		}
		body := "bb"
		if method == http.MethodHead {
			body = ""
		}
		_, _ = io.WriteString(c, answer("200 OK", "b", "Content-Length: 2\r\n", body)) // the caller may have closed
	}()
	a, err := s.Do(t.Context(), request("a"))
	require.NoError(t, err)
	a.Close()
	r := request("b")
	r.Method = method
	if method != http.MethodPost {
		r.Body, r.Length = nil, 0
	}
	b, err := s.Do(t.Context(), r)
	if err != nil {
		require.Contains(t, []fault.Kind{fault.AnswerMismatch, fault.AnswerCut, fault.Timeout, fault.SendFailed, fault.NotSent}, fault.KindOf(err))
		return
	}
	defer b.Close()
	require.Equal(t, "b", b.Header.Get("X-Id"))
	require.Equal(t, http.StatusOK, b.Status)
	if method != http.MethodHead {
		require.Equal(t, "bb", string(b.Body))
	}
}

// A retry with the same id is not sent on the connection of the earlier attempt: a
// second copy of "not run" would be taken for the response to the retry, which runs.
func TestRetryUsesAnotherConnection(t *testing.T) {
	shed := answer("503 X", "a", "X-Not-Run: 1\r\nContent-Length: 0\r\n", "")
	ok := answer("200 OK", "a", "Content-Length: 0\r\n", "")
	withScript(t, []string{shed, ok, ok}, func(t *testing.T, s *Server, sc *scriptedServer) {
		r := request("a")
		r.Attempts = &Attempts{}
		_, err := s.Do(t.Context(), r)
		require.NoError(t, err)
		_, err = s.Do(t.Context(), r)
		require.NoError(t, err)
		require.Equal(t, int64(2), sc.dials.Load())
		_, err = s.Do(t.Context(), request("b"))
		require.Error(t, err, "the script answers for another id")
		require.Equal(t, int64(2), sc.dials.Load(), "other requests reuse both connections")
	})
}

// A response to HEAD has the length of a body that is not sent, and its connection is
// not reused.
func TestHead(t *testing.T) {
	withScript(t, []string{okHead + "Content-Length: 9\r\n\r\n"}, func(t *testing.T, s *Server, _ *scriptedServer) {
		r := request("a")
		r.Method, r.Body, r.Length = http.MethodHead, nil, 0
		a, err := s.Do(t.Context(), r)
		require.NoError(t, err)
		require.Equal(t, int64(9), a.Length)
		require.Empty(t, a.Body)
		require.Zero(t, s.open)
	})
}
