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
	"sort"
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
	// Settle is how long the first servers of a service wait for the others
	// before the first plan.
	Settle time.Duration
}

// Times of the protocol.
const (
	// clockDrift bounds how slow a backend server's clock may run.
	clockDrift = 0.02
	// holdMargin covers the rounding of times on the way.
	holdMargin = 30 * time.Millisecond
	// retryCall is the pause before a failed grant or release is sent again.
	retryCall = 300 * time.Millisecond
	// retryStore is the pause before a failed call to the store is made again.
	retryStore = 150 * time.Millisecond
	// longestRetry bounds that pause while the store does not answer.
	longestRetry = 900 * time.Millisecond
	// firstLostPause and longestLostPause bound the pause before a claim by a host
	// that lost its epoch to another.
	firstLostPause   = 500 * time.Millisecond
	longestLostPause = 2 * time.Second
	// firstAlonePause and longestAlonePause bound it for a host that no other
	// followed.
	firstAlonePause   = 6 * time.Second
	longestAlonePause = 15 * time.Second
	// takeoverTime is how long a new assigner may need to answer every host.
	takeoverTime = 400 * time.Millisecond
	// grantPause is the pause between the first grants of a new assigner, and
	// grantSpread bounds the time for all.
	grantPause  = time.Millisecond
	grantSpread = 400 * time.Millisecond
	// slowStore is how long a confirmation may take before grants are lengthened.
	slowStore = 250 * time.Millisecond
	// planEvery is the pause between plans.
	planEvery = 200 * time.Millisecond
	// publishEvery is the longest pause between changes of grants and their publication.
	publishEvery = 15 * time.Millisecond
)

// GrantSpan bounds the time from the decision to grant to the last moment at
// which the grant can arrive at the server.
const GrantSpan = 900 * time.Millisecond

// fenceBits is the number of bits that count the moves of one epoch.
const fenceBits = 24

// omissions are rules of the protocol that a test leaves out, to show that its
// model notices.
type omissions struct {
	freshRead    bool // act without a fresh read of the store
	takeoverWait bool // count no holds of an earlier assigner
	record       bool // grant before the record is in the store
	newFence     bool // hand out the same token again
	raisedFence  bool // release with the old owner's token
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
	known  Record // newest record known
	loaded bool   // a record or its absence has been read
	end    uint64

	heardAt Time // last word from an assigner with a valid lease
	// lostPause is added before a claim after an epoch was lost at lostAt.
	lostPause time.Duration
	lostAt    Time
	// followedAt is when another host reported last.
	followedAt Time
	storeBusy  bool // a Load or an Append is outstanding
	storeRetry Time
	loadPause  time.Duration // before the next Load after one that failed

	confirmedAt    Time
	confirmStarted Time
	confirming     bool
	confirmFailed  bool
	troubled       bool // grants are lengthened

	pending *Record // record whose append is outstanding or in doubt
	ranges  []*rangeState
	taken   Time // when the epoch began
	change  uint64

	servers  *directory.Snapshot
	sharded  []string
	firstSee map[string]Time
	suspects *suspects
	askAgain bool
	load     *loads
	planned  Time
	dirty    bool
	resigned bool
	lastPub  Time
	// published is the map that was published last, nil when there is none.
	published *keyrange.Map

	omit omissions
	out  []Action
}

// New returns the machine of a host. Now is the present time.
func New(cfg Config, now Time) *Machine {
	return &Machine{
		cfg:      cfg,
		heardAt:  now,
		servers:  &directory.Snapshot{},
		firstSee: map[string]Time{},
		suspects: newSuspects(),
		load:     newLoads(),
	}
}

// Ready returns the actions since the last call.
func (m *Machine) Ready() []Action {
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) do(a Action) { m.out = append(m.out, a) }

// SetHosts sets the number of registered entry hosts.
func (m *Machine) SetHosts(n int) { m.suspects.registered = n }

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

// HeardAssigner tells that the assigner of an epoch answered and holds its lease.
func (m *Machine) HeardAssigner(now Time, epoch uint64) {
	if m.role == leading || epoch < m.known.Epoch {
		return
	}
	m.heardAt = now
	if now-m.lostAt > longestLostPause {
		m.lostPause = 0
	}
}

// LearnAssigner tells whom another host follows. It serves to find the assigner
// while the store does not answer; claims always read the store first.
func (m *Machine) LearnAssigner(now Time, epoch uint64, h Host) {
	if m.role == follower && epoch > m.known.Epoch && h.Name != "" {
		m.known = Record{Epoch: epoch, Assigner: h}
		m.heardAt = now + takeoverTime
	}
}

