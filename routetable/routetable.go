// Package routetable holds the routes in force: which service a request goes to,
// whether it may be retried, and the limits on what a caller may send.
package routetable

import (
	"net"
	"sort"
	"strings"
	"time"
)

// Kind says whether a request may run more than once.
type Kind uint8

// The kinds of request.
const (
	Idempotent Kind = iota // may run more than once
	Once                   // runs at most once
	Upload                 // runs at most once, with a large body
)

// WeightedService is one service's share of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route is the rule for requests to one host and path prefix.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Kind     Kind
	Timeout  time.Duration     // maximum time until a request is answered
	Target   time.Duration     // latency target
	Attempts int               // maximum number of different backend servers that one request is sent to
	Priority int               // 0 is the most urgent
	Split    []WeightedService // at least one
}

// Service is a set of backend servers.
type Service struct {
	Name     string
	Sharded  bool // each key has one owner among the servers
	MaxConns int  // connections that one server accepts in total
}

// Limits bound a caller's connections and requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration, indexed by host. It is immutable.
type Table struct {
	Version    uint64
	Services   []Service
	Limits     Limits
	RouteCount int
	hosts      map[string][]*Route // longest prefix first
}

// New builds the table of a version.
func New(version uint64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{Version: version, Services: services, Limits: limits, RouteCount: len(routes)}
	t.hosts = make(map[string][]*Route)
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &routes[i])
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Match returns the route of the host with the longest prefix that matches path, or
// nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service {
	if t == nil {
		return nil
	}
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i]
		}
	}
	return nil
}

// hostName normalizes a Host header: it removes the port and a final dot, and
// converts the name to lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
