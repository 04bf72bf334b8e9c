package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	dialTimeout = 600 * time.Millisecond
	// idleLimit is the maximum idle time of a connection.
	idleLimit = 6 * time.Second
	// keepAliveMargin is subtracted from the timeout in a server's Keep-Alive
	// header.
	keepAliveMargin = 1 * time.Second
	// onceIdleLimit is the maximum idle time of a connection for a request that
	// may run only once.
	onceIdleLimit = 1500 * time.Millisecond
)

// Dialer opens a connection.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Server is the connection pool for one address.
type Server struct {
	Address string
	dialer  Dialer
	buffers *Buffers
	guard   Guard

	mu    sync.Mutex
	idle  []*conn // in order of last use, the most recent last
	open  int     // connections that are open or being opened
	limit int     // maximum of open
}

// NewServer returns an empty connection pool. Its responses share buffers with those
// of other servers. A nil dialer means plain TCP.
func NewServer(address string, limit int, d Dialer, buffers *Buffers) *Server {
	if d == nil {
		d = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Server{Address: address, dialer: d, buffers: buffers, guard: noGuard{}, limit: max(limit, 1)}
}

// SetLimit sets the number of connections that this host may open.
func (s *Server) SetLimit(n int) {
	s.mu.Lock()
	s.limit = max(n, 1)
	s.mu.Unlock()
}

// Close closes the idle connections.
func (s *Server) Close() {
	s.mu.Lock()
	idle := s.idle
	s.idle = nil
	s.open -= len(idle)
	s.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// takeIdle returns an idle connection on which req may be sent, or nil. For a request
// that may run only once, it has been idle for at most onceIdleLimit.
func (s *Server) takeIdle(now time.Time, req *Request) *conn {
	for {
		c := s.popIdle(req.Attempts)
		if c == nil {
			return nil
		}
		age := now.Sub(c.lastUsed)
		stale := age > idleLimit || !c.expires.IsZero() && now.After(c.expires) || req.Once && age > onceIdleLimit
		if !stale && c.reusable() {
			return c
		}
		s.discard(c)
	}
}

// popIdle returns the idle connection that was used last, except those on which the
// request was sent before.
func (s *Server) popIdle(before *Attempts) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.idle) - 1; i >= 0; i-- {
		c := s.idle[i]
		if before.used(c) {
			continue
		}
		s.idle = slices.Delete(s.idle, i, i+1)
		return c
	}
	return nil
}

// dial opens a connection. Errors are of kind Refused, DialFailed or Overloaded;
// no byte of the request was sent.
func (s *Server) dial(ctx context.Context) (*conn, error) {
	s.mu.Lock()
	if s.open >= s.limit {
		s.mu.Unlock()
		return nil, fault.New(fault.Overloaded, "this host's limit on connections to the server is reached")
	}
	s.open++
	s.mu.Unlock()
	start := time.Now()
	raw, err := s.dialer(ctx, "tcp", s.Address)
	if err == nil {
		c := newConn(raw, time.Now())
		if c.staysOpen(ctx, c.lastUsed.Sub(start)+resetGrace) {
			return c, nil
		}
		c.close()
		err = fault.New(fault.Overloaded, "the server closed the new connection immediately")
	}
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
	if fault.KindOf(err) == fault.Overloaded {
		return nil, err
	}
	if fault.IsRefused(err) {
		return nil, fault.Wrap(fault.Refused, err, "no process listens at the address")
	}
	return nil, fault.Wrap(fault.DialFailed, err, "the connection could not be opened")
}

func (s *Server) discard(c *conn) {
	c.close()
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
}

// putIdle returns c to the idle connections. It closes c if unread bytes are buffered
// or the guard lets no idle connection be kept.
func (s *Server) putIdle(c *conn) {
	if c.reader.Buffered() > 0 || !s.guard.KeepsIdle() {
		s.discard(c)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = append(s.idle, c)
}

// Trim closes connections that have been idle for longer than idleLimit.
func (s *Server) Trim(now time.Time) {
	s.mu.Lock()
	var old []*conn
	for len(s.idle) > 0 && now.Sub(s.idle[0].lastUsed) > idleLimit {
		old = append(old, s.idle[0])
		s.idle = s.idle[1:]
	}
	s.open -= len(old)
	s.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}
