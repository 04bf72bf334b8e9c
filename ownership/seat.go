package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// Seat is the transferable membership of a host: its identity and what it has
// acknowledged. It is handed over at a planned stop while the log cannot be
// written. At most one machine may take it.
type Seat struct {
	Member Member `json:"member"`
	// OutstandingFor is how long requests and grants of the host that released
	// the seat may still be outstanding. The caller extends it before it hands the
	// seat over.
	OutstandingFor time.Duration `json:"busy"`
	Sequence       uint64        `json:"sequence"`
	Active         Offset        `json:"active"`
	Catalog        Offset        `json:"catalog"`
	State          []byte        `json:"state"` // every applied record, as a checkpoint
	Sets           []SeatSet     `json:"sets"`
	Pending        []SeatChange  `json:"pending,omitempty"`
	Flags          []SeatFlag    `json:"flags,omitempty"`
	Departed       int           `json:"ghosts,omitempty"`
	ForceRemoved   []MemberID    `json:"dead,omitempty"`
}

// SeatSet is one of the current member sets.
type SeatSet struct {
	Offset  Offset   `json:"offset"`
	Members []Member `json:"members,omitempty"`
}

// SeatChange is an applied record that is not yet in force. Before and After are
// indexes into Seat.Sets.
type SeatChange struct {
	Offset     Offset   `json:"offset"`
	Before     int      `json:"before"`
	After      int      `json:"after"`
	Departed   int      `json:"ghosts,omitempty"`
	Service    string   `json:"service,omitempty"`
	OldServers []string `json:"olds,omitempty"`
	Pins       bool     `json:"pins,omitempty"`
}

// SeatFlag is a flag and the level of it that is in force.
type SeatFlag struct {
	Flag
	InForce Offset `json:"in_force,omitempty"`
}

// ReleaseSeat gives up this host's seat. From then on the machine routes and
// acknowledges nothing. Acknowledgements of peers and waits in progress are not
// handed over: the machine that takes the seat collects them again.
func (m *Machine) ReleaseSeat(now Instant) (Seat, error) {
	if !m.isMember() {
		return Seat{}, fault.New(fault.NotReady, "this host is not a member, so it has no seat to release")
	}
	state, err := m.state.EncodeCheckpoint()
	if err != nil {
		return Seat{}, err
	}
	s := Seat{
		Member:         m.cfg.Self,
		Sequence:       m.sequence,
		Active:         m.active,
		Catalog:        m.catalog,
		State:          state,
		Departed:       len(m.departed),
		ForceRemoved:   slices.Sorted(maps.Keys(m.forceRemoved)),
		OutstandingFor: max(0, m.inheritedUntil-now),
	}
	for _, x := range m.queries {
		s.OutstandingFor = max(s.OutstandingFor, x.until-now)
	}
	for _, set := range m.memberSets {
		s.Sets = append(s.Sets, SeatSet{Offset: set.offset, Members: sortedMembers(set.members)})
	}
	s.Pending = m.seatChanges()
	for _, key := range slices.SortedFunc(maps.Keys(m.flags), flagKey.compare) {
		x := m.flags[key]
		s.Flags = append(s.Flags, SeatFlag{
			Flag:    Flag{Service: key.service, Server: key.server, Upto: x.upto},
			InForce: x.inForce,
		})
	}
	m.released = m.rules.releaseSeat
	m.actions = nil
	return s, nil
}

func (m *Machine) seatChanges() []SeatChange {
	out := make([]SeatChange, 0, len(m.pending))
	set := 0
	for _, c := range m.pending {
		x := SeatChange{
			Offset: c.offset, Before: set, After: set, Departed: c.departed,
			Service: c.service, OldServers: c.oldServers, Pins: c.pins,
		}
		if c.service == "" {
			set++
			x.After = set
		}
		out = append(out, x)
	}
	return out
}

func sortedMembers(members map[MemberID]Member) []Member {
	return slices.SortedFunc(maps.Values(members), func(a, b Member) int {
		return cmp.Compare(a.ID, b.ID)
	})
}

// TakeSeat makes this machine the member that released the seat. The machine must
// not have acted as a member before. The member keeps its ID and gets this
// machine's address.
func (m *Machine) TakeSeat(now Instant, s Seat) error {
	if m.routed || m.released {
		return fault.New(fault.Superseded, "cannot take the seat: this host has already acted as a member")
	}
	state, err := DecodeCheckpoint(s.State)
	if err != nil {
		return err
	}
	if state.Applied < m.state.Applied || len(s.Sets) == 0 {
		return fault.Newf(fault.Superseded, "cannot take the seat: its state at offset %d is outdated or it has no member set", state.Applied)
	}
	next := NewMachine(m.cfg)
	next.rules, next.services, next.catalog = m.rules, m.services, max(m.catalog, s.Catalog)
	next.cfg.Self.ID = s.Member.ID
	next.sequence = s.Sequence
	next.state, next.active = state, s.Active
	next.routed, next.inheritedUntil = true, now+m.withDrift(s.OutstandingFor)
	if err := next.takeSets(s); err != nil {
		return err
	}
	for range s.Departed {
		next.departed = append(next.departed, departedMember{since: now})
	}
	for _, id := range s.ForceRemoved {
		next.forceRemoved[id] = true
	}
	for service := range state.Tables {
		next.dirty[service] = true
	}
	next.takeFlags(s)
	*m = *next
	m.acknowledge(now)
	m.advance(now)
	return nil
}

func (m *Machine) takeSets(s Seat) error {
	m.memberSets = nil
	for _, set := range s.Sets {
		members := map[MemberID]Member{}
		for _, x := range set.Members {
			members[x.ID] = x
		}
		m.memberSets = append(m.memberSets, memberSet{offset: set.Offset, members: members})
	}
	for _, c := range s.Pending {
		if c.Before < 0 || c.Before > c.After || c.After >= len(m.memberSets) {
			return fault.Newf(fault.BadRecord, "seat change at offset %d refers to a missing member set", c.Offset)
		}
		m.pending = append(m.pending, &pendingChange{
			offset: c.Offset, before: m.memberSets[c.Before].members, after: m.memberSets[c.After].members,
			departed: c.Departed, service: c.Service, oldServers: c.OldServers, pins: c.Pins,
		})
	}
	return nil
}

// takeFlags takes over the flags of a seat. Whatever the former host may still have
// in flight counts as outstanding for every pending change and every flag that is
// not yet in force.
func (m *Machine) takeFlags(s Seat) {
	for _, f := range s.Flags {
		x := &flagState{upto: f.Upto, inForce: f.InForce}
		if f.Upto > f.InForce {
			x.waiting = []flagLevel{{upto: f.Upto}}
		}
		m.flags[f.key()] = x
	}
	var keys []changeKey
	for _, c := range m.pending {
		keys = append(keys, changeKey{record: c.offset})
	}
	for key, x := range m.flags {
		if len(x.waiting) > 0 {
			keys = append(keys, changeKey{flag: key})
		}
	}
	slices.SortFunc(keys, compareChangeKeys)
	if len(keys) > 0 {
		m.queries[OutstandingQuery{}] = &queryState{keys: keys, reported: true, inherited: true, until: m.inheritedUntil}
	}
}
