// Package directory holds what is known of the backend servers: one entry a
// server, folded from the store's records in the order of their offsets.
package directory

import (
	"sort"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// State tells whether a backend server takes new work.
type State string

// The states of a backend server.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Server is one backend server as it describes itself.
type Server struct {
	Holder  keyrange.Holder `json:"holder"`
	Service string          `json:"service"`
	Address string          `json:"address"` // IP:port
	Domain  string          `json:"domain"`  // failure domain
	Slots   int             `json:"slots"`   // requests it runs at the same time
	State   State           `json:"state"`
	// Cold is how long the server stays slow after its start, as of its last entry.
	Cold time.Duration `json:"cold,omitempty"`
}

// Change is one record about a server. A nil Server means that the entry is
// gone or names no server that can be used.
type Change struct {
	ID     string  `json:"id"`
	Server *Server `json:"server,omitempty"`
}

// Snapshot is the directory as of an offset. It is immutable.
type Snapshot struct {
	Next    uint64   `json:"next"` // offset of the first record that is not folded in
	Servers []Server `json:"servers"`
	// Changed is the offset after the last record that changed more than a
	// server's remaining cold time.
	Changed uint64 `json:"changed"`

	recent []stamped // the last changes, oldest first
	oldest uint64    // recent holds every change after this offset
}

// recentChanges bounds the changes that a snapshot remembers.
const recentChanges = 400

// stamped is a change with the value of Changed that it led to.
type stamped struct {
	at     uint64
	change Change
}

// Delta is what has changed since an earlier snapshot.
type Delta struct {
	Base    uint64   `json:"base"` // Changed of the earlier snapshot
	Next    uint64   `json:"next"`
	Changed uint64   `json:"changed"`
	Changes []Change `json:"changes"`
}

// Since returns what has changed since the snapshot with an earlier value of
// Changed, or nil when that is not remembered.
func (s *Snapshot) Since(base uint64) *Delta {
	if base == 0 || base < s.oldest {
		return nil
	}
	d := &Delta{Base: base, Next: s.Next, Changed: s.Changed}
	for _, r := range s.recent {
		if r.at > base {
			d.Changes = append(d.Changes, r.change)
		}
	}
	return d
}

// Apply returns the snapshot after d, or nil when d builds on another one.
func (s *Snapshot) Apply(d *Delta) *Snapshot {
	if d.Base != s.Changed {
		return nil
	}
	out := s.Fold(d.Changes, max(d.Next, s.Next))
	out.Changed = d.Changed
	return out
}

// Find returns the server with an id, or nil.
func (s *Snapshot) Find(id string) *Server {
	if s == nil {
		return nil
	}
	i := sort.Search(len(s.Servers), func(i int) bool { return s.Servers[i].Holder.ID >= id })
	if i == len(s.Servers) || s.Servers[i].Holder.ID != id {
		return nil
	}
	return &s.Servers[i]
}

// Fold returns the snapshot after the changes up to the offset next.
func (s *Snapshot) Fold(changes []Change, next uint64) *Snapshot {
	if next <= s.Next && len(changes) == 0 {
		return s
	}
	servers := make(map[string]Server, len(s.Servers)+len(changes))
	for _, v := range s.Servers {
		servers[v.Holder.ID] = v
	}
	out := &Snapshot{Next: next, Changed: s.Changed, recent: s.recent, oldest: s.oldest}
	for _, c := range changes {
		if apply(servers, c) {
			// A lapse that is applied late has no record of its own.
			out.Changed = max(next, out.Changed+1)
			out.remember(stamped{out.Changed, c})
		}
	}
	out.Servers = sorted(servers)
	return out
}

// remember keeps a change among the recent ones.
func (s *Snapshot) remember(c stamped) {
	s.recent = append(s.recent[:len(s.recent):len(s.recent)], c)
	if extra := len(s.recent) - recentChanges; extra > 0 {
		s.oldest = s.recent[extra-1].at
		s.recent = s.recent[extra:]
	}
}

// Reload returns the snapshot that holds exactly the given servers.
func (s *Snapshot) Reload(all []Change, next uint64) *Snapshot {
	servers := make(map[string]Server, len(all))
	for _, c := range all {
		apply(servers, c)
	}
	return &Snapshot{Next: next, Changed: next, Servers: sorted(servers), oldest: next}
}

// Keep adds the servers of old that s lacks, for the time after an outage in
// which living servers may not have written their entries again.
func (s *Snapshot) Keep(old *Snapshot) *Snapshot {
	servers := make(map[string]Server, len(s.Servers))
	for _, v := range old.Servers {
		servers[v.Holder.ID] = v
	}
	for _, v := range s.Servers {
		servers[v.Holder.ID] = v
	}
	return &Snapshot{Next: s.Next, Changed: s.Changed, Servers: sorted(servers), recent: s.recent, oldest: s.oldest}
}

// apply reports whether c changed more than the remaining cold time.
func apply(servers map[string]Server, c Change) bool {
	old, known := servers[c.ID]
	if c.Server == nil {
		delete(servers, c.ID)
		return known
	}
	v := *c.Server
	servers[c.ID] = v
	old.Cold, v.Cold = 0, 0
	return !known || old != v
}

func sorted(servers map[string]Server) []Server {
	out := make([]Server, 0, len(servers))
	for _, v := range servers {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Holder.ID < out[j].Holder.ID })
	return out
}
