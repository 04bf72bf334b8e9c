package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// framing is a response and what is read of it when it arrives whole.
type framing struct {
	name       string
	method     string
	text       string
	body       string
	untilClose int // the bytes from which on a regular end of the connection ends the response; 0 if none
}

const ownHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: ok\r\n"

func framings() []framing {
	chunks := "5;x=y\r\nhello\r\n10\r\n, this is a body\r\n0\r\n"
	return []framing{
		{"by length", "POST", ownHead + "Content-Length: 12\r\n\r\nhello, world", "hello, world", 0},
		{"length first", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: a\r\n\r\nhello, world", "hello, world", 0},
		{"empty", "POST", ownHead + "Content-Length: 0\r\n\r\n", "", 0},
		{"in chunks", "POST", ownHead + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n", "hello, this is a body", 0},
		{"with a trailer", "GET", ownHead + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n" + chunks + "T: v\r\n\r\n", "hello, this is a body", 0},
		{"until the connection ends", "POST", ownHead + "\r\nhello, world", "hello, world", len(ownHead) + 2},
		{"of HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\nhello, world", "hello, world", len("HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\n")},
		{"to HEAD", "HEAD", ownHead + "Content-Length: 12\r\n\r\n", "", 0},
		{"to HEAD in chunks", "HEAD", ownHead + "Transfer-Encoding: chunked\r\n\r\n", "", 0},
		{"no content", "POST", "HTTP/1.1 204 No Content\r\nX-Id: a\r\n\r\n", "", 0},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nX-Id: a\r\nContent-Length: 12\r\n\r\n", "", 0},
		{"after informational ones", "POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Id: a\r\nLink: </a>\r\n\r\n" + ownHead + "Content-Length: 5\r\n\r\nhello", "hello", 0},
		{"after one to another request", "GET", "HTTP/1.1 503 X\r\nX-Id: b\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno" + ownHead + "Content-Length: 5\r\n\r\nhello", "hello", 0},
		{"a refusal", "POST", "HTTP/1.1 503 X\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno", "no", 0},
	}
}

// cutServer sends the start of a response to each request and closes the connection.
type cutServer struct {
	text  string
	reset bool // it closes with a reset
}

func (s cutServer) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		c := &manualConn{far, bufio.NewReader(far)}
		defer c.Close()
		if c.receive() == nil {
			_, _ = io.WriteString(c, s.text) // a client that has read enough may have closed
		}
	}()
	if s.reset {
		return resetConn{near}, nil
	}
	return near, nil
}

// resetConn reports the end of the connection as a reset.
type resetConn struct{ net.Conn }

func (c resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = syscall.ECONNRESET
	}
	return n, err
}

// A response whose server closes or resets the connection after any byte of it is never
// returned as a complete one, and the error leaves open whether the request ran.
// http.ReadResponse needs the empty line that ends a head: a head that ends with the
// connection is an error, also where its last line is parsed as far as it was sent.
func TestResponseCutAfterAnyByte(t *testing.T) {
	for _, f := range framings() {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset=%t", f.name, reset), func(t *testing.T) {
				for n := 0; n <= len(f.text); n++ {
					synctest.Test(t, func(t *testing.T) { testCut(t, f, n, reset) })
				}
			})
		}
	}
}

func testCut(t *testing.T, f framing, n int, reset bool) {
	s := NewServer("x", 4, cutServer{f.text[:n], reset}.dial, NewBuffers(testBufferBytes))
	defer s.Close()
	r := request("a")
	r.Method = f.method
	if f.method != http.MethodPost {
		r.Body, r.Length = nil, 0
	}
	a, err := s.Do(t.Context(), r)
	whole := n == len(f.text) && (f.untilClose == 0 || !reset)
	if !whole && (f.untilClose == 0 || n < f.untilClose || reset) {
		require.Equal(t, fault.AnswerCut, fault.KindOf(err), "%q", f.text[:n])
		return
	}
	require.NoError(t, err, "%q", f.text[:n])
	defer a.Close()
	require.Nil(t, a.Rest)
	if whole {
		require.Equal(t, f.body, string(a.Body))
		return
	}
	require.Equal(t, f.text[f.untilClose:n], string(a.Body), "the end of the connection ends it")
}

// uploadConn is a connection on which the second write, that of the request body, ends as
// the test says. Its reads find the end of the connection after the response.
type uploadConn struct {
	net.Conn
	response  io.Reader
	writes    int
	writeBody func(c *uploadConn) error
	written   chan struct{} // closed when the write of the body has ended
	closed    chan struct{}
	close     func()
}

func (c *uploadConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		return len(p), nil // the head
	}
	defer close(c.written)
	if err := c.writeBody(c); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *uploadConn) Read(p []byte) (int, error) { return c.response.Read(p) }

func (c *uploadConn) Close() error {
	c.close()
	return nil
}

// afterWrite ends a body when the write of the request body has ended.
type afterWrite struct{ written chan struct{} }

func (a afterWrite) Read([]byte) (int, error) {
	<-a.written
	return 0, io.EOF
}

// A response that ends with its connection is not taken for a whole one if the connection
// ended while the request body was being written. The system reports a reset once: if the
// write has got it, the read finds a regular end.
func TestResetSeenByTheWriteOfTheBody(t *testing.T) {
	written := func(*uploadConn) error { return nil }
	reset := func(*uploadConn) error { return syscall.ECONNRESET }
	blocked := func(c *uploadConn) error {
		<-c.closed
		return net.ErrClosed
	}
	for _, size := range []int{2, maxBuffered + 10} {
		for _, c := range []struct {
			name      string
			writeBody func(c *uploadConn) error
			whole     bool
		}{{"written", written, true}, {"reset", reset, false}, {"blocked", blocked, false}} {
			t.Run(fmt.Sprintf("%s/%d bytes", c.name, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					err := readUntilClose(t, c.writeBody, size, c.name != "blocked")
					if c.whole {
						require.NoError(t, err)
						return
					}
					require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				})
			})
		}
	}
}

// readUntilClose sends a request with a long body and reads the response, of size bytes
// until the connection ends, which may be after the write of the request body.
func readUntilClose(t *testing.T, writeBody func(c *uploadConn) error, size int, after bool) error {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := &uploadConn{Conn: near, writeBody: writeBody, written: make(chan struct{}), closed: make(chan struct{})}
	c.close = sync.OnceFunc(func() { close(c.closed) })
	c.response = strings.NewReader(ownHead + "\r\n" + strings.Repeat("x", size))
	if after {
		c.response = io.MultiReader(c.response, afterWrite{c.written})
	}
	s := NewServer("x", 4, func(context.Context, string, string) (net.Conn, error) { return c, nil }, NewBuffers(testBufferBytes))
	r := request("a")
	r.Body = make([]byte, 2*concurrentWriteSize)
	r.Length = int64(len(r.Body))
	start := time.Now()
	a, err := s.Do(t.Context(), r)
	if err != nil {
		require.Equal(t, fault.AnswerCut, fault.KindOf(err))
	} else {
		defer a.Close()
	}
	if err == nil && a.Rest != nil {
		_, err = io.Copy(io.Discard, a.Rest)
	}
	require.Less(t, time.Since(start), 10*time.Millisecond, "it waits for no timeout")
	return err
}
