package gateway

import (
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
	"github.com/lacewingsaddle/lacewingsaddle/upstream"
)

const (
	// initialLatency is a server's assumed answer time before it has answered.
	initialLatency = 250 * time.Millisecond
	// latencyWeight is the weight of the newest answer time in the average.
	latencyWeight = 0.15
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.2
	// minConnections is the least number of connections to one server.
	minConnections = 3
	// spareConnections may be opened beyond the room at a server, while old ones
	// are being closed.
	spareConnections = 2
	// connectionShare is the part of a server's connections that hosts use for
	// requests; the rest is left for grants and for hosts that start.
	connectionShare = 0.85
)

// server is what this host knows of one backend server.
type server struct {
	directory.Server
	conns   *upstream.Server
	limiter *limiter

	mu             sync.Mutex
	outstanding    int
	averageLatency time.Duration // answer time
	failures       float64       // share of recent requests that failed, 0 to 1
	sheddingUntil  time.Time     // it has shed load until then
}

// serverStats is a copy of what choices depend on.
type serverStats struct {
	outstanding int
	average     time.Duration
	failures    float64
	shedding    bool
}

func (s *server) stats(now time.Time) serverStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return serverStats{s.outstanding, s.averageLatency, s.failures, now.Before(s.sheddingUntil)}
}

func (s *server) requestStarted() {
	s.mu.Lock()
	s.outstanding++
	s.mu.Unlock()
}

// requestEnded notes the outcome of a request that began.
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

// markShedding notes that the server shed load.
func (s *server) markShedding(until time.Time) {
	s.mu.Lock()
	s.sheddingUntil = until
	s.mu.Unlock()
}

// servers holds the known backend servers by their present life.
type servers struct {
	dial upstream.Dialer
	mu   sync.Mutex
	all  map[keyrange.Holder]*server
}

func newServers(dial upstream.Dialer) *servers {
	return &servers{dial: dial, all: map[keyrange.Holder]*server{}}
}

// get returns the state of a listed server.
func (s *servers) get(v *directory.Server, limit int) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.all[v.Holder]
	if known == nil || known.Address != v.Address {
		known = &server{Server: *v, conns: upstream.NewServer(v.Address, limit, s.dial), limiter: newLimiter(limit), averageLatency: initialLatency}
		s.all[v.Holder] = known
	}
	known.conns.SetLimit(limit + spareConnections)
	known.limiter.setCeiling(limit)
	return known
}

// sweep closes connections that are idle for long and forgets servers that are
// not listed any more.
func (s *servers) sweep(now time.Time, listed *directory.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for h, v := range s.all {
		v.conns.Trim(now)
		if l := listed.Find(h.ID); l == nil || l.Holder != h {
			v.conns.Close()
			v.mu.Lock()
			idle := v.outstanding == 0
			v.mu.Unlock()
			if idle {
				delete(s.all, h)
			}
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
		return 64
	}
	return max(int(connectionShare*float64(maxConns))/max(hosts, 1), minConnections)
}
