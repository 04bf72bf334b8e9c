// Package assigner decides which backend server owns which keys.
//
// One host at a time is the assigner. The store arbitrates: a record names the
// assigner and its epoch, and each record is appended on the condition that the
// partition ends where its author believes. The machine is pure: it is told
// results and the time, and hands out actions. It has no clock, no I/O and no
// goroutine.
//
// Invariants:
//   - An assigner grants and releases only while a read of the store that showed
//     its epoch, or an append of its own, began less than Lease ago. A successor
//     counts on that.
//   - A range is granted only after the record that names its owner and token is
//     known to be in the store, and after every earlier holder has answered a
//     release under the new token, has ended, or can no longer hold it.
//   - A release carries the new owner's token, so that a late renewal of the old
//     grant is refused by the old holder.
package assigner

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// Config holds the times of the protocol.
type Config struct {
	Self Host
	// Lease is how long a read of the store that shows the own epoch counts.
	Lease time.Duration
	// ConfirmEvery is the pause between such reads.
	ConfirmEvery time.Duration
	// ClaimDelay is added for hosts that suit less as the assigner.
	ClaimDelay time.Duration
	// SilenceBeforeClaim is how long a host waits for the assigner before it
	// claims the next epoch. Each rank waits RankDelay more.
	SilenceBeforeClaim time.Duration
	RankDelay          time.Duration
	// Hold is how long a grant lasts while the store answers well, HoldMax
	// while it does not.
	Hold    time.Duration
	HoldMax time.Duration
	// RenewEvery is the pause between renewals of one grant.
	RenewEvery time.Duration
	// FirstPlanDelay is how long the first servers of a service wait for the others
	// before the first plan.
	FirstPlanDelay time.Duration
}

// Times of the protocol.
const (
	// clockDrift bounds how slow a backend server's clock may run.
	clockDrift = 0.02
	// holdMargin covers the rounding of times on the way.
	holdMargin = 30 * time.Millisecond
	// retryCall is the pause before a failed grant or release is sent again.
	callRetryDelay = 300 * time.Millisecond
	// retryStore is the pause before a failed call to the store is made again.
	storeRetryDelay = 150 * time.Millisecond
	// longestRetry bounds that pause while the store does not answer, for up to
	// hostsThatRetry hosts; for more it grows with their number.
	maxStoreRetryDelay = 900 * time.Millisecond
	retryDelayHosts    = 20
	// firstLostPause and longestLostPause bound the pause before a claim by a host
	// that lost its epoch to another.
	minLostEpochDelay = 500 * time.Millisecond
	maxLostEpochDelay = 2 * time.Second
	// firstAlonePause and longestAlonePause bound it for a host that no other
	// followed.
	minIsolatedDelay = 6 * time.Second
	maxIsolatedDelay = 15 * time.Second
	// takeoverTime is how long a new assigner may need to answer every host.
	takeoverTime = 400 * time.Millisecond
	// grantPause is the pause between the first grants of a new assigner, and
	// grantSpread bounds the time for all.
	grantInterval = time.Millisecond
	grantSpread   = 400 * time.Millisecond
	// slowStore is how long a confirmation may take before grants are lengthened.
	slowConfirmation = 250 * time.Millisecond
	// askPause is the pause between questions about the same suspects: every answer
	// and every request that meets one reports it again.
	probeInterval = 100 * time.Millisecond
	// planEvery is the pause between plans.
	planInterval = 200 * time.Millisecond
	// publishEvery is the longest pause between changes of grants and their
	// publication to hostsAtOnce hosts; for more it grows with their number, since
	// every host is told of each.
	publishInterval      = 15 * time.Millisecond
	publishIntervalHosts = 60
	// crowdDelay is added for each host above hostsAtOnce before a claim.
	extraHostDelay = 4 * time.Millisecond
)

// MaxGrantDelay bounds the time from the decision to grant to the last moment at
// which the grant can arrive at the server.
const MaxGrantDelay = 900 * time.Millisecond

// fenceBits is the number of bits that count the moves of one epoch.
const fenceBits = 24

