package assigner

import (
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// fullServers records until when servers are full.
//
// It answers servers that turn requests away and name a time: hosts then send them
// nothing, so neither requests nor rejections show their load, and they would look like
// the best owner for more keys. A full server is not lost: it keeps the keys that it has.
type fullServers struct{ until map[keyrange.Holder]Time }

func newFullServers() *fullServers { return &fullServers{until: map[keyrange.Holder]Time{}} }

// add records that a server is full for d, and reports whether it was not full before.
// Of several reports the one that lasts longest counts.
func (f *fullServers) add(now Time, h keyrange.Holder, d time.Duration) bool {
	before, known := f.until[h]
	f.until[h] = max(before, now+min(d, MaxFull))
	return !known
}

// contains reports whether a server is full.
func (f *fullServers) contains(now Time, h keyrange.Holder) bool { return now < f.until[h] }

// expire removes and returns, sorted, the servers that are no longer full
// or listed.
func (f *fullServers) expire(now Time, s *directory.Snapshot) []keyrange.Holder {
	var out []keyrange.Holder
	for h, until := range f.until {
		if now >= until || !s.Lists(h) {
			delete(f.until, h)
			out = append(out, h)
		}
	}
	slices.SortFunc(out, keyrange.Holder.Compare)
	return out
}

// addFull processes the part of a report about full servers. Only a process that the
// directory lists counts.
func (m *Machine) addFull(now Time, from string, list []FullServer) {
	for _, f := range list {
		if !m.servers.Lists(f.Holder) {
			continue
		}
		d := time.Duration(f.ForMS) * time.Millisecond
		if m.full.add(now, f.Holder, d) {
			m.emit(FullBegun{Server: f.Holder, For: d, From: from})
		}
	}
}

// expireFull emits FullEnded for each server that is no longer full.
func (m *Machine) expireFull(now Time) {
	for _, h := range m.full.expire(now, m.servers) {
		m.emit(FullEnded{Server: h})
	}
}

// isFull reports whether the process that is listed under an id is full.
func (m *Machine) isFull(now Time, id string) bool {
	v := m.servers.Find(id)
	return v != nil && m.full.contains(now, v.Holder)
}
