package directory

import (
	"encoding/binary"
	"hash/fnv"
	"slices"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// Leaving is an immutable set of server processes that have answered that they leave.
//
// It answers servers whose entries lag behind: a server says in its answers that it
// leaves, while its entry still reads ready or the store cannot be read. A process that
// leaves does not return, so hosts only ever add to the set, in any order and from any
// other host. It is kept beside the entries, whose versions count the store's changes.
type Leaving struct{ holders []keyrange.Holder } // sorted

// Holders returns the members, sorted. The caller must not modify them.
func (l Leaving) Holders() []keyrange.Holder { return l.holders }

// Contains reports whether a process is known to leave.
func (l Leaving) Contains(h keyrange.Holder) bool {
	_, ok := slices.BinarySearchFunc(l.holders, h, keyrange.Holder.Compare)
	return ok
}

// With returns the set with those of the given processes that s lists, and which of
// them are new to it.
func (l Leaving) With(s *Snapshot, holders []keyrange.Holder) (set Leaving, added []keyrange.Holder) {
	for _, h := range holders {
		if s.Lists(h) && !l.Contains(h) && !slices.Contains(added, h) {
			added = append(added, h)
		}
	}
	if len(added) == 0 {
		return l, nil
	}
	all := slices.Concat(l.holders, added)
	slices.SortFunc(all, keyrange.Holder.Compare)
	return Leaving{all}, added
}

// ListedIn returns the members that s lists.
func (l Leaving) ListedIn(s *Snapshot) Leaving {
	unlisted := func(h keyrange.Holder) bool { return !s.Lists(h) }
	if !slices.ContainsFunc(l.holders, unlisted) {
		return l
	}
	return Leaving{slices.DeleteFunc(slices.Clone(l.holders), unlisted)}
}

// Missing returns the members that a list lacks.
func (l Leaving) Missing(list []keyrange.Holder) []keyrange.Holder {
	known := make(map[keyrange.Holder]bool, len(list))
	for _, h := range list {
		known[h] = true
	}
	var out []keyrange.Holder
	for _, h := range l.holders {
		if !known[h] {
			out = append(out, h)
		}
	}
	return out
}

// Digest identifies the content of the set. It is never 0.
func (l Leaving) Digest() uint64 {
	sum := fnv.New64a()
	var born [8]byte
	for _, h := range l.holders {
		_, _ = sum.Write([]byte(h.ID)) // never fails
		binary.LittleEndian.PutUint64(born[:], uint64(h.StartedMS))
		_, _ = sum.Write(born[:])
	}
	return max(sum.Sum64(), 1)
}

// WithLeaving returns the directory in which the members of l are draining, whatever
// their entries read.
func (s *Snapshot) WithLeaving(l Leaving) *Snapshot {
	if len(l.holders) == 0 {
		return s
	}
	out := *s
	out.Servers = slices.Clone(s.Servers)
	for i := range out.Servers {
		if v := &out.Servers[i]; l.Contains(v.Holder) {
			v.State, v.Leaving = Draining, true
		}
	}
	return &out
}

// Lists reports whether s lists a process: its id with the same start.
func (s *Snapshot) Lists(h keyrange.Holder) bool {
	v := s.Find(h.ID)
	return v != nil && v.Holder == h
}