// omissions are rules of the protocol that a test leaves out, to show that its
// model notices.
type omissions struct {
	freshRead    bool // act without a recent read of the store
	takeoverWait bool // ignore grants of an earlier assigner
	record       bool // grant before the record is in the store
	newFence     bool // assign the same token again
	raisedFence  bool // release with the old owner's token
	samePlace    bool // append an in-doubt record again wherever the partition ends
}

// role is what this host is in the protocol.
type role uint8

const (
	follower role = iota
	claiming
	leading
)

// Machine is the state machine of one host.
type Machine struct {
	cfg  Config
	rank int

	role   role
	known  Record // newest known record
	loaded bool   // the store has been read at least once
	end    uint64 // end of the partition as last known

	heardAt Time // when an assigner with a valid lease was last heard from
	// lostPause is added before a claim after an epoch was lost at lostAt.
	lostEpochDelay time.Duration
	lostAt         Time
	// followedAt is when another host reported last.
	otherReportAt  Time
	storeBusy      bool // a Load or an Append is outstanding
	storeRetryAt   Time
	loadRetryDelay time.Duration // backoff after a Load that failed

	confirmedAt    Time
	confirmStarted Time
	confirming     bool
	confirmFailed  bool
	degraded       bool // grants are made for HoldMax

	// pending is the record whose append at pendingAt is outstanding or in doubt.
	pending   *Record
	pendingAt uint64
	ranges    []*rangeState
	change    uint64

	servers   *directory.Snapshot
	sharded   []string
	firstSeen map[string]Time
	suspects  *suspects
	// askAgain says that a server is suspected whose hosts are to be asked, askNow
	// that it was not asked about before. askedAt is when they were asked last.
	probeNeeded bool
	probeUrgent bool
	probedAt    Time
	load        *loads
	plannedAt   Time
	dirty       bool
	resigned    bool
	publishedAt Time
	// published is the map that was published last, nil when there is none.
	published *keyrange.Map

	omit omissions
	out  []Action
}

// New returns the machine of a host. Now is the present time.
func New(cfg Config, now Time) *Machine {
	return &Machine{
		cfg:       cfg,
		heardAt:   now,
		servers:   &directory.Snapshot{},
		firstSeen: map[string]Time{},
		suspects:  newSuspects(),
		load:      newLoads(),
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

// SetRank sets the host's place in the order of claims.
func (m *Machine) SetRank(rank int) { m.rank = rank }

// Leads reports whether this host is the assigner and may act.
func (m *Machine) Leads(now Time) bool { return m.role == leading && m.mayAct(now) }

// End returns the partition's end as last known.
func (m *Machine) End() uint64 { return m.end }

// Silence returns how long no assigner has been heard.
func (m *Machine) Silence(now Time) time.Duration { return now - m.heardAt }

// Assigner returns the host that the newest known record names.
func (m *Machine) Assigner() Host { return m.known.Assigner }

// Epoch returns the newest known epoch.
func (m *Machine) Epoch() uint64 { return m.known.Epoch }

// SetServers takes the newest directory and the names of the sharded services.
func (m *Machine) SetServers(now Time, s Servers) {
	m.servers, m.sharded = s.Snapshot, s.Sharded
	for _, v := range s.Snapshot.Servers {
		if _, ok := m.firstSeen[v.Service]; !ok {
			m.firstSeen[v.Service] = now
		}
	}
}

// AddReport takes a report of the host with a name.
func (m *Machine) AddReport(now Time, from string, r Report) {
	m.load.add(now, r)
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

// refused notes that a host found no process at a server's address. The server
// is unreachable once every host that is heard says so.
func (m *Machine) recordRefusal(now Time, from string, h keyrange.Holder) {
	if h.ID == "" || m.suspects.unreachable(now, h) {
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

// HeardRecently reports whether a host has reported lately.
func (m *Machine) HeardRecently(now Time, host string) bool {
	at, ok := m.suspects.reportedAt[host]
	return ok && now-at <= reportLifetime
}

// askHosts asks every host about the suspects.
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

// mayAct reports whether a successor can not have acted yet.
func (m *Machine) mayAct(now Time) bool {
	return m.omit.freshRead || now-m.confirmedAt < m.cfg.Lease
}

// Tick advances the machine to now.
func (m *Machine) Tick(now Time) {
	switch m.role {
	case follower:
		m.tickFollower(now)
	case leading:
		m.tickLeading(now)
	}
}
