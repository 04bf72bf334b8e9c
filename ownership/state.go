package ownership

import (
	"maps"
	"slices"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// removedKept bounds how many removed incarnations a State remembers.
const removedKept = 8192

// Placement is what the log says of one shard or pinned key.
type Placement struct {
	Record  Offset   // the assignment record; 0 means unassigned
	Servers []string // the owner, then its successors in order
}

// Cause says who wrote a record and why.
type Cause struct {
	Author MemberID `json:"author"`
	Text   string   `json:"text"`
}

// Table holds the placements of one service.
type Table struct {
	Version Offset // offset of the last accepted batch
	Shards  []Placement
	Pins    map[string]Placement // hot keys with an owner of their own
	causes  []recordCause        // by record, ascending
}

// State is the fold of the ownership stream up to Applied. It is immutable
// once published: Apply returns a new state that shares unchanged parts.
type State struct {
	Applied Offset
	Members map[MemberID]Member
	Removed map[MemberID]Offset // removed incarnations; they never return
	Tables  map[string]*Table
	Drains  map[Drain]Offset // draining servers and the record that said so
	// DrainBase holds, for each server that ever drained, the record that last
	// changed that. A drain record must name it as its base.
	DrainBase  map[Drain]Offset
	Checkpoint Offset // through which offset the newest checkpoint record holds
	Void       uint64 // records that lost a race
	Bad        uint64 // unreadable records
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

// Apply folds the record at offset. The error says why a record is void; the
// returned state is valid in either case, and every host computes the same.
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

// applyCheckpoint takes in a checkpoint record. Its content is not compared with this
// state: every host judges it by its hash alone, and so all judge it alike.
func (s *State) applyCheckpoint(offset Offset, c Checkpoint) error {
	if c.Through >= offset || c.Through <= s.Checkpoint {
		return fault.Newf(fault.Superseded, "a checkpoint through %d is there already", s.Checkpoint)
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
		return fault.Newf(fault.Superseded, "the drain of %s/%s is at version %d, not %d", d.Service, d.Server, base, r.Base)
	}
	if _, draining := s.Drains[d]; draining == on {
		return fault.Newf(fault.Superseded, "server %s/%s is in that state already", d.Service, d.Server)
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

// join adds a member. It replaces earlier processes of the same host.
func (s *State) join(offset Offset, m Member) error {
	if _, removed := s.Removed[m.ID]; removed {
		return fault.Newf(fault.Superseded, "incarnation %s was removed", m.ID)
	}
	if _, ok := s.Members[m.ID]; ok {
		return fault.Newf(fault.Superseded, "incarnation %s is a member already", m.ID)
	}
	for _, x := range s.Members {
		// A join that the log took late must not replace the process that followed.
		if x.Host == m.Host && x.Started > m.Started {
			return fault.Newf(fault.Superseded, "a later process of host %s is a member", m.Host)
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
		return fault.New(fault.Superseded, "the members were removed before")
	}
	s.Members = members
	s.Removed = trimRemoved(removed)
	return nil
}

// trimRemoved drops the oldest removals once there are twice as many as kept.
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
