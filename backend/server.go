// Package backend holds an entry host's state for each backend server: its
// connections, its concurrency limit and its health as observed on requests.
package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/lacewingsaddle/lacewingsaddle/detect"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

const (
	dialTimeout = 250 * time.Millisecond
	// maxIdleTime is how long a connection may have been idle when a request uses
	// it. A connection becomes idle when its last answer has been read.
	maxIdleTime      = 3 * time.Second
	dialsPerSecond   = 500
	maxHeaderBytes   = 256 << 10
	transportBufSize = 4 << 10
)

// Server is one backend server of one service. It is safe for concurrent use.
type Server struct {
	Service string
	Spec    profile.Server
	Limiter *Limiter
	Health  *Health

	limits    profile.Limits
	dial      Dialer
	dials     *rate.Limiter
	observer  detect.Observer
	transport *http.Transport

	mu        sync.Mutex
	conns     map[*conn]struct{}
	dialing   int // connections being opened; connShare covers them too
	connShare int // most connections this host may hold open
}

func newServer(service string, spec profile.Server, p profile.Profile, set *Set) *Server {
	s := &Server{
		Service:   service,
		Spec:      spec,
		Limiter:   NewLimiter(p.Limits.Slots, p.Limits.Queue),
		Health:    NewHealth(p.Ownership.SlowStart),
		limits:    p.Limits,
		dial:      set.dial,
		dials:     rate.NewLimiter(dialsPerSecond, max(1, p.Limits.Connections)),
		observer:  set.observer,
		conns:     map[*conn]struct{}{},
		connShare: max(1, p.Limits.Connections),
	}
	s.transport = &http.Transport{
		DialContext:            s.dialConn,
		MaxConnsPerHost:        p.Limits.Connections,
		MaxIdleConnsPerHost:    p.Limits.Connections,
		IdleConnTimeout:        maxIdleTime,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         transportBufSize,
		WriteBufferSize:        transportBufSize,
	}
	return s
}

// SetMembers divides the server's slots and connections among n entry hosts.
func (s *Server) SetMembers(n int) {
	if !s.Limiter.SetMembers(n) {
		return
	}
	s.mu.Lock()
	s.connShare = max(1, s.limits.Connections/max(1, n))
	s.mu.Unlock()
}

// dialConn opens a connection within this host's share of connections and dial
// rate. Exceeding either is an error of kind Overloaded.
func (s *Server) dialConn(ctx context.Context, network, addr string) (net.Conn, error) {
	if err := s.reserveDial(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := s.dial(ctx, network, addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialing--
	if err != nil {
		return nil, err
	}
	c := newConn(raw, s)
	s.conns[c] = struct{}{}
	return c, nil
}

// reserveDial counts a connection as being opened. It fails when this host's share
// of connections or the dial rate is used up.
func (s *Server) reserveDial() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open := len(s.conns) + s.dialing; open >= s.connShare {
		return fault.Newf(fault.Overloaded, "%d connections to %s are open, which is this host's share", open, s.Spec.ID)
	}
	if !s.dials.Allow() {
		return fault.Newf(fault.Overloaded, "the dial rate limit of %s is exceeded", s.Spec.ID)
	}
	s.dialing++
	return nil
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// closeUnresponsive closes every idle connection on which nothing has arrived after
// since. For connections in use, their own answer or timeout shows whether they
// work.
func (s *Server) closeUnresponsive(since time.Time) {
	var unresponsive []*conn
	s.mu.Lock()
	for c := range s.conns {
		if !c.inUse.Load() && c.lastRead.Load() <= since.UnixNano() {
			unresponsive = append(unresponsive, c)
		}
	}
	s.mu.Unlock()
	for _, c := range unresponsive {
		c.seal()
	}
}

// Connections returns the number of open connections, without those being opened.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// observe reports a contact to Health and to the observer.
func (s *Server) observe(result detect.Result, latency time.Duration) {
	s.Health.Observe(time.Now(), result, latency)
	if s.observer == nil {
		return
	}
	s.observer.Observe(detect.Observation{
		Service: s.Service,
		Server:  s.Spec.ID,
		Result:  result,
		Latency: latency,
	})
}

// close closes every idle connection. Requests in flight go on.
func (s *Server) close() { s.transport.CloseIdleConnections() }
