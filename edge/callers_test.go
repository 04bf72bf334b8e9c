package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/internal/pipenet"
)

const (
	// workTime is how long the requests of these tests run.
	workTime = 300 * time.Millisecond
	// stopTime is how long a stop takes after its last request.
	stopTime = 4 * quietTime
)

// stoppingServer is a server whose requests run for a time of their own. It refuses
// requests and gives them up as a gateway does.
type stoppingServer struct {
	network *pipenet.Network
	addr    string
	callers *callerServer
	work    time.Duration
	active  atomic.Int64
	refuses atomic.Bool
	cutOff  chan struct{} // closed when requests are given up

	mu       sync.Mutex
	accepted []time.Time // when requests were accepted
	last     time.Time   // when the last request ended
	events   []event.Event
}

func newStoppingServer(work time.Duration) *stoppingServer {
	s := &stoppingServer{network: pipenet.New(), work: work, cutOff: make(chan struct{})}
	lis := s.network.Listen()
	s.addr = lis.Addr().String()
	s.callers = newCallerServer(s, s, s.record)
	go func() { _ = s.callers.server.Serve(lis) }() // returns when the server stops
	return s
}

func (s *stoppingServer) record(e event.Event) {
	s.mu.Lock()
	s.events = append(s.events, e)
	s.mu.Unlock()
}

func (s *stoppingServer) Active() int64 { return s.active.Load() }
func (s *stoppingServer) LastActive(now time.Time) time.Time {
	if s.Active() > 0 {
		return now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

func (s *stoppingServer) RejectNew() bool { return s.refuses.CompareAndSwap(false, true) }
func (s *stoppingServer) CutOff()         { close(s.cutOff) }
func (s *stoppingServer) LogCutOff()      {}

func (s *stoppingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.refuses.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.active.Add(1)
	defer func() {
		s.mu.Lock()
		s.last = time.Now()
		s.mu.Unlock()
		s.active.Add(-1)
	}()
	s.mu.Lock()
	s.accepted = append(s.accepted, time.Now())
	s.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body) // the caller may have left
	select {
	case <-time.After(s.work):
		_, _ = io.WriteString(w, "done")
	case <-s.cutOff:
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

func (s *stoppingServer) dial(t *testing.T) net.Conn {
	c, err := s.network.Dial(t.Context(), "tcp", s.addr)
	require.NoError(t, err)
	synctest.Wait() // the server has accepted it
	return c
}

// sendInBackground sends a request on a connection of its own. The channel gets the status
// of its response, 0 if there is none.
func (s *stoppingServer) sendInBackground(t *testing.T) <-chan int {
	conn := s.dial(t)
	t.Cleanup(func() { _ = conn.Close() }) // the server may have closed it, too
	got := make(chan int, 1)
	go func() { got <- send(conn) }()
	return got
}

// status reads a whole response and returns its status, 0 if there is none.
func status(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// send sends a request and returns the status of its response, 0 if there is none.
func send(c net.Conn) int {
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n") // a closed connection shows in the response
	return status(c)
}

// testPlan closes idle connections at once.
var testPlan = stopPlan{refuseAfter: time.Second, end: 5 * time.Second}

// A planned stop answers the requests on connections that it has accepted, at whichever
// moment of the stop they arrive, and ends soon after the last of them.
func TestStopAnswersWhatItAccepted(t *testing.T) {
	const start, end = "POST / HTTP/1.1\r\nHos", "t: x\r\nContent-Length: 2\r\n\r\n"
	cases := []struct {
		name         string
		sentAt       time.Duration // of the head's start, counted from the start of the stop
		headAt       time.Duration // of its end
		bodyAt       time.Duration
		longest      time.Duration // of the stop
		connectFirst bool          // a connection without a request is open, too
		answerFirst  bool          // the connection was used before
	}{
		{name: "before the stop", sentAt: -10 * time.Millisecond, bodyAt: -10 * time.Millisecond, longest: workTime + stopTime},
		{name: "in the same millisecond", longest: workTime + stopTime},
		{name: "while connections are closed", sentAt: 50 * time.Millisecond, bodyAt: 50 * time.Millisecond, longest: workTime + stopTime},
		{name: "with half a body", sentAt: -10 * time.Millisecond, bodyAt: 200 * time.Millisecond, longest: workTime + stopTime},
		{name: "beside a silent connection", longest: workTime + stopTime, connectFirst: true},
		{name: "with half a head", sentAt: -10 * time.Millisecond, headAt: 50 * time.Millisecond, bodyAt: 50 * time.Millisecond, longest: workTime + stopTime},
		{name: "with half a head on a kept connection", sentAt: -10 * time.Millisecond, headAt: 50 * time.Millisecond, bodyAt: 50 * time.Millisecond, longest: workTime + stopTime, answerFirst: true},
		{name: "in the same millisecond on a kept connection", longest: workTime + stopTime, answerFirst: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStoppingServer(workTime)
				if c.connectFirst {
					defer s.dial(t).Close()
				}
				conn := s.dial(t)
				defer conn.Close()
				if c.answerFirst {
					require.Equal(t, http.StatusOK, send(conn))
					time.Sleep(2 * quietTime)
				}
				begin := time.Now().Add(20 * time.Millisecond)
				got := make(chan int, 1)
				go func() {
					time.Sleep(time.Until(begin.Add(c.sentAt)))
					_, _ = io.WriteString(conn, start) // a closed connection shows in the response
					time.Sleep(time.Until(begin.Add(max(c.headAt, c.sentAt))))
					_, _ = io.WriteString(conn, end)
					time.Sleep(time.Until(begin.Add(c.bodyAt)))
					_, _ = io.WriteString(conn, "xx")
					got <- status(conn)
				}()
				time.Sleep(time.Until(begin))
				s.callers.stop(time.Now(), testPlan)
				require.LessOrEqual(t, time.Since(begin), c.longest)
				require.Equal(t, http.StatusOK, <-got)
			})
		})
	}
}

// A stop never takes longer than its plan, and gives up a request of which half has
// arrived.
func TestStopIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppingServer(workTime)
		conn := s.dial(t)
		defer conn.Close()
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n")
		require.NoError(t, err)
		synctest.Wait()
		begin := time.Now()
		s.callers.stop(begin, stopPlan{refuseAfter: time.Second, end: time.Second})
		require.Equal(t, time.Second+answerTime, time.Since(begin).Truncate(stopPollInterval))
		require.Contains(t, s.events, event.ConnectionsLeft{Active: 1, Connections: 1})
		time.Sleep(workTime) // the handler returns
	})
}

