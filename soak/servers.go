package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

const (
	// heartbeatInterval is the pause between the heartbeats of a backend server,
	// heartbeatExpiry the time without one after which its entry is removed.
	heartbeatInterval = 500 * time.Millisecond
	heartbeatExpiry   = 2400 * time.Millisecond
	// serviceName is the service of all backend servers.
	serviceName = "stock"
	// firstServerIndex is the index of the first server's loopback address.
	firstServerIndex = 100
	// requestDuration is how long a server takes to run a request.
	requestDuration = 60 * time.Millisecond
)

// server is a backend server behind a proxy. It keeps its address and id over
// restarts, but nothing that it was granted.
type server struct {
	w          *world
	id         string
	proxy      *Proxy
	listenAddr string

	mu            sync.Mutex
	backend       *platformtest.Backend // nil while it is down
	http          *http.Server
	startedAt     int64
	seq           int
	draining      bool
	drainAckedAt  time.Time // when the store acknowledged that it drains
	listed        bool      // the store has an entry of it
	lastHeartbeat time.Time

	faultMu sync.Mutex // held while a fault of the server is in force
}

func newServer(w *world, i int) (*server, error) {
	s := &server{w: w, id: fmt.Sprintf("s-%d", i)}
	s.listenAddr = w.cfg.address(firstServerIndex+i, trafficPort)
	var err error
	if s.proxy, err = NewProxy(s.listenAddr); err != nil {
		return nil, err
	}
	if err := s.launch(); err != nil {
		return nil, err
	}
	s.heartbeat()
	return s, nil
}

// launch starts the server with a new backend.
func (s *server) launch() error {
	lis, err := net.Listen("tcp", s.listenAddr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	backend := platformtest.NewBackend(s.id)
	backend.ResponseDelay = requestDuration
	s.watch(backend)
	s.backend, s.startedAt, s.seq, s.draining = backend, time.Now().UnixMilli(), 0, false
	s.http = &http.Server{Handler: backend}
	server := s.http
	go func() { _ = server.Serve(lis) }() // returns when the server is closed
	s.w.ledger.addBackend(s, backend)
	return nil
}

// watch makes the checks see what happens at a backend.
func (s *server) watch(backend *platformtest.Backend) {
	w := s.w
	backend.OnRequestArrival = func(id string) {
		w.ledger.requestArrived(s, id)
		w.announcements.requestArrived(s, backend, id)
	}
	backend.OnRequestStart = func(id string, key uint64) {
		w.ledger.requestStarted(s, backend, key)
		w.announcements.requestStarted(s, backend, id)
	}
	backend.OnAnnouncement = func(id string, a platformtest.Announcement) {
		w.announcements.announced(s, backend, id, a)
	}
}

// crash stops the server at once, without draining.
func (s *server) crash() {
	s.mu.Lock()
	backend, server := s.backend, s.http
	s.backend = nil
	s.mu.Unlock()
	if backend == nil {
		return
	}
	s.w.ledger.removeBackend(backend)
	_ = server.Close() // closes its connections too
	backend.CloseConns()
}

// drain publishes that the server is draining. The server goes on serving.
func (s *server) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.heartbeat()
	s.mu.Lock()
	s.drainAckedAt = time.Now()
	s.mu.Unlock()
}

// drainingSince returns when the store acknowledged that the server drains, or zero
// if it does not.
func (s *server) drainingSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining {
		return time.Time{}
	}
	return s.drainAckedAt
}

func (s *server) currentBackend() *platformtest.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backend
}

// heartbeat writes the server's entry to the store, unless the server is down.
func (s *server) heartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backend == nil {
		return
	}
	s.seq++
	s.w.store.PutServer(platformtest.Server{
		ID:       s.id,
		Address:  s.proxy.Address(),
		Born:     s.startedAt,
		Service:  serviceName,
		Draining: s.draining,
		Seq:      s.seq,
	})
	s.listed, s.lastHeartbeat = true, time.Now()
}

// removeExpired removes the entry of a server that is down and has sent no heartbeat
// for heartbeatExpiry.
func (s *server) removeExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listed && s.backend == nil && time.Since(s.lastHeartbeat) > heartbeatExpiry {
		s.listed = false
		s.w.store.RemoveServer(s.id)
	}
}

func (s *server) close() {
	s.crash()
	s.proxy.Close()
}

// runHeartbeats sends the heartbeats of all backend servers and removes expired
// entries until ctx ends.
func (w *world) runHeartbeats(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		for _, s := range w.servers {
			s.heartbeat()
			s.removeExpired()
		}
	}
}
