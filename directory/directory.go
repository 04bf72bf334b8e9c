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
	// Seq numbers the entries of one life. An entry with a lower number is an old
	// one that arrived late.
	Seq uint64 `json:"seq"`
}

// olderThan reports whether v was written before w.
func (v Server) olderThan(w Server) bool {
	return v.Holder.StartedMS < w.Holder.StartedMS || v.Holder.StartedMS == w.Holder.StartedMS && v.Seq < w.Seq
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
	// Version counts the changes of more than a server's remaining cold time, in
	// the order in which one host learnt of them. Two hosts count alike only where
	// one has told the other.
	Version Version `json:"version"`

	recent []stamped // the last changes, oldest first
	oldest uint64    // recent holds every change after this one
	// before is the last version under an earlier assigner, whose count went on.
	before Version
	// departed holds the last entries of servers that were removed, so that an old
	// entry that arrives late does not bring them back.
	departed []Server
}

// departedKept bounds the removed servers that a snapshot remembers.
const departedKept = 500

// Version names a state of the directory.
type Version struct {
	Epoch  uint64 `json:"epoch"` // of the assigner that counts; 0 for a host's own count
	Change uint64 `json:"change"`
}

// recentChanges bounds the changes that a snapshot remembers.
const recentChanges = 400

// stamped is a change with its number.
type stamped struct {
	at     uint64
	change Change
}

// Delta is what has changed since an earlier snapshot.
type Delta struct {
	Base    Version  `json:"base"`
	Next    uint64   `json:"next"`
	Version Version  `json:"version"`
	Changes []Change `json:"changes"`
}

// Since returns what has changed since an earlier version, or nil when that is
// not known.
func (s *Snapshot) Since(base Version) *Delta {
	known := base.Epoch == s.Version.Epoch || base.Epoch == s.before.Epoch && base.Epoch != 0 && base.Change <= s.before.Change
	if !known || base.Change < s.oldest {
		return nil
	}
	d := &Delta{Base: base, Next: s.Next, Version: s.Version}
	for _, r := range s.recent {
		if r.at > base.Change {
			d.Changes = append(d.Changes, r.change)
		}
	}
	return d
}

// Apply returns the snapshot after d, or nil when d builds on another one.
func (s *Snapshot) Apply(d *Delta) *Snapshot {
	if d.Base != s.Version {
		return nil
	}
	out := s.Fold(d.Changes, max(d.Next, s.Next))
	out.Version = d.Version
	return out
}

// WithEpoch returns the snapshot as counted by the assigner of an epoch. Its count
// goes on from the earlier assigner's, so that hosts that know that one need only
// the changes. A host's own count says nothing to others.
func (s *Snapshot) WithEpoch(epoch uint64) *Snapshot {
	out := *s
	if out.Version.Epoch == epoch {
		return &out
	}
	out.before = s.Version
	if epoch == 0 || s.Version.Epoch == 0 {
		out.before = Version{}
		out.oldest = out.Version.Change
	}
	out.Version.Epoch = epoch
	return &out
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
	f := newFolder(s)
	out := &Snapshot{Next: next, Version: s.Version, recent: s.recent, oldest: s.oldest, before: s.before}
	for _, c := range changes {
		if f.apply(c) {
			out.Version.Change++
			out.remember(stamped{out.Version.Change, c})
		}
	}
	out.Servers, out.departed = f.result()
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

// Reload returns the snapshot that holds exactly the given servers. An entry that
// is older than what s knows of the server does not count.
func (s *Snapshot) Reload(all []Change, next uint64) *Snapshot {
	listed := make(map[string]bool, len(all))
	for _, c := range all {
		listed[c.ID] = true
	}
	changes := all
	for _, v := range s.Servers {
		if !listed[v.Holder.ID] {
			changes = append(changes, Change{ID: v.Holder.ID})
		}
	}
	out := *s.Fold(changes, next)
	out.Next = next
	return &out
}

// Merge returns the snapshot with the given servers beside those that it has, for
// the time after an outage in which living servers may not have written their
// entries again.
func (s *Snapshot) Merge(all []Change, next uint64) *Snapshot {
	out := *s.Fold(all, next)
	out.Next = next
	return &out
}

// folder is a directory while changes are applied to it.
type folder struct {
	servers  map[string]Server
	departed map[string]Server
}

func newFolder(s *Snapshot) *folder {
	f := &folder{servers: make(map[string]Server, len(s.Servers)), departed: make(map[string]Server, len(s.departed))}
	for _, v := range s.Servers {
		f.servers[v.Holder.ID] = v
	}
	for _, v := range s.departed {
		f.departed[v.Holder.ID] = v
	}
	return f
}

// apply reports whether c changed more than the remaining cold time.
func (f *folder) apply(c Change) bool {
	old, known := f.servers[c.ID]
	if c.Server == nil {
		if known {
			f.departed[c.ID] = old
		}
		delete(f.servers, c.ID)
		return known
	}
	v := *c.Server
	if known && v.olderThan(old) {
		return false
	}
	if gone, ok := f.departed[c.ID]; ok && !known && !gone.olderThan(v) {
		return false
	}
	delete(f.departed, c.ID)
	f.servers[c.ID] = v
	old.Cold, v.Cold, old.Seq, v.Seq = 0, 0, 0, 0
	return !known || old != v
}

// result returns the servers and those that have departed, sorted by id.
func (f *folder) result() (servers, departed []Server) {
	if len(f.departed) > departedKept {
		clear(f.departed)
	}
	return sorted(f.servers), sorted(f.departed)
}

func sorted(servers map[string]Server) []Server {
	out := make([]Server, 0, len(servers))
	for _, v := range servers {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Holder.ID < out[j].Holder.ID })
	return out
}
