package fake

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
)

// ServerState is the state of a fake backend server.
type ServerState int

// The states of a server.
const (
	Up     ServerState = iota
	Frozen             // accepts connections and never answers
	Killed             // its host refuses connections
	CutOff             // unreachable: requests get no answer
)

// Servers simulates backend servers, identified by address. It implements
// http.RoundTripper and is safe for concurrent use.
type Servers struct {
	mu     sync.Mutex
	states map[string]ServerState
	delay  time.Duration
}

// NewServers returns servers that are all up, with a one-way delay of delay.
func NewServers(delay time.Duration) *Servers {
	return &Servers{states: map[string]ServerState{}, delay: delay}
}

// Set changes the state of the server at addr.
func (s *Servers) Set(addr string, state ServerState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states[addr] = state
}

func (s *Servers) state(addr string) ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.states[addr]
}

// RoundTrip implements http.RoundTripper.
func (s *Servers) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	if err := wait.Sleep(ctx, s.delay); err != nil {
		return nil, err
	}
	switch s.state(req.URL.Host) {
	case Frozen, CutOff:
		<-ctx.Done()
		return nil, ctx.Err()
	case Killed:
		if err := wait.Sleep(ctx, s.delay); err != nil {
			return nil, err
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	if err := wait.Sleep(ctx, s.delay); err != nil {
		return nil, err
	}
	return &http.Response{
		StatusCode: http.StatusOK,
		Body:       io.NopCloser(strings.NewReader(`{"state":"ok"}`)),
		Header:     http.Header{},
		Request:    req,
	}, nil
}
