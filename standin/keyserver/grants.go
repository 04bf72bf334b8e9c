package keyserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ShardToken is one shard of a grant with its fencing token.
type ShardToken struct {
	Shard uint64 `json:"s"`
	Token uint64 `json:"t"`
}

// KeyToken is one pinned key of a grant with its fencing token.
type KeyToken struct {
	Key   string `json:"k"`
	Token uint64 `json:"t"`
}

// GrantRequest is the body of PUT /-/grants. A renewal has neither Shards nor Keys.
// With Boot, the grant ends at EndMS on the clock of that process at the latest.
type GrantRequest struct {
	Service string       `json:"service"`
	Epoch   uint64       `json:"epoch"`
	TTLMS   int64        `json:"ttl_ms"`
	Boot    string       `json:"boot"`
	EndMS   int64        `json:"end_ms"`
	Shards  []ShardToken `json:"shards"`
	Keys    []KeyToken   `json:"keys"`
}

func (g GrantRequest) renewal() bool { return g.Shards == nil && g.Keys == nil }

// GrantAnswer is the response to a grant: why it was rejected, and the server's
// clock, in milliseconds since the start of the process that Boot names.
type GrantAnswer struct {
	Error   string `json:"error,omitempty"`
	Boot    string `json:"boot"`
	ClockMS int64  `json:"clock_ms"`
}

// grant is the newest grant of one service.
type grant struct {
	epoch  uint64 // highest ever seen
	until  time.Time
	shards map[uint64]uint64
	keys   map[string]uint64
}

// highestTokens holds the highest fencing token ever seen for each shard and pinned
// key. It outlives grants and restarts.
type highestTokens struct {
	shards map[uint64]uint64
	keys   map[string]uint64
}

func newHighestTokens() highestTokens {
	return highestTokens{shards: map[uint64]uint64{}, keys: map[string]uint64{}}
}

func (s *Server) serveGrants(w http.ResponseWriter, r *http.Request) {
	var in GrantRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	status, reason := s.grant(in)
	boot, clock := s.clock()
	writeJSON(w, status, GrantAnswer{Error: reason, Boot: boot, ClockMS: clock.Milliseconds()})
}

// clock returns the name of the current process and the time since its start.
func (s *Server) clock() (boot string, since time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boot(), time.Since(s.started)
}

// boot names the current process. The caller holds mu.
func (s *Server) boot() string { return strconv.FormatInt(s.started.UnixNano(), 36) }

// grant applies a grant request, with its times on the server's own clock. It
// returns the status of the response and, for a rejection, the reason.
func (s *Server) grant(in GrantRequest) (status int, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.grants[in.Service]
	if held != nil && in.Epoch < held.epoch {
		return http.StatusConflict, "stale-epoch"
	}
	if in.Boot != "" && in.Boot != s.boot() {
		return http.StatusPreconditionFailed, "unknown-clock"
	}
	now := time.Now()
	// A grant that has ended cannot be renewed: a renewal that a frozen server
	// reads late must not revive it.
	if in.renewal() && (held == nil || held.epoch != in.Epoch || !now.Before(held.until)) {
		return http.StatusPreconditionFailed, "unknown-epoch"
	}
	if !in.renewal() {
		held = s.replaceGrant(in)
	}
	held.until = now.Add(time.Duration(in.TTLMS) * time.Millisecond)
	if end := s.started.Add(time.Duration(in.EndMS) * time.Millisecond); in.Boot != "" && end.Before(held.until) {
		held.until = end
	}
	return http.StatusOK, ""
}

func (s *Server) replaceGrant(in GrantRequest) *grant {
	g := &grant{epoch: in.Epoch, shards: map[uint64]uint64{}, keys: map[string]uint64{}}
	for _, e := range in.Shards {
		g.shards[e.Shard] = e.Token
		s.highestTokens.shards[e.Shard] = max(s.highestTokens.shards[e.Shard], e.Token)
	}
	for _, e := range in.Keys {
		g.keys[e.Key] = e.Token
		s.highestTokens.keys[e.Key] = max(s.highestTokens.keys[e.Key], e.Token)
	}
	s.grants[in.Service] = g
	return g
}

// checkGrant returns why a request with token may not run; empty when it may.
func (s *Server) checkGrant(shard uint64, key string, token uint64, now time.Time) string {
	for _, g := range s.grants {
		if held, pinned := g.keys[key]; pinned {
			return checkToken(token, held, true, s.highestTokens.keys[key], now.Before(g.until))
		}
		if held, ok := g.shards[shard]; ok {
			return checkToken(token, held, true, s.highestTokens.shards[shard], now.Before(g.until))
		}
	}
	return checkToken(token, 0, false, s.highestTokens.shards[shard], false)
}

// checkToken compares a request's token with the one granted and the highest seen.
func checkToken(token, held uint64, granted bool, highest uint64, valid bool) string {
	switch {
	case token < highest:
		return reasonStaleToken
	case !granted || token != held || !valid:
		return reasonNoGrant
	default:
		return ""
	}
}
