package assigner

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// Time is a reading of the host's boot-time clock, which also runs while the host is
// suspended.
type Time = time.Duration

// Host identifies one run of an entry host's process.
type Host struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Peer        string `json:"peer"` // address of its peer endpoint
}

// StoreResult is the result of a call to the store.
type StoreResult uint8

// The results of a call to the store.
const (
	StoreOK       StoreResult = iota
	StoreConflict             // the partition's end had moved; nothing was appended
	StoreFailed               // nothing was done
	StoreInDoubt              // the append may have been applied, or may yet be
)

// Loaded is the result of a Load.
type Loaded struct {
	Result StoreResult
	Start  Time    // when the read began
	Record *Record // nil when there is none
	End    uint64  // end of the partition
}

// Appended is the result of an Append.
type Appended struct {
	Result StoreResult
	Start  Time
	End    uint64
}

// Confirmed is the result of a Confirm. Result is StoreConflict when records from the
// known end on were appended and have since been removed.
type Confirmed struct {
	Result StoreResult
	Start  Time
	End    uint64
}

// CallResult is the result of a grant or a release.
type CallResult uint8

// The results of a grant or a release.
const (
	CallOK      CallResult = iota
	CallFenced             // the server has seen a higher token
	CallRefused            // no process listens at the address; nothing was sent
	CallUnsent             // no connection could be opened; nothing was sent
	CallFailed             // no answer, or one that does not tell the result
)

// String implements fmt.Stringer, for logs.
func (r CallResult) String() string {
	switch r {
	case CallOK:
		return "done"
	case CallFenced:
		return "a higher token was seen"
	case CallRefused:
		return "connection refused"
	case CallUnsent:
		return "not sent"
	}
	return "no answer"
}

// Sent reports whether the call may have reached the server.
func (r CallResult) Sent() bool { return r != CallRefused && r != CallUnsent }

// Granted is the result of a Grant.
type Granted struct {
	Service string
	Range   keyrange.Range
	Result  CallResult
	// Attributed is set if the response is certainly to this call. Without it a server in
	// trouble may have repeated its response to an earlier one.
	Attributed bool
}

// Released is the result of a Release.
type Released struct {
	Service  string
	Range    keyrange.Range
	Holder   keyrange.Holder
	Result   CallResult
	Handover string // token of the holder's state, to be passed to the next owner
}

// Action is an operation that the caller of the machine carries out.
type Action interface{ action() }

// Load reads the newest record and the partition's end.
type Load struct{}

// Append appends a record at an offset. Moves lists the changes of owner in it.
type Append struct {
	At     uint64
	Record Record
	Moves  []Move
}

// Cause is the reason for a move.
type Cause string

// The causes of moves.
const (
	CauseFirst   Cause = "first assignment"
	CauseOrphan  Cause = "owner cannot serve"
	CauseBalance Cause = "load is uneven"
	CauseAbsorb  Cause = "small range joins its neighbour"
)

// Move is a change of a range's owner.
type Move struct {
	Service      string
	Range        keyrange.Range
	Before       keyrange.Holder // empty for none
	Cause        Cause
	Load         float64 // share of the service's remembered load, 0 to 1
	RelativeLoad float64 // the new owner's utilization relative to the mean, after the move
}

// Confirm reads only the end of the partition.
type Confirm struct{}

// Grant grants a range to its owner, or renews the grant.
type Grant struct {
	Service  string
	Address  string
	Range    keyrange.Range
	Hold     time.Duration
	Handover string
	// Decisive asks for a response that is certainly to this call.
	Decisive bool
}

// Release revokes a range from an earlier holder under the next owner's token.
type Release struct {
	Service string
	Address string
	Range   keyrange.Range
	Holder  keyrange.Holder
}

// Suspect is a server that refused a connection.
type Suspect struct {
	Holder  keyrange.Holder `json:"holder"`
	Address string          `json:"address"`
}

// ProbeSuspects asks every host to check whether a process listens at the suspects'
// addresses.
type ProbeSuspects struct{ Suspects []Suspect }

// Publish sends the map to every host.
type Publish struct{ Map *keyrange.Map }

// Admit tells every host which servers' requests to limit.
type Admit struct{ Admission Admission }

// FullBegun tells that a server counts as full from now on. From is the host that
// reported it.
type FullBegun struct {
	Server keyrange.Holder
	For    time.Duration
	From   string
}

// FullEnded tells that a server no longer counts as full.
type FullEnded struct{ Server keyrange.Holder }

func (FullBegun) action()     {}
func (FullEnded) action()     {}
func (Admit) action()         {}
func (Load) action()          {}
func (Append) action()        {}
func (Confirm) action()       {}
func (Grant) action()         {}
func (Release) action()       {}
func (Publish) action()       {}
func (ProbeSuspects) action() {}

// Servers holds the backend servers and the sharded services that the machine plans
// with.
type Servers struct {
	Snapshot *directory.Snapshot
	Sharded  []string // names of the sharded services
}
