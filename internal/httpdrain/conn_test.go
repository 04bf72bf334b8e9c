package httpdrain

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/internal/pipenet"
)

// tcpPair returns both ends of a connection, the accepted one wrapped.
func tcpPair(t *testing.T) (caller net.Conn, accepted *conn) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	caller, err = net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	raw, err := lis.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = caller.Close() // the test has ended
		_ = raw.Close()
	})
	return caller, &conn{Conn: raw, idle: true, release: func() {}}
}

// A request that has arrived, but has not been read, when its idle connection is to be
// closed is read, not dropped with the connection.
func TestRequestThatArrivedOnAnEndingConnectionIsRead(t *testing.T) {
	caller, c := tcpPair(t)
	_, err := io.WriteString(caller, "GET")
	require.NoError(t, err)
	c.endIfIdleSince(time.Now())
	var b [8]byte
	n, err := c.Read(b[:])
	require.NoError(t, err)
	require.Equal(t, "GET", string(b[:n]))
	_, err = io.WriteString(caller, " / ")
	require.NoError(t, err)
	n, err = c.Read(b[:])
	require.NoError(t, err)
	require.Equal(t, " / ", string(b[:n]))
}

// A connection without a request ends; a deadline that net/http sets meanwhile doesn't
// keep it open.
func TestIdleConnectionEnds(t *testing.T) {
	_, c := tcpPair(t)
	c.endIfIdleSince(time.Now())
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Hour)))
	var b [8]byte
	_, err := c.Read(b[:])
	require.Equal(t, io.EOF, err)
}

func TestEndIfIdleSince(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name  string
		idle  bool
		since time.Time
		limit time.Time
		want  bool
	}{
		{"idle for long", true, now.Add(-time.Second), now, true},
		{"just accepted", true, now, now.Add(-time.Millisecond), false},
		{"with a request", false, now.Add(-time.Second), now, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			near, far := net.Pipe()
			defer near.Close()
			defer far.Close()
			conn := &conn{Conn: near, idle: c.idle, since: c.since}
			conn.endIfIdleSince(c.limit)
			require.Equal(t, c.want, conn.isEnding())
		})
	}
}

// A connection that ends although a byte of a request arrives in the same moment goes on,
// with the read deadline that net/http wants.
func TestByteInTheMomentOfTheEndIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		c := &conn{Conn: near, idle: true}
		defer c.Close()
		require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
		go func() { _, _ = far.Write([]byte("x")) }() // the read shows it
		synctest.Wait()
		c.endIfIdleSince(time.Now())
		var b [1]byte
		n, err := c.Read(b[:])
		require.NoError(t, err)
		require.Equal(t, 1, n)
		require.False(t, c.isEnding())
		begin := time.Now()
		_, err = c.Read(b[:])
		require.True(t, isTimeout(err))
		require.Equal(t, time.Second, time.Since(begin))
	})
}

// lateListener accepts nothing until its deadline is set.
type lateListener struct {
	*net.TCPListener
	closing chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closing
	return l.TCPListener.Accept()
}

func (l *lateListener) SetDeadline(t time.Time) error {
	err := l.TCPListener.SetDeadline(t)
	close(l.closing)
	return err
}

// Connections in the backlog of the listener are accepted and answered, not reset.
func TestDrainAnswersTheBacklog(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	caller, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	s := New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }))
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(&lateListener{lis.(*net.TCPListener), make(chan struct{})}) }()
	for !s.isServing() {
		time.Sleep(time.Millisecond)
	}
	require.Zero(t, s.Drain(t.Context()))
	answer, err := io.ReadAll(caller)
	require.NoError(t, err)
	require.Contains(t, string(answer), "Connection: close")
	require.Contains(t, string(answer), "done")
	require.Equal(t, http.ErrServerClosed, <-ended)
}

func (s *Server) isServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served != nil
}

// A drain ends when its time is over, and tells what is left.
func TestDrainIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		lis := network.Listen()
		s := New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Minute) }))
		go func() { _ = s.Serve(lis) }() // returns with the drain
		caller, err := network.Dial(t.Context(), "tcp", lis.Addr().String())
		require.NoError(t, err)
		defer caller.Close()
		_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin := time.Now()
		require.Equal(t, 1, s.Drain(ctx))
		require.Equal(t, time.Second, time.Since(begin))
		require.NoError(t, s.Close())
		time.Sleep(time.Minute) // the handler returns
	})
}

// A request that was read together with the one before it isn't cut off as if its
// connection were idle.
func TestPipelinedRequestIsNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		lis := network.Listen()
		s := New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				select {
				case <-time.After(time.Second):
				case <-r.Context().Done():
					panic(http.ErrAbortHandler) // as a handler whose caller has left
				}
			}
			_, _ = io.WriteString(w, r.URL.Path) // the test reads it
		}))
		go func() { _ = s.Serve(lis) }() // returns with the drain
		caller, err := network.Dial(t.Context(), "tcp", lis.Addr().String())
		require.NoError(t, err)
		defer caller.Close()
		_, err = io.WriteString(caller, "GET /fast HTTP/1.1\r\nHost: x\r\n\r\nGET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		answers := make(chan string, 1)
		go func() {
			b, _ := io.ReadAll(caller) // a connection that was cut off shows in the answers
			answers <- string(b)
		}()
		synctest.Wait()
		time.Sleep(2 * quietTime)
		require.Zero(t, s.Drain(t.Context()))
		got := <-answers
		require.Contains(t, got, "/fast")
		require.Contains(t, got, "/slow")
	})
}