// Guards against LOST of issue 26: the hosts of a failure domain stop one after another,
// so callers go on sending to a stopping host; after a moment without a request it accepted
// them to its end, and cut off the last of them.
func TestRequestsTakenLongAfterTheStopSignalAreRefused(t *testing.T) {
	const grace = 6 * time.Second
	cases := []struct {
		name   string
		every  time.Duration // a request is sent
		pause  time.Duration // without requests, after the load balancer's delay
		work   time.Duration
		busyTo time.Duration // requests are sent until then
	}{
		{name: "with a short pause", every: 90 * time.Millisecond, pause: 60 * time.Millisecond, work: 20 * time.Millisecond, busyTo: grace},
		{name: "with a pause of the quiet time", every: 50 * time.Millisecond, pause: quietTime, work: 10 * time.Millisecond, busyTo: grace},
		{name: "without a pause", every: 20 * time.Millisecond, work: workTime, busyTo: grace},
		{name: "with a slow backend server", every: 500 * time.Millisecond, work: 2 * time.Second, busyTo: grace},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStoppingServer(c.work)
				begin := time.Now()
				var callers sync.WaitGroup
				callers.Go(func() {
					for time.Since(begin) < c.busyTo {
						conn, err := s.network.Dial(context.Background(), "tcp", s.addr)
						if err != nil {
							return // nothing was sent
						}
						callers.Go(func() {
							defer conn.Close()
							require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, send(conn))
						})
						time.Sleep(c.every)
						if spent := time.Since(begin); spent >= balancerDelay && spent < balancerDelay+c.every {
							time.Sleep(c.pause)
						}
					}
				})
				s.callers.stop(begin, planStop(grace))
				require.Less(t, time.Since(begin), grace-stopMargin)
				callers.Wait()
				require.NotEmpty(t, s.accepted)
				for _, at := range s.accepted {
					require.LessOrEqual(t, at.Sub(begin), acceptTime)
				}
			})
		})
	}
}

// A request that its backend server hasn't answered at the end of the grace period is
// answered with what is known of it, not cut off.
func TestRequestInFlightAtTheEndOfAStopIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppingServer(time.Minute)
		got := s.sendInBackground(t)
		time.Sleep(time.Millisecond)
		begin := time.Now()
		s.callers.stop(begin, planStop(6*time.Second))
		require.LessOrEqual(t, time.Since(begin), 6*time.Second-stopMargin)
		require.Equal(t, http.StatusGatewayTimeout, <-got)
	})
}

// Requests that are shorter than the time between two decisions keep a stop from ending as
// if there had been none: up to the refusal, each is answered.
func TestShortRequestsAreNotTakenForAQuietTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppingServer(stopPollInterval / 10)
		begin := time.Now()
		plan := planStop(6 * time.Second)
		got := make(chan []int, 1)
		go func() {
			var all []int
			time.Sleep(stopPollInterval / 3) // between two decisions
			for time.Since(begin) < plan.refuseAfter-quietTime {
				conn, err := s.network.Dial(context.Background(), "tcp", s.addr)
				if err != nil {
					all = append(all, 0)
					break
				}
				all = append(all, send(conn))
				_ = conn.Close() // the server closes it, too
				time.Sleep(time.Until(begin.Add(time.Since(begin).Truncate(stopPollInterval) + 4*stopPollInterval + stopPollInterval/3)))
			}
			got <- all
		}()
		s.callers.stop(begin, plan)
		for _, status := range <-got {
			require.Equal(t, http.StatusOK, status)
		}
	})
}

// A process that got no CPU until after the end of its plan still answers the requests that it
// gives up, before it closes their connections.
func TestLateStopAnswersTheRequestsItGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppingServer(time.Minute)
		got := s.sendInBackground(t)
		synctest.Wait()
		plan := planStop(6 * time.Second)
		late := time.Now()
		s.callers.stop(late.Add(-plan.end-2*answerTime), plan)
		require.LessOrEqual(t, time.Since(late), answerTime)
		require.Equal(t, http.StatusGatewayTimeout, <-got)
	})
}
