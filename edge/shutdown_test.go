package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/internal/pipenet"
)

// workTime is how long the requests of these tests run.
const workTime = 300 * time.Millisecond

// stoppingServer is a server whose requests run for workTime.
type stoppingServer struct {
	network *pipenet.Network
	addr    string
	http    *http.Server
	active  atomic.Int64
}

func newStoppingServer() *stoppingServer {
	s := &stoppingServer{network: pipenet.New()}
	lis := s.network.Listen()
	s.addr = lis.Addr().String()
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.active.Add(1)
		defer s.active.Add(-1)
		_, _ = io.Copy(io.Discard, r.Body) // the caller may have left
		time.Sleep(workTime)
		_, _ = io.WriteString(w, "done")
	})}
	go func() { _ = s.http.Serve(lis) }() // returns when the server is shut down
	return s
}

func (s *stoppingServer) dial(t *testing.T) net.Conn {
	c, err := s.network.Dial(t.Context(), "tcp", s.addr)
	require.NoError(t, err)
	synctest.Wait() // the server has accepted it
	return c
}

// answered reads a response and reports whether it is whole.
func answered(c net.Conn) bool {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	return err == nil && string(body) == "done"
}

// A planned stop answers the requests on connections that it has accepted, at whichever
// moment of the stop they arrive, and ends soon after the last of them.
func TestShutdownAnswersWhatItAccepted(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"
	cases := []struct {
		name         string
		sentAt       time.Duration // of the head, counted from the start of the stop
		bodyAt       time.Duration
		longest      time.Duration // of the stop
		connectFirst bool          // a connection without a request is open, too
	}{
		{name: "before the stop", sentAt: -10 * time.Millisecond, bodyAt: -10 * time.Millisecond, longest: workTime + 4*quietTime},
		{name: "in the same millisecond", longest: workTime + 4*quietTime},
		{name: "while connections are closed", sentAt: 50 * time.Millisecond, bodyAt: 50 * time.Millisecond, longest: workTime + 4*quietTime},
		{name: "with half a body", sentAt: -10 * time.Millisecond, bodyAt: 200 * time.Millisecond, longest: workTime + 4*quietTime},
		{name: "beside a silent connection", longest: workTime + 4*quietTime, connectFirst: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStoppingServer()
				if c.connectFirst {
					defer s.dial(t).Close()
				}
				conn := s.dial(t)
				defer conn.Close()
				begin := time.Now().Add(20 * time.Millisecond)
				got := make(chan bool, 1)
				go func() {
					time.Sleep(time.Until(begin.Add(c.sentAt)))
					_, _ = io.WriteString(conn, head) // a closed connection shows in the response
					time.Sleep(time.Until(begin.Add(c.bodyAt)))
					_, _ = io.WriteString(conn, "xx")
					got <- answered(conn)
				}()
				time.Sleep(time.Until(begin))
				_ = shutdown(s.http, s.active.Load, 5*time.Second) // the silent connection is left open
				require.LessOrEqual(t, time.Since(begin), c.longest)
				_ = s.http.Close() // the process ends
				require.True(t, <-got)
			})
		})
	}
}

// A stop never takes longer than its limit.
func TestShutdownIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppingServer()
		conn := s.dial(t)
		defer conn.Close()
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n")
		require.NoError(t, err)
		synctest.Wait()
		begin := time.Now()
		require.Error(t, shutdown(s.http, s.active.Load, time.Second))
		require.Equal(t, time.Second, time.Since(begin))
		_ = s.http.Close()
		time.Sleep(workTime) // the handler returns
	})
}

// acceptTime is how long after the stop signal a host may accept requests that it might not
// complete within the grace period.
const acceptTime = 3 * time.Second

// A stopping host accepts requests until the load balancer sends none any more, and
// refuses them soon after that.
func TestStoppingHostRefusesLateRequests(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		o := Options{StopGrace: grace}
		require.LessOrEqual(t, o.rejectAfter(), acceptTime)
		require.GreaterOrEqual(t, o.rejectAfter(), min(balancerDelay, grace/2))
	}
}
