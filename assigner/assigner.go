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
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// Config holds the timing parameters of the protocol.
type Config struct {
	Self Host
	// Lease is how long this host may act after the start of a store read that showed
	// its own epoch.
	Lease time.Duration
	// ConfirmEvery is the interval between such reads.
	ConfirmEvery time.Duration
	// ClaimDelay is an extra delay before a claim, for hosts that are less suitable
	// as the assigner.
	ClaimDelay time.Duration
	// SilenceBeforeClaim is how long a host goes without hearing from the assigner
	// before it claims the next epoch. Each rank adds RankDelay.
	SilenceBeforeClaim time.Duration
	RankDelay          time.Duration
	// Hold is the duration of a grant while the store responds in time, HoldMax while
	// it does not.
	Hold    time.Duration
	HoldMax time.Duration
	// RenewEvery is the interval between renewals of a grant.
	RenewEvery time.Duration
	// FirstPlanDelay is the delay of the first plan of a service after its first
	// server was seen, so that other servers can register.
	FirstPlanDelay time.Duration
}

// Timing constants of the protocol.
const (
	// clockDrift is the largest relative error by which a backend server's clock may
	// run slow.
	clockDrift = 0.02
	// holdMargin covers the rounding of durations in messages.
	holdMargin = 30 * time.Millisecond
	// callRetryDelay is the delay before a failed grant or release is retried.
	callRetryDelay = 300 * time.Millisecond
	// storeRetryDelay is the delay before a failed store call is retried.
	storeRetryDelay = 150 * time.Millisecond
	// maxStoreRetryDelay bounds the backoff of store reads with up to retryDelayHosts
	// hosts; with more hosts the bound grows in proportion.
	maxStoreRetryDelay = 900 * time.Millisecond
	retryDelayHosts    = 20
	// minLostEpochDelay and maxLostEpochDelay bound the extra delay before a claim by
	// a host that lost its epoch to another.
	minLostEpochDelay = 500 * time.Millisecond
	maxLostEpochDelay = 2 * time.Second
	// minIsolatedDelay and maxIsolatedDelay bound that delay for a host to which no
	// other host has reported recently.
	minIsolatedDelay = 6 * time.Second
	maxIsolatedDelay = 15 * time.Second
	// takeoverTime is how long a new assigner may need before it has answered every
	// host.
	takeoverTime = 400 * time.Millisecond
	// grantInterval is the interval between the first grants of a new assigner;
	// grantSpread bounds the time in which all of them are sent.
	grantInterval = time.Millisecond
	grantSpread   = 400 * time.Millisecond
	// slowConfirmation is how long a confirmation may take before grants are made for
	// HoldMax.
	slowConfirmation = 250 * time.Millisecond
	// probeInterval is the minimum interval between probe requests for the same
	// suspects. Without it every answer, and every request that meets a suspect,
	// would cause another one.
	probeInterval = 100 * time.Millisecond
	// planInterval is the interval between plans.
	planInterval = 200 * time.Millisecond
	// publishInterval is the minimum interval between publications of the map, and so
	// the longest delay of a change, with up to publishIntervalHosts hosts; with more
	// hosts it grows in proportion, since every publication is sent to every host.
	publishInterval      = 15 * time.Millisecond
	publishIntervalHosts = 60
	// extraHostDelay is added to the delay before a claim for each host above
	// publishIntervalHosts.
	extraHostDelay = 1500 * time.Microsecond
)

// MaxGrantDelay bounds the time from the decision to grant to the last moment at
// which the grant can arrive at the server.
const MaxGrantDelay = 900 * time.Millisecond

// fenceBits is the number of low bits of a fencing token that count the assignments
// within one epoch. The bits above them hold the epoch.
const fenceBits = 24

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

// AddReport processes a report from the host named from. What it says of services and
// servers that are not known here is ignored, so that reports cannot make the state
// grow.
func (m *Machine) AddReport(now Time, from string, r Report) {
	r = m.knownPart(r)
	m.load.add(now, r)
	m.countOffered(r.Keys)
	for _, t := range r.Latencies {
		m.admission.server(t.ID).answered++
	}
	for _, c := range r.Rejected {
		m.admission.server(c.ID).rejected += float64(c.Count)
	}
	m.addFull(now, from, r.Full)
	m.suspects.recordReport(now, from)
	if from != m.cfg.Self.Name {
		m.otherReportAt = now
	}
	for _, h := range r.Reached {
		m.suspects.reached(h)
	}
	for _, h := range r.Refused {
		m.recordRefusal(now, from, h)
	}
}

// knownPart returns the part of a report that concerns sharded services and registered
// servers.
func (m *Machine) knownPart(r Report) Report {
	r.Keys = slices.DeleteFunc(slices.Clone(r.Keys), func(k KeyLoad) bool { return !slices.Contains(m.sharded, k.Service) })
	r.Latencies = slices.DeleteFunc(slices.Clone(r.Latencies), func(t ServerLatency) bool { return m.servers.Find(t.ID) == nil })
	r.Rejected = slices.DeleteFunc(slices.Clone(r.Rejected), func(c ServerCount) bool { return m.servers.Find(c.ID) == nil })
	return r
}

// recordRefusal records that a host found no process listening at a server's address.
// The server is unreachable once every host with a recent report agrees.
func (m *Machine) recordRefusal(now Time, from string, h keyrange.Holder) {
	if m.address(h) == "" || m.suspects.unreachable(now, h) {
		return
	}
	m.probeUrgent = m.probeUrgent || m.suspects.suspicions[h] == nil
	if !m.suspects.refused(now, from, h) {
		m.probeNeeded = true
		return
	}
	if m.suspects.avoid(now, h) {
		m.plannedAt = 0
	}
}

// HeardRecently reports whether a host has sent a report recently.
func (m *Machine) HeardRecently(now Time, host string) bool {
	at, ok := m.suspects.reportedAt[host]
	return ok && now-at <= reportLifetime
}

// requestProbes requests that every host probe the suspects.
func (m *Machine) requestProbes(now Time) {
	if !m.probeNeeded || !m.probeUrgent && now-m.probedAt < probeInterval {
		return
	}
	m.probeNeeded, m.probeUrgent, m.probedAt = false, false, now
	var list []Suspect
	for _, h := range m.suspects.unresolved(now) {
		if addr := m.address(h); addr != "" {
			list = append(list, Suspect{Holder: h, Address: addr})
		}
	}
	m.emit(ProbeSuspects{Suspects: list})
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
