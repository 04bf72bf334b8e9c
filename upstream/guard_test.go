package upstream

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// testGuard is a guard whose decisions the test sets.
type testGuard struct {
	mu       sync.Mutex
	refuses  error
	noIdle   bool
	statuses []int
}

func (g *testGuard) Check(*Request) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refuses
}

func (g *testGuard) Answered(status int, _ http.Header) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.statuses = append(g.statuses, status)
}

func (g *testGuard) KeepsIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.noIdle
}

func (g *testGuard) set(refuses error, noIdle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuses, g.noIdle = refuses, noIdle
}

func (s *Server) counts() (open, idle int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open, len(s.idle)
}

// Each row is one server with a guard. The answers are to requests with the id "r".
func TestGuard(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 2\r\n\r\nhi"
	refusal := fault.New(fault.Internal, "of the test")
	get := func(s *Server) error {
		a, err := s.Do(context.Background(), &Request{Method: "GET", URI: "/", Host: "h", ID: "r", IDHeader: "X-Id", Deadline: time.Now().Add(time.Second)})
		if err == nil {
			a.Close()
		}
		return err
	}
	for _, c := range []struct {
		name    string
		answers []string
		do      func(t *testing.T, s *Server, g *testGuard, fake *scriptedServer)
	}{
		{"a refused request is not written, and its connection is kept", []string{good}, func(t *testing.T, s *Server, g *testGuard, fake *scriptedServer) {
			g.set(refusal, false)
			err := get(s)
			require.Equal(t, fault.NotSent, fault.KindOf(err))
			require.ErrorIs(t, err, refusal)
			require.Empty(t, fake.got)
			open, idle := s.counts()
			require.Equal(t, []int{1, 1}, []int{open, idle})
			g.set(nil, false)
			require.NoError(t, get(s))
			require.EqualValues(t, 1, fake.dials.Load())
		}},
		{"no connection is kept idle", []string{good, good}, func(t *testing.T, s *Server, g *testGuard, _ *scriptedServer) {
			require.NoError(t, get(s))
			g.set(nil, true)
			require.NoError(t, get(s))
			open, idle := s.counts()
			require.Equal(t, []int{0, 0}, []int{open, idle})
		}},
		{"a refused request keeps no connection either", nil, func(t *testing.T, s *Server, g *testGuard, _ *scriptedServer) {
			g.set(refusal, true)
			require.Error(t, get(s))
			open, _ := s.counts()
			require.Zero(t, open)
		}},
		{"a copy of another answer is not reported", []string{good, "HTTP/1.1 503 X\r\nX-Id: old\r\nContent-Length: 0\r\n\r\n" + good}, func(t *testing.T, s *Server, g *testGuard, _ *scriptedServer) {
			require.NoError(t, get(s))
			require.NoError(t, get(s))
			require.Equal(t, []int{200, 200}, g.statuses)
		}},
		{"an answer without an id on a reused connection is not reported", []string{good, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"}, func(t *testing.T, s *Server, g *testGuard, _ *scriptedServer) {
			require.NoError(t, get(s))
			require.Equal(t, fault.AnswerMismatch, fault.KindOf(get(s)))
			require.Equal(t, []int{200}, g.statuses)
		}},
		{"an informational answer is not reported", []string{"HTTP/1.1 103 X\r\nX-Id: r\r\n\r\n" + good}, func(t *testing.T, s *Server, g *testGuard, _ *scriptedServer) {
			require.NoError(t, get(s))
			require.Equal(t, []int{200}, g.statuses)
		}},
		{"an answer whose body breaks off is reported", []string{"HTTP/1.1 503 X\r\nX-Id: r\r\nContent-Length: 9\r\n\r\nabc", ""}, func(t *testing.T, s *Server, g *testGuard, _ *scriptedServer) {
			require.Error(t, get(s))
			require.Equal(t, []int{503}, g.statuses)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &scriptedServer{answers: c.answers}
				g := &testGuard{}
				s := NewServer("a", 4, fake.dial, NewBuffers(1<<20))
				s.SetGuard(g)
				defer s.Close()
				c.do(t, s, g, fake)
			})
		})
	}
}
