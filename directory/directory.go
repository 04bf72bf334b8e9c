// Package directory holds the known backend servers: one entry per server, folded from
// the store's records in the order of their offsets.
package directory

import (
	"slices"
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

// Server is the entry that a backend server writes about itself.
type Server struct {
	Holder  keyrange.Holder `json:"holder"`
	Service string          `json:"service"`
	Address string          `json:"address"` // IP:port
	Domain  string          `json:"domain"`  // failure domain
	Slots   int             `json:"slots"`   // number of requests it runs concurrently
	State   State           `json:"state"`
	// Leaving reports that the server has answered that it leaves. It is set by
	// WithLeaving and is no part of the entry.
	Leaving bool `json:"-"`
	// Cold is how much longer the server stays slow after its start, as of its last
	// entry.
	Cold time.Duration `json:"cold,omitempty"`
	// Seq numbers the entries that one process of the server has written. An entry
	// with a lower number is an older one that arrived late.
	Seq uint64 `json:"seq"`
}

// olderThan reports whether v was written before w.
func (v Server) olderThan(w Server) bool {
	return v.Holder.StartedMS < w.Holder.StartedMS || v.Holder.StartedMS == w.Holder.StartedMS && v.Seq < w.Seq
}

// Change is one record about a server. Server is nil if the entry has been removed or
// does not describe a usable server.
type Change struct {
	ID     string  `json:"id"`
	Server *Server `json:"server,omitempty"`
}

// Snapshot is an immutable state of the directory at an offset.
type Snapshot struct {
	Next    uint64   `json:"next"` // offset of the first record that is not folded in
	Servers []Server `json:"servers"`
	// Version counts the changes in the order in which one host applied them. A change
	// of only the remaining cold time is not counted. Versions of two hosts are
	// comparable only if one host received them from the other.
	Version Version `json:"version"`

	recent     []numberedChange // the last changes, oldest first
	recentBase uint64           // recent holds every change after this one
	// previous is the last version under an earlier assigner whose count was
	// continued.
	previous Version
	// removed holds the last entries of removed servers, so that an older entry that
	// arrives late does not bring a server back.
	removed []Server
}

// maxRemoved bounds the removed servers in a snapshot.
const maxRemoved = 500

// Version identifies a state of the directory.
type Version struct {
	Epoch  uint64 `json:"epoch"` // epoch of the assigner that counts the changes; 0 for a host's own count
	Change uint64 `json:"change"`
}

// maxRecent bounds the recent changes in a snapshot.
const maxRecent = 400

// numberedChange is a change with its number.
type numberedChange struct {
	number uint64
	change Change
}

// Delta holds the changes between two versions of the directory.
type Delta struct {
	Base    Version  `json:"base"`
	Next    uint64   `json:"next"`
	Version Version  `json:"version"`
	Changes []Change `json:"changes"`
}

// Since returns the changes since an earlier version, or nil if they are not known.
func (s *Snapshot) Since(base Version) *Delta {
	known := base.Epoch == s.Version.Epoch || base.Epoch == s.previous.Epoch && base.Epoch != 0 && base.Change <= s.previous.Change
	if !known || base.Change < s.recentBase {
		return nil
	}
	d := &Delta{Base: base, Next: s.Next, Version: s.Version}
	for _, r := range s.recent {
		if r.number > base.Change {
			d.Changes = append(d.Changes, r.change)
		}
	}
	return d
}

// Apply returns the snapshot after d, or nil if d has another base.
func (s *Snapshot) Apply(d *Delta) *Snapshot {
	if d.Base != s.Version {
		return nil
	}
	out := s.Fold(d.Changes, max(d.Next, s.Next))
	out.Version = d.Version
	return out
}

// WithEpoch returns the snapshot with versions counted by the assigner of an epoch.
// The count of an earlier assigner is continued, so that hosts with one of its
// versions need only the changes. A count of a host's own is not continued, since its
// versions mean nothing to other hosts.
func (s *Snapshot) WithEpoch(epoch uint64) *Snapshot {
	out := *s
	if out.Version.Epoch == epoch {
		return &out
	}
	out.previous = s.Version
	if epoch == 0 || s.Version.Epoch == 0 {
		out.previous = Version{}
		out.recentBase = out.Version.Change
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

// After returns s as the successor of old, the directory known so far. Another host may
// have read the store earlier than this one: where old has a newer entry of a server,
// or knows that it was removed, that is kept, so that a server that has left does not
// come back.
func (s *Snapshot) After(old *Snapshot) *Snapshot {
	if old == nil || old.Next <= s.Next && len(old.removed) == 0 {
		return s
	}
	b := newBuilder(s)
	for _, gone := range old.removed {
		b.keepRemoved(gone)
	}
	if old.Next > s.Next {
		for _, v := range old.Servers {
			b.keepNewer(v)
		}
	}
	out := *s
	out.Next = max(s.Next, old.Next)
	out.Servers, out.removed = b.result()
	return &out
}

// keepRemoved removes a server unless it is listed with a newer entry than its last.
func (b *builder) keepRemoved(gone Server) {
	if v, ok := b.servers[gone.Holder.ID]; ok {
		if gone.olderThan(v) {
			return
		}
		delete(b.servers, gone.Holder.ID)
	}
	b.removed[gone.Holder.ID] = gone
}

// keepNewer replaces a listed entry by a newer one of the same server.
func (b *builder) keepNewer(v Server) {
	if listed, ok := b.servers[v.Holder.ID]; ok && listed.olderThan(v) {
		b.servers[v.Holder.ID] = v
	}
}

// HasAddress reports whether a server is or recently was registered at an address.
func (s *Snapshot) HasAddress(addr string) bool {
	at := func(v Server) bool { return v.Address == addr }
	return slices.ContainsFunc(s.Servers, at) || slices.ContainsFunc(s.removed, at)
}

// Fold returns the snapshot after the changes up to the offset next.
func (s *Snapshot) Fold(changes []Change, next uint64) *Snapshot {
	if next <= s.Next && len(changes) == 0 {
		return s
	}
	b := newBuilder(s)
	out := &Snapshot{Next: next, Version: s.Version, recent: s.recent, recentBase: s.recentBase, previous: s.previous}
	for _, c := range changes {
		if b.apply(c) {
			out.Version.Change++
			out.addRecent(numberedChange{out.Version.Change, c})
		}
	}
	out.Servers, out.removed = b.result()
	return out
}

// addRecent appends to the recent changes and drops the oldest beyond maxRecent.
func (s *Snapshot) addRecent(c numberedChange) {
	s.recent = append(s.recent[:len(s.recent):len(s.recent)], c)
	if extra := len(s.recent) - maxRecent; extra > 0 {
		s.recentBase = s.recent[extra-1].number
		s.recent = s.recent[extra:]
	}
}

// Reload returns the snapshot with exactly the given servers. Entries older than those
// in s are ignored.
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

// Merge returns the snapshot with the given servers added to the present ones. It
// serves the time after an outage, when running servers may not have written their
// entries again yet.
func (s *Snapshot) Merge(all []Change, next uint64) *Snapshot {
	out := *s.Fold(all, next)
	out.Next = next
	return &out
}

// builder applies changes to a copy of a directory.
type builder struct {
	servers map[string]Server
	removed map[string]Server
}

func newBuilder(s *Snapshot) *builder {
	b := &builder{servers: make(map[string]Server, len(s.Servers)), removed: make(map[string]Server, len(s.removed))}
	for _, v := range s.Servers {
		b.servers[v.Holder.ID] = v
	}
	for _, v := range s.removed {
		b.removed[v.Holder.ID] = v
	}
	return b
}

// apply applies c and reports whether it changed more than the remaining cold time.
func (b *builder) apply(c Change) bool {
	old, known := b.servers[c.ID]
	if c.Server == nil {
		if known {
			b.removed[c.ID] = old
		}
		delete(b.servers, c.ID)
		return known
	}
	v := *c.Server
	if known && v.olderThan(old) {
		return false
	}
	if gone, ok := b.removed[c.ID]; ok && !known && !gone.olderThan(v) {
		return false
	}
	delete(b.removed, c.ID)
	b.servers[c.ID] = v
	old.Cold, v.Cold, old.Seq, v.Seq = 0, 0, 0, 0
	return !known || old != v
}

// result returns the present and the removed servers, sorted by ID.
func (b *builder) result() (servers, removed []Server) {
	if len(b.removed) > maxRemoved {
		clear(b.removed)
	}
	return sorted(b.servers), sorted(b.removed)
}

func sorted(servers map[string]Server) []Server {
	out := make([]Server, 0, len(servers))
	for _, v := range servers {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Holder.ID < out[j].Holder.ID })
	return out
}
