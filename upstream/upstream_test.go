package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedServer reads requests and writes the next of its answers for each. An
// empty answer closes the connection.
type scriptedServer struct {
	dials   atomic.Int64
	mu      sync.Mutex
	answers []string
	got     []string // method, URI and body of each request
}

// next returns the answer to a request, and false if none is left.
func (s *scriptedServer) next(got string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got = append(s.got, got)
	if len(s.answers) == 0 {
		return "", false
	}
	text := s.answers[0]
	s.answers = s.answers[1:]
	return text, true
}

func (s *scriptedServer) dial(context.Context, string, string) (net.Conn, error) {
	s.dials.Add(1)
	near, far := net.Pipe()
	go s.serve(far)
	return near, nil
}

func (s *scriptedServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		text, ok := s.next(req.Method + " " + req.RequestURI + " " + string(body))
		if _, err := io.WriteString(conn, text); err != nil || !ok || text == "" {
			return
		}
		if strings.HasSuffix(text, "cut") || strings.Contains(text, "until the end") {
			return
		}
	}
}

// testBufferBytes is room for several long bodies.
const testBufferBytes = 8 << 20

func request(id string) *Request {
	return &Request{
		Method: http.MethodPost, URI: "/x?y=1", Host: "shop.example", Header: http.Header{"A": {"1", "2"}},
		ID: id, IDHeader: "X-Id", Body: []byte("body"), Length: 4, Deadline: time.Now().Add(time.Second),
	}
}

// withScript runs f with a scriptedServer, in virtual time.
func withScript(t *testing.T, answers []string, f func(t *testing.T, s *Server, sc *scriptedServer)) {
	synctest.Test(t, func(t *testing.T) {
		sc := &scriptedServer{answers: answers}
		s := NewServer("x", 4, sc.dial, NewBuffers(testBufferBytes))
		defer s.Close()
		f(t, s, sc)
	})
}

const okHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"

// Each response on the wire leads to its body or to the right kind of error.
func TestAnswers(t *testing.T) {
	cases := []struct {
		name   string
		answer string
		body   string
		kind   fault.Kind // empty for a complete response
		kept   bool       // the connection is reused for the next request
	}{
		{"by length", okHead + "Content-Length: 2\r\n\r\nok", "ok", "", true},
		{"empty", okHead + "Content-Length: 0\r\n\r\n", "", "", true},
		{"in chunks", okHead + "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n", "ok", "", true},
		{"until the connection ends", okHead + "\r\nuntil the end", "until the end", "", false},
		{"the server closes", okHead + "Connection: close\r\nContent-Length: 2\r\n\r\nok", "ok", "", false},
		{"after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nok", "ok", "", true},
		{"after an answer to another request", "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 1\r\n\r\n!" + okHead + "Content-Length: 2\r\n\r\nok", "ok", "", true},
		{"bytes behind it", okHead + "Content-Length: 2\r\n\r\nok!", "ok", "", false},
		{"an error without an id", "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", "", "", true},
		{"a success without an id", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", fault.Timeout, false},
		{"no answer", "", "", fault.AnswerCut, false},
		{"cut in the head", "HTTP/1.1 200 OK\r\nX-cut", "", fault.AnswerCut, false},
		{"cut in the body", okHead + "Content-Length: 9\r\n\r\ncut", "", fault.AnswerCut, false},
		{"cut in a chunk", okHead + "Transfer-Encoding: chunked\r\n\r\n9\r\ncut", "", fault.AnswerCut, false},
		{"no answer of the protocol", "garbage\r\n\r\ncut", "", fault.AnswerCut, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withScript(t, []string{c.answer, okHead + "Content-Length: 4\r\n\r\nnext"}, func(t *testing.T, s *Server, sc *scriptedServer) {
				a, err := s.Do(t.Context(), request("a"))
				if c.kind != "" {
					require.Equal(t, c.kind, fault.KindOf(err))
				} else {
					require.NoError(t, err)
					require.Equal(t, c.body, string(a.Body))
					require.Nil(t, a.Rest)
				}
				require.Equal(t, "POST /x?y=1 body", sc.got[0])
				synctest.Wait()
				_, err = s.Do(t.Context(), request("a"))
				require.NoError(t, err)
				dials := int64(2)
				if c.kept {
					dials = 1
				}
				require.Equal(t, dials, sc.dials.Load())
			})
		})
	}
}

// At most maxStrayResponses responses to other requests are skipped.
func TestTooManyStrayResponses(t *testing.T) {
	stray := "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 0\r\n\r\n"
	withScript(t, []string{strings.Repeat(stray, maxStrayResponses+1)}, func(t *testing.T, s *Server, _ *scriptedServer) {
		_, err := s.Do(t.Context(), request("a"))
		require.Equal(t, fault.AnswerMismatch, fault.KindOf(err))
	})
}

// A long response is streamed; reading one that is cut off returns an error.
func TestLongAnswers(t *testing.T) {
	long := strings.Repeat("x", maxBuffered+10)
	for name, body := range map[string]string{"whole": long, "broken off": long[:maxBuffered+5] + "cut"} {
		t.Run(name, func(t *testing.T) {
			text := okHead + "Content-Length: 1048586\r\n\r\n" + body
			withScript(t, []string{text}, func(t *testing.T, s *Server, _ *scriptedServer) {
				a, err := s.Do(t.Context(), request("a"))
				require.NoError(t, err)
				require.Len(t, a.Body, maxBuffered)
				rest, err := io.ReadAll(a.Rest)
				if name == "whole" {
					require.NoError(t, err)
					require.Len(t, rest, 10)
				} else {
					require.Error(t, err)
				}
				a.Close()
			})
		})
	}
}

