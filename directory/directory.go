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

// HasAddress reports whether a server is or recently was registered at an address.
func (s *Snapshot) HasAddress(addr string) bool {
	at := func(v Server) bool { return v.Address == addr }
	return slices.ContainsFunc(s.Servers, at) || slices.ContainsFunc(s.removed, at)
}

// At returns the server at an address, or nil. If a server was replaced and its entry is
// still listed, that is the one that started last.
func (s *Snapshot) At(addr string) *Server {
	var out *Server
	for i := range s.Servers {
		v := &s.Servers[i]
		if v.Address == addr && (out == nil || v.Holder.StartedMS > out.Holder.StartedMS) {
			out = v
		}
	}
	return out
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