// starvedListener accepts nothing until the time to accept is over, as in a process that
// got no CPU meanwhile.
type starvedListener struct {
	*net.TCPListener
	closing chan time.Time
	once    sync.Once
}

func (l *starvedListener) Accept() (net.Conn, error) {
	l.once.Do(func() { time.Sleep(time.Until(<-l.closing)) })
	return l.TCPListener.Accept()
}

func (l *starvedListener) SetDeadline(t time.Time) error {
	err := l.TCPListener.SetDeadline(t)
	select {
	case l.closing <- t:
	default: // only the first one counts
	}
	return err
}

// Connections in the backlog are answered, not reset, also if nothing could be accepted in
// the time that the listener has for it.
func TestDrainOfAStarvedProcessAnswersTheBacklog(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var callers []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", lis.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		callers = append(callers, c)
	}
	s := New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })) // the test reads it
	go func() {
		_ = s.Serve(&starvedListener{TCPListener: lis.(*net.TCPListener), closing: make(chan time.Time, 1)}) // returns with the drain
	}()
	for !s.isServing() {
		time.Sleep(time.Millisecond)
	}
	require.Zero(t, s.Drain(t.Context()))
	for _, c := range callers {
		answer, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Contains(t, string(answer), "done")
	}
}

// stuckListener never returns from Accept until it is closed, as net/http's accept loop
// while it waits for free file descriptors.
type stuckListener struct{ *pipenet.Listener }

func (stuckListener) SetDeadline(time.Time) error { return nil }

// A listener that doesn't return in time doesn't hold up the end of a drain.
func TestDrainIsBoundedWithAStuckListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(http.NotFoundHandler())
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(stuckListener{pipenet.New().Listen()}) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin := time.Now()
		require.Zero(t, s.Drain(ctx))
		require.LessOrEqual(t, time.Since(begin), time.Second)
		require.Equal(t, http.ErrServerClosed, <-ended)
	})
}

// The limit on connections holds back further ones until one ends; a drain answers those
// in the backlog.
func TestMaxConns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		lis := network.Listen()
		s := New(http.NotFoundHandler())
		s.MaxConns = 1
		go func() { _ = s.Serve(lis) }() // returns with Close
		defer s.Close()
		first, err := network.Dial(t.Context(), "tcp", lis.Addr().String())
		require.NoError(t, err)
		defer first.Close()
		accepted := make(chan net.Conn, 1)
		go func() {
			c, err := network.Dial(context.Background(), "tcp", lis.Addr().String())
			if err == nil {
				accepted <- c
			}
		}()
		synctest.Wait()
		require.Empty(t, accepted)
		require.NoError(t, first.Close())
		second := <-accepted
		require.NoError(t, second.Close())
	})
}

// http2Caller returns a client that speaks HTTP/2 without TLS.
func http2Caller(network *pipenet.Network) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols, DialContext: network.Dial}}
}

// A drain ends an HTTP/2 connection without a request, and answers the requests on one.
func TestDrainEndsHTTP2(t *testing.T) {
	const (
		workTime = time.Second
		// goAwayTime is how long net/http waits for the caller to close the connection.
		goAwayTime = time.Second
	)
	cases := []struct {
		name    string
		path    string // of the request in flight at the drain; empty if there is none
		longest time.Duration
	}{
		{"idle", "", goAwayTime + quietTime},
		{"with a request", "/slow", workTime + goAwayTime + quietTime},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := pipenet.New()
				lis := network.Listen()
				protocols := new(http.Protocols)
				protocols.SetHTTP1(true)
				protocols.SetUnencryptedHTTP2(true)
				s := Wrap(&http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/slow" {
						time.Sleep(workTime)
					}
				})})
				go func() { _ = s.Serve(lis) }() // returns with the drain
				caller := http2Caller(network)
				defer caller.CloseIdleConnections()
				get := func(path string) int {
					resp, err := caller.Get("http://" + lis.Addr().String() + path)
					if err != nil {
						return 0
					}
					_ = resp.Body.Close() // it is empty
					require.Equal(t, 2, resp.ProtoMajor)
					return resp.StatusCode
				}
				require.Equal(t, http.StatusOK, get("/"))
				time.Sleep(2 * quietTime)
				got := make(chan int, 1)
				got <- http.StatusOK
				if c.path != "" {
					<-got
					go func() { got <- get(c.path) }()
					synctest.Wait()
				}
				begin := time.Now()
				require.Zero(t, s.Drain(t.Context()))
				require.LessOrEqual(t, time.Since(begin), c.longest)
				require.Equal(t, http.StatusOK, <-got)
			})
		})
	}
}

// A connection that waits for the limit on connections is answered by a drain, not reset.
func TestDrainAnswersAConnectionBeyondMaxConns(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	work := make(chan struct{})
	s := New(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			work <- struct{}{}
			<-work
		}
	}))
	s.MaxConns = 1
	go func() { _ = s.Serve(lis) }() // returns with the drain
	send := func(path string) net.Conn {
		c, err := net.Dial("tcp", lis.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		return c
	}
	first := send("/slow")
	defer first.Close()
	<-work // its request is in flight
	second := send("/")
	defer second.Close()
	left := make(chan int, 1)
	go func() { left <- s.Drain(context.Background()) }()
	for _, c := range []net.Conn{second, first} {
		answer, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Contains(t, string(answer), "200 OK")
		if c == second {
			work <- struct{}{}
		}
	}
	require.Zero(t, <-left)
}
