package ownership

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rankDelay is how long a host waits, for each host ranked before it, for
	// them to propose a change.
	rankDelay = time.Second
	// planInterval is the minimum time between two checks of a service.
	planInterval = 50 * time.Millisecond
	// planPerServer is added to planInterval for each server of the service.
	planPerServer = 200 * time.Microsecond
	// replanInterval is the time between two plans of a service whose inputs
	// have not changed.
	replanInterval = 5 * time.Second
	// minRetryDelay and maxRetryDelay bound the exponential backoff after which a
	// proposal that has not appeared in the stream is made again. A proposal that
	// appears late is harmless: of two based on the same version, one is accepted.
	minRetryDelay = 2 * time.Second
	maxRetryDelay = 16 * time.Second
)

// proposer is the proposal state of one service.
type proposer struct {
	nextCheck      Instant // when the service is checked next
	flagsWaitSince Instant // since when flags have been waiting to come into force; 0 when none is
	wantedSince    Instant // since when a change has been wanted
	wanted         bool    // a change is wanted
	version        Offset  // the table version that the last proposal was based on
	attempts       int     // proposals made on that version, at most maxRetryShift
	retryAt        Instant // when the next proposal on that version may be made
	fingerprint    uint64  // of the inputs of the last plan
	plannedAt      Instant // when the last plan was made
	history        moveHistory
}

// SetServices sets the services that the catalog declares.
func (m *Machine) SetServices(specs []ServiceSpec) { m.services = specs }

// rank returns this host's rank, counted from 0, among the members by rendezvous
// hashing of subject (Thaler and Ravishankar, 1998).
func (m *Machine) rank(subject string) int {
	own := rendezvous(subject, m.cfg.Self.ID)
	before := 0
	for id := range m.state.Members {
		h := rendezvous(subject, id)
		if h > own || (h == own && id > m.cfg.Self.ID) {
			before++
		}
	}
	return before
}

func rendezvous(subject string, id MemberID) uint64 {
	return xxhash.Sum64String(subject + "\x00" + string(id))
}

// mayPropose reports whether this host may propose records: only a member with a
// view lease has a view that is recent enough to plan.
func (m *Machine) mayPropose(now Instant) bool { return m.hasLease(now) }

// propose proposes the assignment changes that are due. The host ranked first for
// a service proposes at once, each further one after rankDelay more.
func (m *Machine) propose(now Instant) {
	if !m.mayPropose(now) {
		return
	}
	for i := range m.services {
		spec := &m.services[i]
		p := m.proposerOf(spec.Name)
		if now < p.nextCheck {
			continue
		}
		p.nextCheck = now + planInterval + time.Duration(len(spec.Servers))*planPerServer
		m.proposeService(now, spec, p)
	}
}

func (m *Machine) proposerOf(service string) *proposer {
	p := m.proposers[service]
	if p == nil {
		p = &proposer{}
		m.proposers[service] = p
	}
	return p
}

func (m *Machine) proposeService(now Instant, spec *ServiceSpec, p *proposer) {
	table := m.state.Tables[spec.Name]
	p.history.observe(now, table, m.lostServers(now, spec))
	if p.awaitsFlags(now, m.flagsActivating(spec.Name)) {
		return
	}
	version := tableVersion(table)
	if version != p.version {
		p.version, p.attempts, p.retryAt, p.wanted = version, 0, 0, false
	}
	if !p.due(now, m.fingerprint(now, spec, p), m.rank(spec.Name)) {
		return
	}
	a, cause := m.plan(now, spec, p)
	if a == nil {
		p.wanted = false
		return
	}
	if !p.wanted {
		p.wanted, p.wantedSince = true, now
	}
	if now < p.proposeAt(m.rank(spec.Name)) {
		return
	}
	p.retryAt = now + min(minRetryDelay<<p.attempts, maxRetryDelay)
	p.attempts = min(p.attempts+1, maxRetryShift)
	m.actions = append(m.actions, Append{Record: Record{
		ID:     m.recordID(),
		Author: m.cfg.Self.ID,
		Cause:  cause,
		Kind:   AssignRecord,
		Assign: a,
	}})
}

// maxRetryShift bounds the exponent of the retry backoff.
const maxRetryShift = 8

