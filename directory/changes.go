package directory

// Change is one record about a server. Server is nil if the entry has been removed or
// does not describe a usable server.
type Change struct {
	ID     string  `json:"id"`
	Server *Server `json:"server,omitempty"`
}

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

// addRecent appends to the recent changes and drops the oldest beyond maxRecent.
func (s *Snapshot) addRecent(c numberedChange) {
	s.recent = append(s.recent[:len(s.recent):len(s.recent)], c)
	if extra := len(s.recent) - maxRecent; extra > 0 {
		s.recentBase = s.recent[extra-1].number
		s.recent = s.recent[extra:]
	}
}

// maxRecent bounds the recent changes in a snapshot.
const maxRecent = 400