// Abandoned tells that the assigner has resigned or has lost the store: the
// next one need not wait.
func (m *Machine) Abandoned(now Time, epoch uint64) {
	if m.role == follower && epoch >= m.known.Epoch {
		m.heardAt = min(m.heardAt, now-m.cfg.SilenceBeforeClaim)
	}
}

// SetServers takes the newest directory and the names of the sharded services.
func (m *Machine) SetServers(now Time, s Servers) {
	m.servers, m.sharded = s.Snapshot, s.Sharded
	for _, v := range s.Snapshot.Servers {
		if _, ok := m.firstSee[v.Service]; !ok {
			m.firstSee[v.Service] = now
		}
	}
}

// AddReport takes a report of the host with a name.
func (m *Machine) AddReport(now Time, from string, r Report) {
	m.load.add(now, r)
	m.suspects.heard(now, from)
	if from != m.cfg.Self.Name {
		m.followedAt = now
	}
	for _, h := range r.Reached {
		m.suspects.reached(h)
	}
	for _, h := range r.Refused {
		m.refused(now, from, h)
	}
}

// refused notes that a host found no process at a server's address. The server
// is unreachable once every host that is heard says so.
func (m *Machine) refused(now Time, from string, h keyrange.Holder) {
	if h.ID == "" || m.suspects.unreachable(now, h) {
		return
	}
	if !m.suspects.refused(now, from, h) {
		m.askAgain = true
		return
	}
	if m.suspects.avoid(now, h) {
		m.planned = 0
	}
}

// Hears reports whether a host has reported lately.
func (m *Machine) Hears(now Time, host string) bool {
	at, ok := m.suspects.hosts[host]
	return ok && now-at <= hostHeard
}

