// Package assigner decides which backend server owns which keys.
//
// One host at a time is the assigner; the hosts elect it through the store. A record
// names the assigner and its epoch, and each record is appended on the condition that
// the partition ends at the offset that its author expects. Machine is a
// deterministic state machine: its caller passes in results and the present time, and
// carries out the actions that it returns. It has no clock, no I/O and no goroutine.
//
// Invariants:
//   - An assigner grants and releases only while a read of the store that showed
//     its epoch, or an append of its own, began less than Lease ago. A successor
//     relies on this bound.
//   - A range is granted only after the record that names its owner and token is
//     known to be in the store, and after every earlier holder has acknowledged a
//     release under the new token, has ended, or can no longer hold it.
//   - A release carries the new owner's token, so that the old holder refuses a
//     delayed renewal of its own grant.
package assigner

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// omissions are the rules of the protocol that a mutation test disables, to show that
// the model detects their absence.
type omissions struct {
	freshRead    bool // act without a recent read of the store
	takeoverWait bool // ignore grants of an earlier assigner
	record       bool // grant before the record is in the store
	newFence     bool // assign the same token again
	raisedFence  bool // release with the old owner's token
	samePlace    bool // append an in-doubt record again wherever the partition ends
}

// role is the part that this host plays in the protocol.
type role uint8

const (
	follower role = iota
	claiming
	leading
)

// Machine is the assignment state machine of one host.
type Machine struct {
	cfg  Config
	rank int

	role   role
	known  Record // newest known record
	loaded bool   // the store has been read at least once
	end    uint64 // end of the partition as last known

	heardAt Time // when an assigner with a valid lease was last heard from
	// lostEpochDelay is an extra delay before a claim after this host lost an epoch
	// to another at lostAt.
	lostEpochDelay time.Duration
	lostAt         Time
	// otherReportAt is when another host last sent a report.
	otherReportAt  Time
	storeBusy      bool // a Load or an Append is outstanding
	storeRetryAt   Time
	loadRetryDelay time.Duration // backoff after a Load that failed

	confirmedAt    Time
	confirmStarted Time
	confirming     bool
	confirmFailed  bool
	degraded       bool // grants are made for HoldMax

	// pending is the record whose append at offset pendingAt is outstanding or in
	// doubt.
	pending   *Record
	pendingAt uint64
	ranges    []*rangeState
	change    uint64

	servers   *directory.Snapshot
	sharded   []string
	firstSeen map[string]Time
	suspects  *suspects
	// probeNeeded is set while a suspect awaits a probe request; probeUrgent is set
	// when one of them has not been probed before. probedAt is when probes were last
	// requested.
	probeNeeded bool
	probeUrgent bool
	probedAt    Time
	load        *loads
	plannedAt   Time // when the last plan was made; reset to 0 to plan at once
	dirty       bool // the map has changed since it was last published
	resigned    bool
	publishedAt Time
	// published is the map that was last published, or nil.
	published *keyrange.Map

	full      *fullServers
	admission *admission
	admitted  Admission // the limits that hosts were told last
	// serviceTimes holds the time that a request takes at a server of each service, as
	// of serviceTimesAt.
	serviceTimes   map[string]time.Duration
	serviceTimesAt Time

	omit omissions
	out  []Action
}

// New returns the machine of a host that starts at now.
func New(cfg Config, now Time) *Machine {
	return &Machine{
		cfg:       cfg,
		heardAt:   now,
		servers:   &directory.Snapshot{},
		firstSeen: map[string]Time{},
		suspects:  newSuspects(),
		load:      newLoads(),
		full:      newFullServers(),
		admission: newAdmission(),
	}
}

// Ready returns the actions since the last call.
func (m *Machine) Ready() []Action {
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

// SetHostCount sets the number of registered entry hosts.
func (m *Machine) SetHostCount(n int) { m.suspects.registered = n }

// SetRank sets the host's position in the order of claims.
func (m *Machine) SetRank(rank int) { m.rank = rank }

// Leads reports whether this host is the assigner and may act.
func (m *Machine) Leads(now Time) bool { return m.role == leading && m.mayAct(now) }

// End returns the last known end of the partition.
func (m *Machine) End() uint64 { return m.end }

// Silence returns the time since an assigner was last heard from.
func (m *Machine) Silence(now Time) time.Duration { return now - m.heardAt }

// Assigner returns the host that the newest known record names.
func (m *Machine) Assigner() Host { return m.known.Assigner }

// Epoch returns the newest known epoch.
func (m *Machine) Epoch() uint64 { return m.known.Epoch }

// SetServers sets the newest directory and the names of the sharded services.
func (m *Machine) SetServers(now Time, s Servers) {
	m.servers, m.sharded = s.Snapshot, s.Sharded
	for _, v := range s.Snapshot.Servers {
		if _, ok := m.firstSeen[v.Service]; !ok {
			m.firstSeen[v.Service] = now
		}
	}
}

// mayAct reports whether this host's lease is valid, so that no successor can have
// acted yet.
func (m *Machine) mayAct(now Time) bool {
	return m.omit.freshRead || now-m.confirmedAt < m.cfg.Lease
}

// Tick advances the machine to now.
func (m *Machine) Tick(now Time) {
	m.expireFull(now)
	switch m.role {
	case follower:
		m.tickFollower(now)
	case leading:
		m.tickLeading(now)
	}
}
