package backend

import (
	"context"
	"net"
	"sync"

	"github.com/lacewingsaddle/lacewingsaddle/detect"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

// Dialer opens a connection to a backend server.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// serverKey identifies one server of one service.
type serverKey struct {
	service string
	server  string
}

// setEntry is a server and the settings that it was built from.
type setEntry struct {
	server *Server
	spec   profile.Server
	limits profile.Limits
}

// Set holds every backend server that the catalog declares.
// It is safe for concurrent use.
type Set struct {
	dial     Dialer
	observer detect.Observer
	mu       sync.Mutex
	servers  map[serverKey]setEntry
}

// NewSet returns an empty set. A nil dial means plain TCP.
func NewSet(dial Dialer) *Set {
	if dial == nil {
		d := &net.Dialer{Timeout: dialTimeout}
		dial = d.DialContext
	}
	return &Set{dial: dial, servers: map[serverKey]setEntry{}}
}

// SetObserver reports every contact with a backend server to o. It must be called
// before the first call of Servers.
func (s *Set) SetObserver(o detect.Observer) { s.observer = o }

// Servers returns the servers of a service under its profile, in the order the
// service declares them. A server whose declaration or limits have changed is
// replaced; requests in flight to the old one continue.
func (s *Set) Servers(service profile.Service, p profile.Profile) []*Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Server, 0, len(service.Servers))
	for _, spec := range service.Servers {
		out = append(out, s.ensure(serverKey{service: service.Name, server: spec.ID}, spec, p))
	}
	return out
}

// ensure returns the server with a key, built anew when its settings changed.
func (s *Set) ensure(k serverKey, spec profile.Server, p profile.Profile) *Server {
	old, ok := s.servers[k]
	if ok && old.spec == spec && old.limits == p.Limits {
		return old.server
	}
	if ok {
		old.server.close()
	}
	next := newServer(k.service, spec, p, s)
	s.servers[k] = setEntry{server: next, spec: spec, limits: p.Limits}
	return next
}

// Outstanding returns the number of requests that hold a slot at a server.
func (s *Set) Outstanding(service, server string) int {
	s.mu.Lock()
	e, ok := s.servers[serverKey{service: service, server: server}]
	s.mu.Unlock()
	if !ok {
		return 0
	}
	used, _ := e.server.Limiter.Outstanding()
	return used
}

// Close closes every idle connection.
func (s *Set) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.servers {
		e.server.close()
	}
}
