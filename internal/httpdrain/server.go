// Package httpdrain serves HTTP so that a planned stop closes a connection only
// between two requests.
//
// net/http counts a connection as idle until it has parsed the whole head of the next
// request. Its own shutdown closes idle connections under a request that is just
// arriving, and the handler runs all the same: the request takes effect and its caller
// gets no answer. Here a connection ends by itself, when a read finds that no byte of a
// request has arrived. HTTP/2 has a message of its own for that, which net/http sends.
package httpdrain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// quietTime is how long a connection must have been without a request before it is
	// closed. On a new connection the request follows soon.
	quietTime = 100 * time.Millisecond
	// acceptLimit is the time for the backlog, also in a drain that has less.
	acceptLimit = 200 * time.Millisecond
	// pollInterval is the interval at which a drain looks for connections to end.
	pollInterval = 10 * time.Millisecond
	// bodyTail is how long net/http may read the rest of the body of a request that its
	// handler has answered.
	bodyTail = 500 * time.Millisecond
)

// connKey is the key of a request's *conn in its context.
type connKey struct{}

// Server is an http.Server with a drain of its own. Create it with New or Wrap.
type Server struct {
	// HTTP is the server that handles the requests. Its fields may be changed until
	// Serve is called, except for Handler, ConnContext and ConnState.
	HTTP *http.Server
	// MaxConns bounds the open connections; 0 means no limit. It may be set until Serve
	// is called. A drain exceeds it for the connections in the listener's backlog, as
	// each of them ends with its next response.
	MaxConns int

	mu       sync.Mutex // guards the following
	conns    map[*conn]struct{}
	listener net.Listener
	draining bool          // connections are closed after their next response
	closing  bool          // no new connections are accepted
	served   chan struct{} // closed when Serve returns; nil until it is called
	ended    chan struct{} // closed when closing is set
}

// New returns a server of handler that is not started.
func New(handler http.Handler) *Server { return Wrap(&http.Server{Handler: handler}) }

// Wrap returns a server that serves with h, which is not started. It replaces the Handler,
// the ConnContext and the ConnState of h.
func Wrap(h *http.Server) *Server {
	s := &Server{HTTP: h, conns: map[*conn]struct{}{}, ended: make(chan struct{})}
	handler := h.Handler
	h.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDraining() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.markHandled(time.Now())
		}
	})
	h.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	h.ConnState = s.track
	return s
}

// Serve accepts connections until Drain or Close is called, then it returns
// http.ErrServerClosed. It may be called once. The connections of l are plain, not TLS:
// net/http would not see that they are.
func (s *Server) Serve(l net.Listener) error {
	served := make(chan struct{})
	defer close(served)
	s.mu.Lock()
	s.listener, s.served = l, served
	closing := s.closing
	s.mu.Unlock()
	if closing {
		_ = l.Close() // nothing was accepted
		return http.ErrServerClosed
	}
	err := s.HTTP.Serve(newListener(l, s))
	if s.isClosing() {
		return http.ErrServerClosed
	}
	return err
}

// StopKeepAlive has each connection closed after its next response.
func (s *Server) StopKeepAlive() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
}

// CloseIdle ends the connections that have been without a request for a while, or on which
// only the rest of the body of a request that was answered is missing.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		c.endIfIdleSince(now.Add(-quietTime))
		c.endBodyIfHandledBefore(now.Add(-bodyTail))
	}
}

// Drain accepts no new connections, answers the requests on those it has accepted, and
// closes them. It returns the number of connections that are still open when ctx ends.
func (s *Server) Drain(ctx context.Context) int {
	s.StopKeepAlive()
	s.stopAccepting(ctx)
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		s.CloseIdle()
		left, http2 := s.open()
		if left == 0 {
			return 0
		}
		if left == http2 {
			s.endHTTP2()
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return left
		}
	}
}

// endHTTP2 tells the callers on HTTP/2 connections to send no more requests. It must not be
// called while there are other connections: net/http answers none of their requests then.
func (s *Server) endHTTP2() {
	over, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.HTTP.Shutdown(over) // it doesn't wait; Drain does
}

// Close closes the listener and every connection at once.
func (s *Server) Close() error {
	s.setClosing()
	return s.HTTP.Close()
}

// setClosing has no new connections accepted. It returns the listener and what is closed
// when Serve returns, both nil if Serve was not called.
func (s *Server) setClosing() (net.Listener, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closing {
		s.closing = true
		close(s.ended)
	}
	return s.listener, s.served
}

// stopAccepting accepts what is in the listener's backlog and closes it, at the latest when
// both ctx and acceptLimit have ended.
func (s *Server) stopAccepting(ctx context.Context) {
	l, served := s.setClosing()
	if l == nil {
		return
	}
	defer l.Close() // net/http closes it, too
	if !endAccept(l) {
		_ = l.Close() // Serve returns the error of a listener that was closed before
	}
	limit := time.NewTimer(acceptLimit)
	defer limit.Stop()
	select {
	case <-served:
		return
	case <-limit.C:
	}
	select {
	case <-served:
	case <-ctx.Done():
	}
}

// isDraining reports whether connections are closed after their next response.
func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// isClosing reports whether no new connections are accepted.
func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// open returns the number of open connections, and how many of them are HTTP/2.
func (s *Server) open() (all, http2 int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.carriesHTTP2() {
			http2++
		}
	}
	return len(s.conns), http2
}

// add registers an accepted connection.
func (s *Server) add(c *conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
}

// track follows the state that net/http gives a connection.
func (s *Server) track(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.markBusy() // its request may have been read with the one before it
	case http.StateIdle:
		c.markIdle(time.Now())
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.release()
	}
}
