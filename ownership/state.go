package ownership

import (
	"maps"
	"slices"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// removedKept is how many removed incarnations a State keeps when it trims them.
const removedKept = 8192

// Placement is the assignment of one shard or pinned key.
type Placement struct {
	Record  Offset   // the assignment record; 0 means unassigned
	Servers []string // the owner, then its successors in order
}

// Cause is the author of a record and the reason for it.
type Cause struct {
	Author MemberID `json:"author"`
	Text   string   `json:"text"`
}

// Table holds the placements of one service.
type Table struct {
	Version Offset // offset of the last accepted batch
	Shards  []Placement
	Pins    map[string]Placement // placements of pinned keys
	causes  []recordCause        // by record, in ascending order
}

// State is the result of applying the ownership stream up to Applied. It is
// immutable once published: Apply returns a new state that shares unchanged parts.
type State struct {
	Applied Offset
	Members map[MemberID]Member
	Removed map[MemberID]Offset // removed incarnations, which never join again, by the record that removed them
	Tables  map[string]*Table
	Drains  map[Drain]Offset // draining servers, by drain record
	// DrainBase holds, for each server that was ever drained, its last drain or
	// undrain record. The next such record must name it as its base.
	DrainBase  map[Drain]Offset
	Checkpoint Offset // offset that the newest checkpoint record covers
	Void       uint64 // number of void records, such as those that lost a race
	Bad        uint64 // number of unreadable records
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		Members:   map[MemberID]Member{},
		Removed:   map[MemberID]Offset{},
		Tables:    map[string]*Table{},
		Drains:    map[Drain]Offset{},
		DrainBase: map[Drain]Offset{},
	}
}

// Apply applies the record at offset. The error says why a record is void. The
// returned state is valid in either case and the same on every host.
func (s *State) Apply(offset Offset, data []byte) (*State, Record, error) {
	if offset <= s.Applied {
		return s, Record{}, nil
	}
	next := *s
	next.Applied = offset
	r, err := DecodeRecord(data)
	if err != nil {
		next.Bad++
		return &next, r, err
	}
	if err := next.apply(offset, r); err != nil {
		next.Void++
		return &next, r, err
	}
	return &next, r, nil
}

func (s *State) apply(offset Offset, r Record) error {
	switch r.Kind {
	case JoinRecord:
		return s.join(offset, *r.Member)
	case LeaveRecord, RemoveRecord:
		return s.remove(offset, r.Remove)
	case AssignRecord:
		return s.assign(offset, r)
	case DrainRecord, UndrainRecord:
		return s.drain(offset, r)
	case CheckpointRecord:
		return s.applyCheckpoint(offset, *r.Checkpoint)
	}
	return nil
}

// applyCheckpoint applies a checkpoint record. It validates the content by its hash
// and does not compare it with this state, so every host decides the same.
func (s *State) applyCheckpoint(offset Offset, c Checkpoint) error {
	if c.Through >= offset || c.Through <= s.Checkpoint {
		return fault.Newf(fault.Superseded, "checkpoint must cover more than offset %d and only earlier records", s.Checkpoint)
	}
	if _, err := c.State(); err != nil {
		return err
	}
	s.Checkpoint = c.Through
	return nil
}

func (s *State) drain(offset Offset, r Record) error {
	d := *r.Drain
	on := r.Kind == DrainRecord
	if base := s.DrainBase[d]; r.Base != base {
		return fault.Newf(fault.Superseded, "drain state of %s/%s is at version %d, not %d", d.Service, d.Server, base, r.Base)
	}
	if _, draining := s.Drains[d]; draining == on {
		return fault.Newf(fault.Superseded, "server %s/%s is already in the requested drain state", d.Service, d.Server)
	}
	s.DrainBase = maps.Clone(s.DrainBase)
	s.DrainBase[d] = offset
	s.Drains = maps.Clone(s.Drains)
	if on {
		s.Drains[d] = offset
	} else {
		delete(s.Drains, d)
	}
	return nil
}

// join adds a member and removes earlier processes of the same host and address.
func (s *State) join(offset Offset, m Member) error {
	if _, removed := s.Removed[m.ID]; removed {
		return fault.Newf(fault.Superseded, "incarnation %s was removed and cannot join again", m.ID)
	}
	if _, ok := s.Members[m.ID]; ok {
		return fault.Newf(fault.Superseded, "incarnation %s is already a member", m.ID)
	}
	for _, x := range s.Members {
		// A join record that is appended late must not replace a later process.
		if x.Host == m.Host && x.Started > m.Started {
			return fault.Newf(fault.Superseded, "a later process of host %s is already a member", m.Host)
		}
	}
	ended := s.earlierProcesses(m)
	s.Members = maps.Clone(s.Members)
	s.Members[m.ID] = m
	if len(ended) == 0 {
		return nil
	}
	removed := maps.Clone(s.Removed)
	for _, id := range ended {
		delete(s.Members, id)
		removed[id] = offset
	}
	s.Removed = trimRemoved(removed)
	return nil
}

func (s *State) remove(offset Offset, ids []MemberID) error {
	members := maps.Clone(s.Members)
	removed := maps.Clone(s.Removed)
	for _, id := range ids {
		if _, ok := members[id]; ok {
			delete(members, id)
			removed[id] = offset
		}
	}
	if len(members) == len(s.Members) {
		return fault.New(fault.Superseded, "the members were already removed")
	}
	s.Members = members
	s.Removed = trimRemoved(removed)
	return nil
}

// trimRemoved drops the oldest removals once there are 2*removedKept of them.
func trimRemoved(removed map[MemberID]Offset) map[MemberID]Offset {
	if len(removed) < 2*removedKept {
		return removed
	}
	offsets := slices.Sorted(maps.Values(removed))
	oldest := offsets[len(offsets)-removedKept]
	maps.DeleteFunc(removed, func(_ MemberID, at Offset) bool { return at < oldest })
	return removed
}

func (s *State) assign(offset Offset, r Record) error {
	a := *r.Assign
	old := s.Tables[a.Service]
	if old == nil {
		old = &Table{Shards: make([]Placement, a.Shards)}
	}
	if a.Base != old.Version {
		return fault.Newf(fault.Superseded, "service %q is at version %d, not %d", a.Service, old.Version, a.Base)
	}
	if len(old.Shards) != a.Shards {
		return fault.Newf(fault.Superseded, "service %q has %d shards, not %d", a.Service, len(old.Shards), a.Shards)
	}
	s.Tables = maps.Clone(s.Tables)
	s.Tables[a.Service] = old.withAssignment(offset, r)
	return nil
}

// MemberIDs returns the members in sorted order.
func (s *State) MemberIDs() []MemberID {
	return slices.Sorted(maps.Keys(s.Members))
}