// due reports whether to plan again: an input changed, a wanted change may now be
// proposed, or the last plan is older than replanInterval.
func (p *proposer) due(now Instant, fingerprint uint64, rank int) bool {
	proposable := p.wanted && now >= p.proposeAt(rank)
	if proposable || fingerprint != p.fingerprint || p.plannedAt == 0 || now >= p.plannedAt+replanInterval {
		p.fingerprint, p.plannedAt = fingerprint, now
		return true
	}
	return false
}

// proposeAt returns when the host of the given rank may propose the wanted change.
func (p *proposer) proposeAt(rank int) Instant {
	return max(p.wantedSince+time.Duration(rank)*rankDelay, p.retryAt)
}

func tableVersion(t *Table) Offset {
	if t == nil {
		return 0
	}
	return t.Version
}

func (m *Machine) recordID() string {
	m.sequence++
	return fmt.Sprintf("%s#%d", m.cfg.Self.ID, m.sequence)
}

// JoinRecord returns the record that makes this host a member.
func (m *Machine) JoinRecord() Record {
	self := m.cfg.Self
	return Record{ID: m.recordID(), Author: self.ID, Cause: "start", Kind: JoinRecord, Member: &self}
}

// LeaveRecord returns the record that ends this host's membership.
func (m *Machine) LeaveRecord() Record {
	self := m.cfg.Self.ID
	return Record{ID: m.recordID(), Author: self, Cause: "planned stop", Kind: LeaveRecord, Remove: []MemberID{self}}
}

// moveHistory records when the shards of a service moved and since when its
// servers have been up, as far as this host has observed.
type moveHistory struct {
	table    *Table
	movedAt  []Instant
	recent   []Instant // moves within the last minute, oldest first
	down     map[string]bool
	upSince  map[string]Instant // servers that this host saw start or return
	declared map[string]bool
}

// observe records the current table and the servers that are lost.
func (h *moveHistory) observe(now Instant, table *Table, lost map[string]bool) {
	h.observeServers(now, lost)
	if table == nil || table == h.table {
		return
	}
	old := h.table
	h.table = table
	if old == nil || len(old.Shards) != len(table.Shards) {
		h.movedAt = slices.Repeat([]Instant{now}, len(table.Shards))
		return
	}
	h.recent = slices.DeleteFunc(h.recent, func(at Instant) bool { return at+time.Minute <= now })
	for i, p := range table.Shards {
		if p.Record == old.Shards[i].Record || owner(p) == owner(old.Shards[i]) {
			continue
		}
		h.movedAt[i] = now
		if len(h.recent) < maxRecentMoves {
			h.recent = append(h.recent, now)
		}
	}
}

// maxRecentMoves bounds the moves that are recorded for the budget.
const maxRecentMoves = 1 << 16

func (h *moveHistory) observeServers(now Instant, lost map[string]bool) {
	if h.upSince == nil {
		h.upSince = map[string]Instant{}
	}
	for id := range h.down {
		if !lost[id] {
			h.upSince[id] = now
		}
	}
	h.down = lost
}

// observeDeclared records the declared servers. Those already declared when this
// host started get no slow start.
func (h *moveHistory) observeDeclared(now Instant, ids []string) {
	if h.declared == nil {
		h.declared = map[string]bool{}
		for _, id := range ids {
			h.declared[id] = true
		}
	}
	for _, id := range ids {
		if !h.declared[id] {
			h.declared[id] = true
			h.upSince[id] = now
		}
	}
}

// movesLeft returns how many moves are left of a budget of perMinute moves a minute.
func (h *moveHistory) movesLeft(now Instant, perMinute int) int {
	used := 0
	for _, at := range h.recent {
		if at+time.Minute > now {
			used++
		}
	}
	return max(perMinute-used, 0)
}

// slowStartShare returns the fraction of its weight that a server may use. It grows
// from 0 to 1 during slowStart after the server starts or returns.
func (h *moveHistory) slowStartShare(now Instant, id string, slowStart time.Duration) float64 {
	since, ok := h.upSince[id]
	if !ok || slowStart <= 0 || now >= since+slowStart {
		return 1
	}
	return float64(now-since) / float64(slowStart)
}

func owner(p Placement) string {
	if len(p.Servers) == 0 {
		return ""
	}
	return p.Servers[0]
}

// sortedDrains returns the draining servers of a service.
func (m *Machine) sortedDrains(service string) []string {
	var out []string
	for d := range m.state.Drains {
		if d.Service == service {
			out = append(out, d.Server)
		}
	}
	slices.SortFunc(out, cmp.Compare)
	return out
}
