// Package keyserver is a stand-in for a backend server that owns keys. It follows
// docs/PROTOCOLS.md, fails on demand and keeps a ledger of every run.
package keyserver

import (
	"encoding/json"
	"io"
	"log"
	"net/http"
	"sync"
	"time"
)

const maxBodyBytes = 64 << 20

// discardLog drops the HTTP server's messages on connections cut on purpose.
var discardLog = log.New(io.Discard, "", 0)

// Traits are a server's properties. They may change while it runs.
type Traits struct {
	ServiceMS    float64 `json:"service_ms"`  // how long a request takes
	Slots        int     `json:"slots"`       // requests that run at a time; 0 means no bound
	Queue        int     `json:"queue"`       // requests that wait for a slot before shedding
	Connections  int     `json:"connections"` // limit of open connections, in force from the next start; 0 means none
	ConnCostMS   float64 `json:"conn_cost_ms"`
	ProbeMS      float64 `json:"probe_ms"`      // how long a health probe takes
	ColdStartMS  float64 `json:"cold_start_ms"` // for this long after a start requests are refused as starting
	WarmUpMS     float64 `json:"warm_up_ms"`    // then requests are slower for this long
	WarmUpFactor float64 `json:"warm_up_factor"`
	ChecksGrants bool    `json:"checks_grants"`
	EchoID       bool    `json:"echo_id"`
	KeySegment   int     `json:"key_segment"` // path segment that holds the key, counted from 1; 0 means none
	// IgnoresCancel lets requests continue after their caller has disconnected.
	IgnoresCancel bool `json:"ignores_cancel"`
	// IgnoresDeadline lets requests start after their deadline.
	IgnoresDeadline bool         `json:"ignores_deadline"`
	Shedding        bool         `json:"shedding"` // every request is refused as overloaded
	Drain           Drain        `json:"drain"`
	Health          HealthFaults `json:"health"`
}

// Drain is the draining state of a server.
type Drain string

// The draining states.
const (
	NotDraining Drain = ""
	Announcing  Drain = "announcing" // health reports draining, new requests still run
	Draining    Drain = "draining"   // new requests are refused, running ones continue
)

// HealthFaults are the errors in what the health endpoint reports.
type HealthFaults struct {
	LagMS int `json:"lag_ms"` // age of the reported health
	// State, when set, is reported in place of the actual state; "down" responds
	// with 503.
	State    string `json:"state"`
	InFlight *int   `json:"in_flight,omitempty"` // reported in place of the actual count
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (t Traits) connCost() time.Duration { return milliseconds(t.ConnCostMS) }

// Config holds a server's identity and traits.
type Config struct {
	ID     string
	EchoID bool // sets Traits.EchoID
	Traits Traits
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	id string

	mu            sync.Mutex
	traits        Traits
	process       *process
	stopProcess   func() // ends the process; nil when it does not run
	addr          string
	started       time.Time
	grants        map[string]*grant // by service
	highestTokens highestTokens
	ledger        []Run
	running       int
	waiting       int
	slotFreed     chan struct{} // closed and replaced when a slot becomes free
	traitsChanged chan struct{} // closed and replaced when the traits change
	samples       []healthSample
	refusals      map[string]int // by reason
}

// New returns a server that is not listening; it may be used as a handler.
func New(cfg Config) *Server {
	traits := cfg.Traits
	traits.EchoID = traits.EchoID || cfg.EchoID
	return &Server{
		id:            cfg.ID,
		traits:        traits,
		process:       newProcess(0, 0),
		started:       time.Now(),
		grants:        map[string]*grant{},
		highestTokens: newHighestTokens(),
		slotFreed:     make(chan struct{}),
		traitsChanged: make(chan struct{}),
		refusals:      map[string]int{},
	}
}

// ID returns the server's id.
func (s *Server) ID() string { return s.id }

// Traits returns the current traits.
func (s *Server) Traits() Traits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.traits
}

// SetTraits replaces the traits.
func (s *Server) SetTraits(t Traits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.traits = t
	s.recordHealth()
	s.signalSlotFreed()
	close(s.traitsChanged)
	s.traitsChanged = make(chan struct{})
}

// ServeHTTP implements http.Handler within the server's current process.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.processHandler(s.currentProcess()).ServeHTTP(w, r)
}

// processHandler returns the handler of one process.
func (s *Server) processHandler(p *process) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /-/grants", s.serveGrants)
	mux.HandleFunc("GET /-/health", s.serveHealth)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.serveRequest(p, w, r) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !p.waitThawed(nil) {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
