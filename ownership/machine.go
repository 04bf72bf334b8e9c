package ownership

import "time"

// Config holds the settings of a Machine.
type Config struct {
	Self  Member
	TTL   time.Duration // lease duration, measured from the start of the confirming round
	Round time.Duration // time between confirmation rounds
	// Margin is subtracted from every lease to allow for clock drift: the rates
	// of two hosts' clocks may differ by Margin/TTL.
	Margin time.Duration
}

// Default lease timing.
const (
	DefaultTTL    = 400 * time.Millisecond
	DefaultRound  = 150 * time.Millisecond
	DefaultMargin = 10 * time.Millisecond
)

// Action is an action that the caller of a Machine must carry out.
type Action interface{ action() }

// Send asks for a Confirm to be sent to a member.
type Send struct {
	To  Member
	Msg Confirm
}

// Append asks for a record to be appended to the ownership stream.
type Append struct{ Record Record }

func (Send) action()   {}
func (Append) action() {}

// rules lists the conditions that keep ownership exclusive. Tests disable single
// ones to show that each is needed.
type rules struct {
	waitTTL       bool // a change waits until the leases of hosts that have not acknowledged it expire
	needMajority  bool // a change needs acknowledgement by majorities
	ordered       bool // majorities are of the members before and after a change, not of the newest
	stopOnRemoval bool // a removed host stops routing at once
	learnFlags    bool // a host takes over flags from confirmations
	releaseSeat   bool // a host that released its seat acknowledges nothing
}

// Machine is the ownership state machine of one entry host.
type Machine struct {
	cfg          Config
	rules        rules
	state        *State                     // the state after every applied record
	inForce      *State                     // the newest state whose records are all in force
	active       Offset                     // last record in force
	catalog      Offset                     // last applied record of the profile stream
	memberSets   []memberSet                // member sets from the last record in force through the last applied record
	pending      []*pendingChange           // applied records that are not yet in force, in log order
	readyCount   int                        // how many of the pending changes have their majorities
	previous     map[placementKey]Placement // placements that pending changes replace
	forceRemoved map[MemberID]bool
	// replaced holds members whose process has ended because a new process of
	// their host has joined.
	replaced map[MemberID]bool
	resigned map[MemberID]bool // members whose leave record lists what they had acknowledged
	attested Offset            // other hosts attested that every record through it is in force
	departed []departedMember

	lease         Instant // end of this host's view lease
	rounds        map[uint64]*round
	roundNo       uint64
	lastRoundAt   Instant // when the last round started
	nextRoundAt   Instant // when the next round starts
	nextRoundFull bool    // the next round asks every peer
	started       bool

	peers          map[MemberID]*peerInfo
	acked          Offset // offset through which this host acknowledges records
	ackedFlags     []Flag
	flags          map[flagKey]*flagState
	suspects       map[flagKey]Suspect // this host's own judgement
	doubts         map[flagKey]bool    // servers that this host doubts
	newPeerDoubts  []Suspect           // servers that peers have started to doubt
	queries        map[OutstandingQuery]*queryState
	unreported     int     // queries that the caller has yet to answer
	routed         bool    // this host may have sent requests
	removed        bool    // this host's own removal was applied
	released       bool    // this host has released its seat
	inheritedUntil Instant // when the requests and grants of the seat's previous host have ended

	view      *View    // the last one built; nil when its routes are out of date
	members   []Member // sorted members of state; nil when out of date
	otherList []Member // cache for others; nil when out of date
	views     map[string]*ServiceView
	dirty     map[string]bool // services whose routes must be rebuilt
	actions   []Action

	services  []ServiceSpec
	proposers map[string]*proposer
	sequence  uint64 // number of the last record id
	watch     memberWatch
}

// NewMachine returns a machine that has applied no record.
func NewMachine(cfg Config) *Machine {
	state := NewState()
	return &Machine{
		cfg:          cfg,
		rules:        rules{waitTTL: true, needMajority: true, ordered: true, stopOnRemoval: true, learnFlags: true, releaseSeat: true},
		state:        state,
		inForce:      state,
		memberSets:   []memberSet{{members: state.Members}},
		previous:     map[placementKey]Placement{},
		forceRemoved: map[MemberID]bool{},
		replaced:     map[MemberID]bool{},
		resigned:     map[MemberID]bool{},
		rounds:       map[uint64]*round{},
		peers:        map[MemberID]*peerInfo{},
		flags:        map[flagKey]*flagState{},
		suspects:     map[flagKey]Suspect{},
		doubts:       map[flagKey]bool{},
		queries:      map[OutstandingQuery]*queryState{},
		views:        map[string]*ServiceView{},
		dirty:        map[string]bool{},
		proposers:    map[string]*proposer{},
	}
}

// Self returns this host's member record.
func (m *Machine) Self() Member { return m.cfg.Self }

// State returns the state after every applied record.
func (m *Machine) State() *State { return m.state }

// InForce returns the newest state whose records are all in force.
func (m *Machine) InForce() *State { return m.inForce }

// Ready returns the actions that have accumulated since the last call.
func (m *Machine) Ready() []Action {
	out := m.actions
	m.actions = nil
	for i, action := range out {
		if a, ok := action.(Append); ok {
			a.Record.Active = m.active
			out[i] = a
		}
	}
	return out
}

// ApplyRecord applies the record at offset. The error says why the record is void.
func (m *Machine) ApplyRecord(now Instant, offset Offset, data []byte) (Record, error) {
	old := m.state
	next, r, err := old.Apply(offset, data)
	if next == old {
		return r, err
	}
	m.state = next
	if err == nil {
		m.trackRecord(now, old, r)
		m.applyAttestation(now, r)
	}
	m.acknowledge(now)
	m.advance(now)
	return r, err
}

// trackRecord adds what the newest record, r, changed since old to the pending
// changes.
func (m *Machine) trackRecord(now Instant, old *State, r Record) {
	switch r.Kind {
	case JoinRecord, LeaveRecord, RemoveRecord:
		m.trackMembership(old, r)
	case AssignRecord:
		m.trackAssignment(old, r)
	}
}

// SetCatalog records the applied offset of the profile stream.
func (m *Machine) SetCatalog(applied Offset) {
	m.catalog = max(applied, m.catalog)
	m.peer(m.cfg.Self.ID).catalog = m.catalog
}

// Acknowledged returns the offsets of the ownership stream and of the profile
// stream that a member has reported as applied.
func (m *Machine) Acknowledged(id MemberID) (ownership, profiles Offset) {
	info := m.peers[id]
	if info == nil {
		return 0, 0
	}
	return info.applied, info.catalog
}

// Tick starts a confirmation round when one is due and brings changes into force.
func (m *Machine) Tick(now Instant) {
	if m.released {
		return
	}
	m.raiseFlags(now)
	if !m.started || now >= m.nextRoundAt {
		m.startRound(now)
	}
	m.askRemainingPeers(now)
	m.advance(now)
	m.propose(now)
	m.watchMembers(now)
}

// advance brings into force every change and flag whose conditions are met.
func (m *Machine) advance(now Instant) {
	if m.released {
		return
	}
	m.expireQueries(now)
	m.activate(now)
	m.activateFlags(now)
}

// withDrift extends d so that d has passed on every host's clock, whatever its
// drift.
func (m *Machine) withDrift(d time.Duration) time.Duration {
	slow := m.cfg.TTL - m.cfg.Margin
	return d + time.Duration(float64(d)*float64(m.cfg.Margin)/float64(slow)) + 1
}
