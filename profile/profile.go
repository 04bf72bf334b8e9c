// Package profile holds the types of services and profiles, their defaults,
// strict parsing and validation, and the catalog that is built from the records
// of the profile stream.
package profile

import "time"

// RequestKind determines whether a request may be retried and hedged.
type RequestKind string

const (
	Lookup RequestKind = "lookup" // idempotent, may be retried and hedged
	Order  RequestKind = "order"  // runs at most once, unless its rule is idempotent
	Upload RequestKind = "upload" // streamed body, runs at most once
)

// KeySource is the part of a request that holds its key.
type KeySource string

const (
	KeyFromPath   KeySource = "path"
	KeyFromHeader KeySource = "header"
	KeyFromQuery  KeySource = "query"
	KeyFromBody   KeySource = "body"
)

// Key configures how the key of a request is extracted.
type Key struct {
	From    KeySource `yaml:"from" json:"from"`
	Name    string    `yaml:"name,omitempty" json:"name,omitempty"`       // header, query parameter or JSON field
	Segment int       `yaml:"segment,omitempty" json:"segment,omitempty"` // path segment, counted from 1
}

// Rule configures how requests with certain methods and paths are handled. The
// first matching rule applies.
type Rule struct {
	Methods    []string      `yaml:"methods,omitempty" json:"methods,omitempty"`
	PathPrefix string        `yaml:"path_prefix,omitempty" json:"path_prefix,omitempty"`
	Kind       RequestKind   `yaml:"kind" json:"kind"`
	Timeout    time.Duration `yaml:"timeout" json:"timeout"`
	Idempotent bool          `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
	// StaleAllowed permits lookups to be routed without a valid view lease, so
	// by a view that may be outdated.
	StaleAllowed bool `yaml:"stale_allowed,omitempty" json:"stale_allowed,omitempty"`
	Hedge        bool `yaml:"hedge,omitempty" json:"hedge,omitempty"`
}

// ClaimFallback is what happens to an order when a host that has to record its
// claim cannot be asked.
type ClaimFallback string

const (
	ClaimRefuse ClaimFallback = "refuse" // reject the order
	ClaimSend   ClaimFallback = "send"   // send the order although a duplicate may go undetected
)

// Duplicates configures the detection of duplicates among orders with an
// Idempotency-Key header.
type Duplicates struct {
	Window   time.Duration `yaml:"window" json:"window"`
	Fallback ClaimFallback `yaml:"fallback" json:"fallback"`
}

// Limits bounds the load on one backend server and the size of messages.
type Limits struct {
	Slots       int `yaml:"slots" json:"slots"`             // concurrent requests per backend server
	Connections int `yaml:"connections" json:"connections"` // open connections per backend server
	Queue       int `yaml:"queue" json:"queue"`             // requests waiting per entry host and backend server
	AnswerBytes int `yaml:"answer_bytes" json:"answer_bytes"`
	BodyBytes   int `yaml:"body_bytes" json:"body_bytes"` // maximum request body of lookups and orders
}

// Retry configures retries of lookups and of requests that no backend server
// has executed.
type Retry struct {
	Budget   float64 `yaml:"budget" json:"budget"` // maximum ratio of retries to requests, 0 to 1
	Attempts int     `yaml:"attempts" json:"attempts"`
}

// Ownership configures the trade-off between churn of shard ownership and
// unavailability.
type Ownership struct {
	Shards         int           `yaml:"shards" json:"shards"`
	FailoverAfter  time.Duration `yaml:"failover_after" json:"failover_after"`     // time without an answer before a server is suspected to have failed
	MaxImbalance   float64       `yaml:"max_imbalance" json:"max_imbalance"`       // allowed ratio of largest to mean load
	MovesPerMinute int           `yaml:"moves_per_minute" json:"moves_per_minute"` // budget of planned moves
	MinRest        time.Duration `yaml:"min_rest" json:"min_rest"`                 // minimum time between moves of one shard
	Successors     int           `yaml:"successors" json:"successors"`             // successors per shard
	SlowStart      time.Duration `yaml:"slow_start" json:"slow_start"`
	MaxPins        int           `yaml:"max_pins" json:"max_pins"`
}

// Health configures the health probes of backend servers.
type Health struct {
	Path     string        `yaml:"path" json:"path"`
	Interval time.Duration `yaml:"interval" json:"interval"`
	Timeout  time.Duration `yaml:"timeout" json:"timeout"`
}

// Profile configures how requests to one kind of service are handled.
type Profile struct {
	Name       string     `yaml:"name" json:"name"`
	Key        *Key       `yaml:"key,omitempty" json:"key,omitempty"` // nil: requests are not sharded by key
	Rules      []Rule     `yaml:"rules" json:"rules"`
	Limits     Limits     `yaml:"limits" json:"limits"`
	Retry      Retry      `yaml:"retry" json:"retry"`
	Duplicates Duplicates `yaml:"duplicates" json:"duplicates"`
	Ownership  Ownership  `yaml:"ownership" json:"ownership"`
	Health     Health     `yaml:"health" json:"health"`
}

// Server is one backend server of a service.
type Server struct {
	ID      string `yaml:"id" json:"id"`
	Address string `yaml:"address" json:"address"` // IP and port
	Domain  string `yaml:"domain" json:"domain"`
}

// Service is a set of backend servers that share a path prefix and a profile.
type Service struct {
	Name         string   `yaml:"name" json:"name"`
	Profile      string   `yaml:"profile" json:"profile"`
	PathPrefix   string   `yaml:"path_prefix" json:"path_prefix"`
	ChecksGrants bool     `yaml:"checks_grants" json:"checks_grants"`
	EchoesID     bool     `yaml:"echoes_id" json:"echoes_id"` // the servers echo the request id
	Servers      []Server `yaml:"servers" json:"servers"`
}

// Default returns a profile with the default of every field and no rules.
func Default(name string) Profile {
	return Profile{
		Name: name,
		Limits: Limits{
			Slots:       4,
			Connections: 60,
			Queue:       256,
			AnswerBytes: 1 << 20,
			BodyBytes:   1 << 20,
		},
		Retry:      Retry{Budget: 0.2, Attempts: 3},
		Duplicates: Duplicates{Window: 10 * time.Minute, Fallback: ClaimRefuse},
		Ownership: Ownership{
			Shards:         1024,
			FailoverAfter:  300 * time.Millisecond,
			MaxImbalance:   1.15,
			MovesPerMinute: 60,
			MinRest:        time.Minute,
			Successors:     2,
			SlowStart:      10 * time.Second,
			MaxPins:        64,
		},
		Health: Health{Path: "/-/health", Interval: time.Second, Timeout: 250 * time.Millisecond},
	}
}
