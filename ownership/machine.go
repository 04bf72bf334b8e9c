package ownership

import "time"

// Config holds the constants of a Machine.
type Config struct {
	Self  Member
	TTL   time.Duration // how long a confirmed view lasts, counted from the round's start
	Round time.Duration // time between confirmation rounds
	// Margin is subtracted from every lease for clock rate drift: the rates of
	// two hosts' clocks may differ by Margin/TTL.
	Margin time.Duration
}

// The default timing.
const (
	DefaultTTL    = 400 * time.Millisecond
	DefaultRound  = 150 * time.Millisecond
	DefaultMargin = 10 * time.Millisecond
)

// Action is something the caller of a Machine must carry out.
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

// rules names the conditions that keep ownership exclusive. Tests switch single
// ones off to show that each is needed.
type rules struct {
	waitTTL       bool // a change waits for the leases of those who did not acknowledge it
	needMajority  bool // a change needs majorities
	ordered       bool // a change counts the members before and after it, not the newest
	stopOnRemoval bool // a removed host stops at once
	learnFlags    bool // a host learns flags from confirmations
	releaseSeat   bool // a released seat acknowledges nothing
}

// Machine holds one entry host's control state.
type Machine struct {
	cfg          Config
	rules        rules
	state        *State // the fold of every applied record
	inForce      *State // the newest state of which every record is in force
	active       Offset // last record in force
	catalog      Offset
	memberSets   []memberSet      // the member sets from the last record in force to the last applied
	pending      []*pendingChange // applied records that are not in force, in order
	readyCount   int              // how many of these have their majorities
	previous     map[placementKey]Placement
	forceRemoved map[MemberID]bool
	// replaced holds members whose process has ended, as their host joined anew.
	replaced map[MemberID]bool
	resigned map[MemberID]bool // members that left with a record of what they knew
	attested Offset            // others knew every record through it to be in force
	departed []departedMember

	lease         Instant
	rounds        map[uint64]*round
	roundNo       uint64
	lastRoundAt   Instant // when the last round started
	nextRoundAt   Instant // when the next round starts
	nextRoundFull bool    // the next round asks every peer
	started       bool

	peers          map[MemberID]*peerInfo
	acked          Offset // what this host acknowledges
	ackedFlags     []Flag
	flags          map[flagKey]*flagState
	suspects       map[flagKey]Suspect // this host's own judgement
	doubts         map[flagKey]bool    // servers that this host doubts
	newPeerDoubts  []Suspect           // servers that peers have begun to doubt
	queries        map[OutstandingQuery]*queryState
	unreported     int
	routed         bool // this host may have sent requests
	removed        bool // this host's own removal was applied
	released       bool // this host's seat was handed over
	inheritedUntil Instant

	view      *View    // the last one built; nil when its routes are old
	members   []Member // of the state, sorted; nil when old
	otherList []Member // see others; nil when old
	views     map[string]*ServiceView
	dirty     map[string]bool
	actions   []Action

	services  []ServiceSpec
	proposers map[string]*proposer
	sequence  uint64
	watch     memberWatch
}

// NewMachine returns a machine that has applied nothing.
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

// State returns the fold of every applied record.
func (m *Machine) State() *State { return m.state }

// InForce returns the newest state of which every record is in force.
func (m *Machine) InForce() *State { return m.inForce }

// Ready returns the actions gathered since the last call.
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

// ApplyRecord folds the record at offset. The error says why it is void.
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

// trackRecord takes in what the newest record, r, has changed since old.
func (m *Machine) trackRecord(now Instant, old *State, r Record) {
	switch r.Kind {
	case JoinRecord, LeaveRecord, RemoveRecord:
		m.trackMembership(old, r)
	case AssignRecord:
		m.trackAssignment(old, r)
	}
}

// SetCatalog notes the applied offset of the profile stream.
func (m *Machine) SetCatalog(applied Offset) {
	m.catalog = max(applied, m.catalog)
	m.peer(m.cfg.Self.ID).catalog = m.catalog
}

// Acknowledged returns the offsets that a member has said it applied, of the
// ownership stream and of the profile stream.
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

// advance brings into force what may come into force at now.
func (m *Machine) advance(now Instant) {
	if m.released {
		return
	}
	m.expireQueries(now)
	m.activate(now)
	m.activateFlags(now)
}

// withDrift returns a duration after which d has passed on every host's clock.
func (m *Machine) withDrift(d time.Duration) time.Duration {
	slow := m.cfg.TTL - m.cfg.Margin
	return d + time.Duration(float64(d)*float64(m.cfg.Margin)/float64(slow)) + 1
}
