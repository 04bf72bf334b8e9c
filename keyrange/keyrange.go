// Package keyrange defines the assignment of key ranges to backend servers: the types
// that the assigner records, hosts exchange and the gateway reads.
//
// Keys are the numbers 0 to 65535. A table covers them with sorted, disjoint ranges;
// each range has one owner and one fencing token.
package keyrange

import (
	"cmp"
	"sort"
)

// Key is the number by which a sharded service is partitioned.
type Key uint16

// MaxKey is the largest key.
const MaxKey Key = 65535

// KeyCount is the number of keys.
const KeyCount = int(MaxKey) + 1

// Fence is a fencing token. The token of a key rises with each change of owner.
type Fence uint64

// Holder identifies one run of a backend server's process: a process that was
// restarted under the same id holds no keys of the earlier one.
type Holder struct {
	ID        string `json:"id"`
	StartedMS int64  `json:"born"` // start time in Unix milliseconds
}

// Compare orders holders by id, then by start time. It returns -1, 0 or 1.
func (h Holder) Compare(o Holder) int {
	return cmp.Or(cmp.Compare(h.ID, o.ID), cmp.Compare(h.StartedMS, o.StartedMS))
}

// Range is a contiguous range of keys with one owner.
type Range struct {
	From  Key    `json:"from"`
	To    Key    `json:"to"` // inclusive
	Owner Holder `json:"owner"`
	Fence Fence  `json:"fence"`
	// Prior lists the earlier holders that may still hold keys of the range under
	// lower tokens.
	Prior []Holder `json:"prior,omitempty"`
	// Granted reports that the owner has accepted the grant. It is exchanged between
	// hosts and is not set in stored records.
	Granted bool `json:"granted,omitempty"`
	// LastChange is the Version.Change, within the epoch, that last modified the
	// range.
	LastChange uint64 `json:"-"`
}

// Contains reports whether k lies in r.
func (r Range) Contains(k Key) bool { return r.From <= k && k <= r.To }

// Width returns the number of keys in r.
func (r Range) Width() int { return int(r.To) - int(r.From) + 1 }

// SameGrant reports whether r and b name the same owner and token.
func (r Range) SameGrant(b Range) bool { return r.Owner == b.Owner && r.Fence == b.Fence }

// Table is the assignment of one service.
type Table struct {
	Service string  `json:"service"`
	Ranges  []Range `json:"ranges"`
}

// Find returns the range that contains k, or nil.
func (t *Table) Find(k Key) *Range {
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= k })
	if i == len(t.Ranges) || !t.Ranges[i].Contains(k) {
		return nil
	}
	return &t.Ranges[i]
}

// Version orders maps by epoch, then by change within the epoch.
type Version struct {
	Epoch  uint64 `json:"epoch"`
	Change uint64 `json:"change"`
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	return v.Epoch < w.Epoch || v.Epoch == w.Epoch && v.Change < w.Change
}

// Map is the assignment of every sharded service. If Base is set, it holds only the
// ranges that have changed since that version.
type Map struct {
	Version Version  `json:"version"`
	Base    *Version `json:"base,omitempty"`
	Tables  []Table  `json:"tables"`
}

// Since returns a map of the ranges that have changed since base, or m itself when
// base is of another epoch or has no change.
func (m *Map) Since(base Version) *Map {
	if base.Epoch != m.Version.Epoch || base.Change == 0 {
		return m
	}
	out := &Map{Version: m.Version, Base: &base}
	for _, t := range m.Tables {
		changed := Table{Service: t.Service}
		for _, r := range t.Ranges {
			if r.LastChange > base.Change {
				changed.Ranges = append(changed.Ranges, r)
			}
		}
		if len(changed.Ranges) > 0 {
			out.Tables = append(out.Tables, changed)
		}
	}
	return out
}

// Apply returns a copy of m in which the changed ranges of delta replace those that
// they overlap.
func (m *Map) Apply(delta *Map) *Map {
	out := m.Clone()
	out.Version = delta.Version
	for _, t := range delta.Tables {
		old := out.Table(t.Service)
		if old == nil {
			out.Tables = append(out.Tables, t)
			continue
		}
		old.Ranges = replaceOverlapped(old.Ranges, t.Ranges)
	}
	return out
}

// replaceOverlapped replaces the old ranges that changed ones overlap. Together the
// changed ranges cover all keys of each range that they replace.
func replaceOverlapped(old, changed []Range) []Range {
	out := make([]Range, 0, len(old)+len(changed))
	next := 0
	for _, r := range old {
		for next < len(changed) && changed[next].From <= r.To {
			out = append(out, changed[next])
			next++
		}
		if n := len(out); n > 0 && out[n-1].To >= r.From {
			continue // replaced
		}
		out = append(out, r)
	}
	return append(out, changed[next:]...)
}

// Table returns the table of a service, or nil.
func (m *Map) Table(service string) *Table {
	if m == nil {
		return nil
	}
	for i := range m.Tables {
		if m.Tables[i].Service == service {
			return &m.Tables[i]
		}
	}
	return nil
}

// Clone returns a deep copy of m.
func (m *Map) Clone() *Map {
	out := &Map{Version: m.Version, Tables: make([]Table, len(m.Tables))}
	for i, t := range m.Tables {
		out.Tables[i] = Table{Service: t.Service, Ranges: append([]Range(nil), t.Ranges...)}
	}
	return out
}

// KeepGranted marks the ranges of m as granted whose first key old has as granted to
// the same owner. A new assigner confirms grants one by one; until then the owner
// serves under its earlier grant, or refuses requests.
func (m *Map) KeepGranted(old *Map) {
	if old == nil {
		return
	}
	for i := range m.Tables {
		before := old.Table(m.Tables[i].Service)
		if before == nil {
			continue
		}
		for j := range m.Tables[i].Ranges {
			r := &m.Tables[i].Ranges[j]
			if b := before.Find(r.From); b != nil && b.Granted && b.Owner == r.Owner {
				r.Granted = true
			}
		}
	}
}