// askHosts asks every host about the suspects.
func (m *Machine) askHosts(now Time) {
	if !m.askAgain {
		return
	}
	m.askAgain = false
	var list []Suspect
	for _, h := range m.suspects.open(now) {
		if addr := m.address(h); addr != "" {
			list = append(list, Suspect{Holder: h, Address: addr})
		}
	}
	m.do(Ask{Suspects: list})
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

func (m *Machine) tickFollower(now Time) {
	wait := m.cfg.SilenceBeforeClaim + time.Duration(m.rank)*m.cfg.RankDelay + m.cfg.ClaimDelay
	if !m.loaded {
		wait = m.cfg.ClaimDelay
	}
	if m.resigned || m.storeBusy || now < m.storeRetry || now-m.heardAt < wait {
		return
	}
	m.storeBusy = true
	m.do(Load{})
}

// StepLoaded takes the answer to a Load.
func (m *Machine) StepLoaded(now Time, e Loaded) {
	m.storeBusy = false
	if e.Result != StoreOK {
		m.loadPause = min(max(2*m.loadPause, retryStore), longestRetry)
		m.storeRetry = now + m.loadPause
		return
	}
	m.loadPause = 0
	first := !m.loaded
	m.loaded = true
	m.end = e.End
	var rec Record
	if e.Record != nil {
		rec = *e.Record
	}
	if m.pending != nil && m.resolve(now, e, rec) {
		return
	}
	newer := m.known.Version().Less(rec.Version()) || rec.Assigner != m.known.Assigner
	m.known = rec
	if m.role == leading {
		m.stepDown(now)
		return
	}
	if rec.Assigner == m.cfg.Self && !m.resigned {
		m.lead(now, e.Start)
		return
	}
	other := rec.Assigner.Name != "" && rec.Assigner.Name != m.cfg.Self.Name
	if other && (first || newer) {
		m.heardAt = now + takeoverTime // another assigner was found: give it time to answer
		m.publishRecorded(rec)
		return
	}
	if other && now-m.heardAt < m.claimWait() {
		m.storeRetry = now + m.cfg.SilenceBeforeClaim
		return
	}
	m.claim(now)
}

// claimWait is how long this host hears no assigner before it claims.
func (m *Machine) claimWait() time.Duration {
	return m.cfg.SilenceBeforeClaim + time.Duration(m.rank)*m.cfg.RankDelay + m.cfg.ClaimDelay + m.lostPause
}

// publishRecorded tells this host the recorded map while it cannot ask the
// assigner. Whether a range was granted is not recorded; a server that does not
// hold it yet says so.
func (m *Machine) publishRecorded(rec Record) {
	out := &keyrange.Map{Version: rec.Version(), Tables: rec.Tables}
	out = out.Clone()
	for _, t := range out.Tables {
		for i := range t.Ranges {
			t.Ranges[i].Granted = true
			t.Ranges[i].Prior = nil
		}
	}
	m.do(Publish{Map: out})
}

// resolve settles an append in doubt. It reports whether the load was used up.
func (m *Machine) resolve(now Time, e Loaded, rec Record) bool {
	p := *m.pending
	if rec.Assigner == p.Assigner && rec.Version() == p.Version() {
		m.StepAppended(now, Appended{Result: StoreOK, Start: e.Start, End: e.End})
		return true
	}
	if rec.Version() == m.known.Version() && rec.Assigner == m.known.Assigner {
		m.storeBusy = true // the same bytes again: a late first append changes nothing
		m.do(Append{At: m.end, Record: p})
		return true
	}
	m.pending = nil
	return false
}

func (m *Machine) claim(now Time) {
	if m.resigned {
		return
	}
	rec := m.known
	rec.Epoch, rec.Change, rec.Assigner = rec.Epoch+1, 0, m.cfg.Self
	rec.Fences = keyrange.Fence(rec.Epoch << fenceBits)
	if !m.omit.newFence {
		rec.Tables = renumbered(rec.Tables, &rec.Fences)
	}
	m.role = claiming
	m.append(rec)
}

// renumbered gives every range a new token and joins neighbours with the same
// owner. Once its owner has answered a grant under the new token, grants of earlier
// assigners no longer count there.
func renumbered(tables []keyrange.Table, fences *keyrange.Fence) []keyrange.Table {
	out := make([]keyrange.Table, 0, len(tables))
	for _, t := range tables {
		var ranges []keyrange.Range
		for _, r := range t.Ranges {
			if n := len(ranges); n > 0 && joinable(ranges[n-1], r) {
				ranges[n-1].To = r.To
				continue
			}
			*fences++
			r.Fence = *fences
			ranges = append(ranges, r)
		}
		out = append(out, keyrange.Table{Service: t.Service, Ranges: ranges})
	}
	return out
}

// joinable reports whether b may become part of a: the same owner has both, and
// nobody else can hold either.
func joinable(a, b keyrange.Range) bool {
	return a.Owner == b.Owner && int(a.To)+1 == int(b.From) && len(a.Prior) == 0 && len(b.Prior) == 0
}

func (m *Machine) append(rec Record) {
	m.pending = &rec
	m.storeBusy = true
	if m.omit.record && m.role == leading {
		m.adopt(m.planned, rec)
	}
	m.do(Append{At: m.end, Record: rec})
}

// StepAppended takes the answer to an Append.
func (m *Machine) StepAppended(now Time, e Appended) {
	m.storeBusy = false
	if m.pending == nil {
		return
	}
	switch e.Result {
	case StoreOK:
		rec := *m.pending
		m.pending, m.end = nil, e.End
		m.known = rec
		if m.role == leading && !m.resigned {
			m.confirmedAt = max(m.confirmedAt, e.Start)
			m.adopt(now, rec)
		} else if !m.resigned {
			m.lead(now, e.Start)
		}
	case StoreConflict, StoreDoubt:
		// Only the store knows whose record came first.
		m.storeBusy = true
		m.do(Load{})
		if m.role == claiming {
			m.role = follower
		}
	case StoreFailed:
		m.storeRetry = now + retryStore
		m.pending = nil
		if m.role == claiming {
			m.role = follower
		}
	}
}

// lead begins to act under the epoch of the known record.
func (m *Machine) lead(now, start Time) {
	m.role = leading
	m.confirmedAt = start
	m.confirming, m.confirmFailed = false, false
	m.taken = now
	m.ranges = nil
	m.load.reset(now)
	m.suspects.reset()
	m.change = m.known.Change
	// An earlier assigner may have renewed any holder until its lease ended.
	bound := now + m.cfg.Lease + m.holdEnd(m.cfg.HoldMax) + GrantSpan
	if m.omit.takeoverWait {
		bound = now
	}
	total := 0
	for _, t := range m.known.Tables {
		total += len(t.Ranges)
	}
	for _, t := range m.known.Tables {
		for _, r := range t.Ranges {
			r.Granted = false
			s := newRangeState(t.Service, r, bound, now-restTime)
			s.unproven = true
			s.nextGrant = now + time.Duration(len(m.ranges))*min(grantPause, grantSpread/time.Duration(total))
			m.ranges = append(m.ranges, s)
		}
	}
	m.dirty = true
}

// stepDown ends the own epoch after another host's claim. A host that the others
// do not hear loses each epoch soon: it waits longer each time before it claims.
func (m *Machine) stepDown(now Time) {
	m.role = follower
	shortest, longest := firstLostPause, longestLostPause
	if now-m.followedAt > hostHeard {
		shortest, longest = firstAlonePause, longestAlonePause
	}
	m.lostPause = min(max(2*m.lostPause, shortest), longest)
	m.ranges = nil
	m.pending = nil
	m.heardAt, m.lostAt = now, now
}

// Resign gives the epoch up before a planned stop.
func (m *Machine) Resign(now Time) {
	if m.resigned {
		return
	}
	m.resigned = true
	if m.role != leading || !m.mayAct(now) || m.storeBusy {
		return
	}
	rec := m.record()
	rec.Assigner = Host{}
	m.role = follower
	m.append(rec)
}

// holdEnd is how long after its arrival a grant of the given time may last.
func (m *Machine) holdEnd(hold time.Duration) time.Duration {
	return holdMargin + hold + time.Duration(float64(hold)*clockDrift)
}

func (m *Machine) tickLeading(now Time) {
	m.confirm(now)
	if !m.mayAct(now) {
		return
	}
	m.askHosts(now)
	if !m.storeBusy && now >= m.storeRetry {
		m.planOrResolve(now)
	}
	hold := m.holdTime(now)
	for _, r := range m.ranges {
		m.driveRange(now, r, hold)
	}
	if m.dirty && now-m.lastPub >= publishEvery {
		m.dirty = false
		m.lastPub = now
		m.change++
		m.published = m.publishable()
		m.do(Publish{Map: m.published})
	}
}

// planOrResolve plans, unless the last record is still in doubt.
func (m *Machine) planOrResolve(now Time) {
	if m.pending != nil {
		m.storeBusy = true
		m.do(Load{})
		return
	}
	if now-m.planned >= planEvery {
		m.planned = now
		m.plan(now)
	}
}

// holdTime returns how long grants last. When the store's trouble begins, every
// grant is renewed at once for the longest time, so that keys outlast an outage.
func (m *Machine) holdTime(now Time) time.Duration {
	troubled := m.storeTroubled(now)
	if troubled && !m.troubled {
		for _, r := range m.ranges {
			r.nextGrant = min(r.nextGrant, now)
		}
	}
	m.troubled = troubled
	if troubled {
		return m.cfg.HoldMax
	}
	return m.cfg.Hold
}

func (m *Machine) storeTroubled(now Time) bool {
	return m.confirmFailed || m.confirming && now-m.confirmStarted > slowStore
}

// StoreTroubled reports whether the assigner's last confirmation failed or is late.
func (m *Machine) StoreTroubled(now Time) bool { return m.role == leading && m.storeTroubled(now) }

func (m *Machine) confirm(now Time) {
	if m.confirming || now-m.confirmStarted < m.cfg.ConfirmEvery {
		return
	}
	m.confirming = true
	m.confirmStarted = now
	m.do(Confirm{})
}

// StepConfirmed takes the answer to a Confirm.
func (m *Machine) StepConfirmed(now Time, e Confirmed) {
	m.confirming = false
	if m.role != leading {
		return
	}
	m.confirmFailed = e.Result != StoreOK
	if m.confirmFailed {
		return
	}
	if e.End == m.end {
		m.confirmedAt = max(m.confirmedAt, e.Start)
		return
	}
	if m.storeBusy || m.pending != nil || e.End < m.end {
		return // an append of our own is on its way, or the read is older than one
	}
	m.storeBusy = true
	m.do(Load{})
}

// currentMap returns the map as this assigner sees it.
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

// publishable returns the map for the other hosts, with the change that touched
// each range last. Earlier holders are the assigner's business alone.
func (m *Machine) publishable() *keyrange.Map {
	out := m.currentMap()
	for i := range out.Tables {
		before := m.published.Table(out.Tables[i].Service)
		for j := range out.Tables[i].Ranges {
			r := &out.Tables[i].Ranges[j]
			r.Prior = nil
			r.Changed = m.change
			if before == nil || m.published.Version.Epoch != out.Version.Epoch {
				continue
			}
			old := before.Find(r.From)
			if old != nil && old.From == r.From && old.To == r.To && old.Granted == r.Granted && old.SameGrant(*r) {
				r.Changed = old.Changed
			}
		}
	}
	return out
}

// record returns the record of the present ranges.
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

// adopt takes the ranges of a record that is now in the store.
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

// inherit builds the state of a recorded range from the ranges that it was cut
// from or joined of.
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
		out.calls = nil
		return &out
	}
	bound := Time(0)
	for ; i < len(old) && old[i].service == service && old[i].From <= r.To; i++ {
		bound = max(bound, old[i].heldUntil)
		if len(old[i].Prior) > 0 {
			bound = max(bound, old[i].freeAt)
		}
	}
	s := newRangeState(service, r, bound, now)
	if s.unproven = len(r.Prior) == 0; !s.unproven {
		s.heldUntil = 0 // the new owner has been granted nothing yet
	}
	return s
}
