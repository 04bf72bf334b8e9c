package assigner

import (
	"sort"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// currentMap returns the map of this assigner's present ranges.
func (m *Machine) currentMap() *keyrange.Map {
	out := &keyrange.Map{Version: keyrange.Version{Epoch: m.known.Epoch, Change: m.change}}
	for _, r := range m.ranges {
		n := len(out.Tables)
		if n == 0 || out.Tables[n-1].Service != r.service {
			out.Tables = append(out.Tables, keyrange.Table{Service: r.service})
			n++
		}
		out.Tables[n-1].Ranges = append(out.Tables[n-1].Ranges, r.Range)
	}
	return out
}

// publishable returns the map for the other hosts, in which LastChange is set for
// each range. It omits the earlier holders, which only the assigner needs.
func (m *Machine) publishable() *keyrange.Map {
	out := m.currentMap()
	for i := range out.Tables {
		before := m.published.Table(out.Tables[i].Service)
		for j := range out.Tables[i].Ranges {
			r := &out.Tables[i].Ranges[j]
			r.Prior = nil
			r.LastChange = m.change
			if before == nil || m.published.Version.Epoch != out.Version.Epoch {
				continue
			}
			old := before.Find(r.From)
			if old != nil && old.From == r.From && old.To == r.To && old.Granted == r.Granted && old.SameGrant(*r) {
				r.LastChange = old.LastChange
			}
		}
	}
	return out
}

// record returns a record of the present ranges.
func (m *Machine) record() Record {
	rec := m.known
	rec.Change = m.change + 1
	rec.Tables = nil
	for _, t := range m.currentMap().Tables {
		for i := range t.Ranges {
			t.Ranges[i].Granted = false
		}
		rec.Tables = append(rec.Tables, t)
	}
	return rec
}

// adopt replaces the ranges by those of a record that is now in the store.
func (m *Machine) adopt(now Time, rec Record) {
	old := m.ranges
	m.ranges = nil
	m.change = max(m.change, rec.Change)
	for _, t := range rec.Tables {
		for _, r := range t.Ranges {
			m.ranges = append(m.ranges, inherit(now, old, t.Service, r))
		}
	}
	m.dirty = true
}

// inherit builds the state of a recorded range from the ranges that it was split or
// merged from.
func inherit(now Time, old []*rangeState, service string, r keyrange.Range) *rangeState {
	i := sort.Search(len(old), func(i int) bool {
		return old[i].service > service || old[i].service == service && old[i].To >= r.From
	})
	if i == len(old) || old[i].service != service || !old[i].Contains(r.From) {
		return newRangeState(service, r, 0, now)
	}
	if src := old[i]; src.SameGrant(r) {
		out := *src
		out.From, out.To = r.From, r.To
		if src.From != r.From || src.To != r.To {
			out.releases = nil // their results name the keys that were released
		}
		return &out
	}
	bound, mayHold := Time(0), len(r.Prior) == 0
	for ; i < len(old) && old[i].service == service && old[i].From <= r.To; i++ {
		bound = max(bound, old[i].heldUntil)
		if len(old[i].Prior) > 0 {
			bound = max(bound, old[i].freeAt)
		}
		mayHold = mayHold || old[i].mayBeHeldBy(r.Owner)
	}
	s := newRangeState(service, r, bound, now)
	s.unproven = len(r.Prior) == 0
	if !mayHold {
		s.heldUntil = 0 // the new owner has no grant yet
	}
	return s
}
