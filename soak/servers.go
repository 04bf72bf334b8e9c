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
	// beatEvery is the pause between the entries of a backend server, lapseTime the
	// silence after which its entry is removed.
	beatEvery = 500 * time.Millisecond
	lapseTime = 2400 * time.Millisecond
	// stock is the service of all backend servers.
	stock = "stock"
	// firstServer is the number of the first server's loopback address.
	firstServer = 100
	// workTime is how long a request takes.
	workTime = 60 * time.Millisecond
)

// server is a backend server behind a proxy. It keeps its address and id over its
// lives; a new life holds nothing of before.
type server struct {
	w     *world
	id    string
	proxy *Proxy
	inner string // where it listens

	mu       sync.Mutex
	life     *platformtest.Backend // nil while it is down
	http     *http.Server
	born     int64
	seq      int
	draining bool
	drainAt  time.Time // when its leaving was acknowledged
	listed   bool
	seen     time.Time // of its last entry

	takes sync.Mutex // held by the fault of the process that is in force
}

func newServer(w *world, i int) (*server, error) {
	s := &server{w: w, id: fmt.Sprintf("s-%d", i)}
	s.inner = address(w.cfg.Seed, firstServer+i, trafficPort)
	var err error
	if s.proxy, err = NewProxy(s.inner); err != nil {
		return nil, err
	}
	if err := s.launch(); err != nil {
		return nil, err
	}
	s.beat()
	return s, nil
}

// launch begins a life.
func (s *server) launch() error {
	lis, err := net.Listen("tcp", s.inner)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	life := platformtest.NewBackend(s.id)
	life.ResponseDelay = workTime
	life.OnRequestStart = func(key uint64) { s.w.ledger.began(s, life, key) }
	s.life, s.born, s.seq, s.draining = life, time.Now().UnixMilli(), 0, false
	s.http = &http.Server{Handler: life}
	server := s.http
	go func() { _ = server.Serve(lis) }() // ends when it is closed
	s.w.ledger.lived(s, life)
	return nil
}

// crash ends the life at once.
func (s *server) crash() {
	s.mu.Lock()
	life, server := s.life, s.http
	s.life = nil
	s.mu.Unlock()
	if life == nil {
		return
	}
	s.w.ledger.died(life)
	_ = server.Close() // its connections end
}

// drain says that the server leaves, and ends its life some time later.
func (s *server) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.beat()
	s.mu.Lock()
	s.drainAt = time.Now()
	s.mu.Unlock()
}

// leavingSince returns when the store took the server's leaving, zero for none.
func (s *server) leavingSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining {
		return time.Time{}
	}
	return s.drainAt
}

func (s *server) current() *platformtest.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life
}

// beat writes the server's entry to the store.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life == nil {
		return
	}
	s.seq++
	s.w.store.PutServer(platformtest.Server{
		ID:       s.id,
		Address:  s.proxy.Address(),
		Born:     s.born,
		Service:  stock,
		Draining: s.draining,
		Seq:      s.seq,
	})
	s.listed, s.seen = true, time.Now()
}

// lapse removes the entry of a server that has been silent.
func (s *server) lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listed && s.life == nil && time.Since(s.seen) > lapseTime {
		s.listed = false
		s.w.store.RemoveServer(s.id)
	}
}

func (s *server) close() {
	s.crash()
	s.proxy.Close()
}

// heartbeats writes and removes the entries of backend servers.
func (w *world) heartbeats(ctx context.Context) {
	t := time.NewTicker(beatEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		for _, s := range w.servers {
			s.beat()
			s.lapse()
		}
	}
}