// An idle connection is reused for a limited time, which is shorter for a request
// that may run only once.
func TestConnectionReuse(t *testing.T) {
	ok := okHead + "Content-Length: 0\r\n\r\n"
	cases := []struct {
		name  string
		first string
		pause time.Duration
		once  bool
		dials int64
	}{
		{"at once", ok, 0, true, 1},
		{"later, may run again", ok, idleLimit - time.Second, false, 1},
		{"later, may run once", ok, onceIdleLimit + time.Millisecond, true, 2},
		{"too late", ok, idleLimit + time.Second, false, 2},
		{"within the server's promise", okHead + "Keep-Alive: timeout=4\r\nContent-Length: 0\r\n\r\n", 2 * time.Second, false, 1},
		{"after the server's promise", okHead + "Keep-Alive: timeout=4\r\nContent-Length: 0\r\n\r\n", 4 * time.Second, false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withScript(t, []string{c.first, ok}, func(t *testing.T, s *Server, sc *scriptedServer) {
				_, err := s.Do(t.Context(), request("a"))
				require.NoError(t, err)
				time.Sleep(c.pause)
				r := request("a")
				r.Once = c.once
				_, err = s.Do(t.Context(), r)
				require.NoError(t, err)
				require.Equal(t, c.dials, sc.dials.Load())
			})
		})
	}
}

// Connections that have been idle for long are closed and no longer counted as open.
func TestTrim(t *testing.T) {
	withScript(t, []string{okHead + "Content-Length: 0\r\n\r\n"}, func(t *testing.T, s *Server, _ *scriptedServer) {
		_, err := s.Do(t.Context(), request("a"))
		require.NoError(t, err)
		s.Trim(time.Now().Add(idleLimit / 2))
		require.Equal(t, 1, s.open)
		s.Trim(time.Now().Add(idleLimit + time.Second))
		require.Zero(t, s.open)
	})
}

// A failed dial is reported as an error that means that no byte was sent.
func TestFailedDial(t *testing.T) {
	cases := []struct {
		name string
		dial Dialer
		kind fault.Kind
	}{
		{"refused", func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}, fault.Refused},
		{"no connection", func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no route") }, fault.DialFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewServer("x", 1, c.dial, NewBuffers(testBufferBytes))
			_, err := s.Do(t.Context(), request("a"))
			require.Equal(t, c.kind, fault.KindOf(err))
			require.Zero(t, s.open)
		})
	}
}

func TestNoMoreConnectionsThanAllowed(t *testing.T) {
	withScript(t, []string{"", ""}, func(t *testing.T, s *Server, _ *scriptedServer) {
		s.SetLimit(1)
		c, err := s.dial(t.Context())
		require.NoError(t, err)
		_, err = s.Do(t.Context(), request("a"))
		require.Equal(t, fault.Overloaded, fault.KindOf(err))
		s.discard(c)
	})
}

// A request ends as soon as its deadline passes or its caller cancels it.
func TestTimeoutAndCancel(t *testing.T) {
	silent := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far); _ = far.Close() }()
		return near, nil
	}
	synctest.Test(t, func(t *testing.T) {
		s := NewServer("x", 4, silent, NewBuffers(testBufferBytes))
		start := time.Now()
		_, err := s.Do(t.Context(), request("a"))
		require.Equal(t, fault.Timeout, fault.KindOf(err))
		require.Equal(t, time.Second, time.Since(start))

		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		start = time.Now()
		_, err = s.Do(ctx, request("a"))
		require.Equal(t, fault.Canceled, fault.KindOf(err))
		require.Equal(t, 100*time.Millisecond, time.Since(start))
		require.Zero(t, s.open)
	})
}

// Guards against a request that was sent although it had ended, and could not be refused as
// not run any more: its host had given it up, or its caller had left.
func TestRequestThatHasEndedIsNotSent(t *testing.T) {
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprintf("kept connection=%t", kept), func(t *testing.T) {
			withScript(t, []string{okHead + "Content-Length: 0\r\n\r\n"}, func(t *testing.T, s *Server, sc *scriptedServer) {
				ctx, cancel := context.WithCancel(t.Context())
				if kept {
					_, err := s.Do(t.Context(), request("a"))
					require.NoError(t, err)
					cancel()
				} else {
					time.AfterFunc(resetGrace/2, cancel) // while the new connection is watched
				}
				_, err := s.Do(ctx, request("b"))
				require.Equal(t, fault.NotSent, fault.KindOf(err))
				synctest.Wait()
				sent := 0
				if kept {
					sent = 1
				}
				require.Len(t, sc.got, sent)
				open, idle := s.counts()
				require.Equal(t, 1, open)
				require.Equal(t, 1, idle)
			})
		})
	}
}

// Whatever a server sends, Do never returns a response to another request, nor an
// incomplete response as a complete one.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(okHead + "Content-Length: 2\r\n\r\nok"))
	f.Add([]byte(okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 503 X\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		near, far := net.Pipe()
		go func() {
			r := bufio.NewReader(far)
			if req, err := http.ReadRequest(r); err == nil {
				_, _ = io.Copy(io.Discard, req.Body) // the body is not needed
			}
			_, _ = far.Write(text) // the client may have closed the connection
			_ = far.Close()
		}()
		s := NewServer("x", 1, func(context.Context, string, string) (net.Conn, error) { return near, nil }, NewBuffers(testBufferBytes))
		defer s.Close()
		a, err := s.Do(t.Context(), request("a"))
		if err != nil {
			return
		}
		defer a.Close()
		id := a.Header.Get("X-Id")
		require.True(t, id == "a" || id == "" && a.Status >= http.StatusBadRequest, "status %d, id %q", a.Status, id)
		if n := a.Length; n >= 0 && a.Rest == nil {
			require.Len(t, a.Body, int(n))
		}
	})
}
