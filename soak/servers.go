package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

const (
	// serviceName is the service of all backend servers.
	serviceName = "stock"
	// firstServerIndex is the index of the first server's loopback address.
	firstServerIndex = 100
	// requestDuration is how long a server takes to run a request.
	requestDuration = 60 * time.Millisecond
)

// server is a backend server behind a proxy.
type server struct {
	w        *world
	id       string
	proxy    *Proxy
	instance *platformtest.Instance

	mu           sync.Mutex
	draining     bool
	drainAckedAt time.Time // when the store acknowledged that it drains

	faultMu sync.Mutex // held while a fault of the server is in force
}

func newServer(w *world, i int) (*server, error) {
	s := &server{w: w, id: fmt.Sprintf("s-%d", i)}
	listen := w.cfg.address(firstServerIndex+i, trafficPort)
	var err error
	if s.proxy, err = NewProxy(listen); err != nil {
		return nil, err
	}
	s.instance = &platformtest.Instance{
		ID:      s.id,
		Service: serviceName,
		Store:   w.store,
		Listen:  listen,
		Address: s.proxy.Address(),
		OnStart: s.begin,
		OnEnd:   w.ledger.removeBackend,
	}
	return s, s.instance.Start()
}

// begin prepares a backend that is about to serve.
func (s *server) begin(backend *platformtest.Backend) {
	backend.ResponseDelay = requestDuration
	s.watch(backend)
	s.mu.Lock()
	s.draining = false
	s.mu.Unlock()
	s.w.ledger.addBackend(s, backend)
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
func (s *server) crash() { s.instance.Crash() }

// drain publishes that the server is draining. The server goes on serving.
func (s *server) drain() {
	s.instance.Drain()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.drainAckedAt = true, time.Now()
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

func (s *server) currentBackend() *platformtest.Backend { return s.instance.Backend() }

func (s *server) close() {
	s.crash()
	s.proxy.Close()
}

// runHeartbeats sends the heartbeats of all backend servers and removes expired
// entries until ctx ends.
func (w *world) runHeartbeats(ctx context.Context) {
	var instances []*platformtest.Instance
	for _, s := range w.servers {
		instances = append(instances, s.instance)
	}
	platformtest.RunHeartbeats(ctx, instances)
}
