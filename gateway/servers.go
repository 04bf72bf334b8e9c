package gateway

import (
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
	"github.com/lacewingsaddle/lacewingsaddle/upstream"
)

const (
	// initialLatency is a server's assumed latency before its first response.
	initialLatency = 250 * time.Millisecond
	// latencyWeight is the weight of the latest latency in the moving average.
	latencyWeight = 0.15
	// failureWeight is the weight of the latest outcome in the failure rate.
	failureWeight = 0.2
	// minConnections is the lower bound of a host's connections to one server.
	minConnections = 3
	// spareConnections may be opened beyond the concurrency limit while old
	// connections are being closed.
	spareConnections = 2
	// connectionShare is the share of a server's connections that hosts use for
	// requests; the rest is reserved for grants and for hosts that start.
	connectionShare = 0.85
	// defaultConnections is a host's connections to one server if the configuration
	// sets no limit.
	defaultConnections = 64
)

// server is this host's state of one backend server.
type server struct {
	directory.Server
	conns   *upstream.Server
	limiter *limiter
	// admitter admits the share of the requests that the assigner allows.
	admitter *admitter

	mu             sync.Mutex
	outstanding    int
	averageLatency time.Duration // moving average of response times
	failures       float64       // moving average of the failure rate, 0 to 1
	sheddingUntil  time.Time     // set when it sheds load; its cost is raised until then
}

// serverStats is a copy of the values that the choice of a server depends on.
type serverStats struct {
	outstanding int
	average     time.Duration
	failures    float64
	shedding    bool
}

// stats returns the values that the choice of a server depends on.
func (s *server) stats(now time.Time) serverStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return serverStats{s.outstanding, s.averageLatency, s.failures, now.Before(s.sheddingUntil)}
}

// requestStarted records that a request is about to be sent.
func (s *server) requestStarted() {
	s.mu.Lock()
	s.outstanding++
	s.mu.Unlock()
}

// requestEnded records the outcome of a request.
func (s *server) requestEnded(took time.Duration, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
	outcome := 0.0
	if failed {
		outcome = 1
	} else {
		s.averageLatency += time.Duration(latencyWeight * float64(took-s.averageLatency))
	}
	s.failures += failureWeight * (outcome - s.failures)
}

// requestWithdrawn records that a request was not sent after all.
func (s *server) requestWithdrawn() {
	s.mu.Lock()
	s.outstanding--
	s.mu.Unlock()
}

// markShedding records that the server shed load.
func (s *server) markShedding(until time.Time) {
	s.mu.Lock()
	s.sheddingUntil = until
	s.mu.Unlock()
}

// servers holds the known backend servers by holder: a server that was restarted
// is a new holder and has new state.
type servers struct {
	dial    upstream.Dialer
	buffers *upstream.Buffers
	guard   func(keyrange.Holder) upstream.Guard
	mu      sync.Mutex
	all     map[keyrange.Holder]*server
}

func newServers(dial upstream.Dialer, buffers *upstream.Buffers, guard func(keyrange.Holder) upstream.Guard) *servers {
	return &servers{dial: dial, buffers: buffers, guard: guard, all: map[keyrange.Holder]*server{}}
}

// get returns the state of a server of the directory, and creates it if needed.
func (s *servers) get(v *directory.Server, limit int) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.all[v.Holder]
	if known == nil || known.Address != v.Address {
		known = s.newServer(v, limit)
		s.all[v.Holder] = known
	}
	known.conns.SetLimit(limit + spareConnections)
	known.limiter.setCeiling(limit)
	return known
}

// newServer returns the state of a server to which no request was sent yet.
func (s *servers) newServer(v *directory.Server, limit int) *server {
	out := &server{
		Server:         *v,
		conns:          upstream.NewServer(v.Address, limit, s.dial, s.buffers),
		limiter:        newLimiter(limit),
		admitter:       newAdmitter(),
		averageLatency: initialLatency,
	}
	out.conns.SetGuard(s.guard(v.Holder))
	return out
}

// find returns the state of a server, or nil if no request was sent to it.
func (s *servers) find(h keyrange.Holder) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[h]
}

// sweep closes connections that have been idle too long and removes servers that
// are no longer listed and have no requests, neither in flight nor waiting.
func (s *servers) sweep(now time.Time, listed *directory.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for h, v := range s.all {
		v.conns.Trim(now)
		if !s.guard(h).KeepsIdle() {
			v.conns.Close()
		}
		if listed.Lists(h) {
			continue
		}
		v.conns.Close()
		if v.limiter.isIdle() {
			delete(s.all, h)
		}
	}
}

// close closes every idle connection.
func (s *servers) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.all {
		v.conns.Close()
	}
}

// connectionLimit is this host's share of a server's connections.
func connectionLimit(maxConns, hosts int) int {
	if maxConns <= 0 {
		return defaultConnections
	}
	return max(int(connectionShare*float64(maxConns))/max(hosts, 1), minConnections)
}
