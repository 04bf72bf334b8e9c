package assigner

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// Time is a moment on the host's boot-time clock, which counts suspensions.
type Time = time.Duration

// Host names one run of an entry host's process.
type Host struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Peer        string `json:"peer"` // address of its peer endpoint
}

// StoreResult tells how a call to the store ended.
type StoreResult uint8

// The ends of a call to the store.
const (
	StoreOK       StoreResult = iota
	StoreConflict             // the partition's end had moved; nothing was appended
	StoreFailed               // nothing was done
	StoreInDoubt              // an append may have been done, or may yet be
)

// Loaded is the answer to a Load.
type Loaded struct {
	Result StoreResult
	Start  Time    // when the read began
	Record *Record // nil when there is none
	End    uint64  // end of the partition
}

// Appended is the answer to an Append.
type Appended struct {
	Result StoreResult
	Start  Time
	End    uint64
}

// Confirmed is the answer to a Confirm. Its result is StoreConflict when records from
// the known end on were appended and are gone again.
type Confirmed struct {
	Result StoreResult
	Start  Time
	End    uint64
}

// CallResult tells how a grant or a release ended.
type CallResult uint8

// The ends of a grant or a release.
const (
	CallOK      CallResult = iota
	CallFenced             // the server has seen a higher token
	CallRefused            // no process listens at the address; nothing was sent
	CallUnsent             // no connection could be opened; nothing was sent
	CallFailed             // no answer, or one that says nothing
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

// Granted is the answer to a Grant.
type Granted struct {
	Service string
	Range   keyrange.Range
	Result  CallResult
}

// Released is the answer to a Release.
type Released struct {
	Service  string
	Range    keyrange.Range
	Holder   keyrange.Holder
	Result   CallResult
	Handover string // passes the holder's state on to the next owner
}

// KeyLoad is the number of requests for one key in a report.
type KeyLoad struct {
	Service string       `json:"s"`
	Key     keyrange.Key `json:"k"`
	Count   int          `json:"n"`
}

// ServerLatency is the time that one request took at a server.
type ServerLatency struct {
	ID     string `json:"i"`
	Millis int    `json:"m"`
}

// Report is what a host saw of the load since its last report.
type Report struct {
	Keys      []KeyLoad       `json:"keys,omitempty"`
	Latencies []ServerLatency `json:"times,omitempty"`
	// Refused lists servers at whose address no process listened, Reached those
	// at which one did or nothing could be told.
	Refused []keyrange.Holder `json:"refused,omitempty"`
	Reached []keyrange.Holder `json:"reached,omitempty"`
}

// Action is something that the machine wants done.
type Action interface{ action() }

// Load reads the newest record and the partition's end.
type Load struct{}

// Append appends a record at an offset. Moves tells what a plan changed in it.
type Append struct {
	At     uint64
	Record Record
	Moves  []Move
}

// Cause says why keys move.
type Cause string

// The causes of moves.
const (
	CauseFirst   Cause = "first assignment"
	CauseOrphan  Cause = "owner cannot serve"
	CauseBalance Cause = "load is uneven"
	CauseAbsorb  Cause = "small range joins its neighbour"
)

// Move is a range that gets another owner.
type Move struct {
	Service      string
	Range        keyrange.Range
	Before       keyrange.Holder // empty for none
	Cause        Cause
	Load         float64 // part of the service's remembered load, 0 to 1
	RelativeLoad float64 // the new owner's load over the mean, after the move
}

// Confirm reads the partition's end alone.
type Confirm struct{}

// Grant gives a range to its owner, or renews it.
type Grant struct {
	Service  string
	Address  string
	Range    keyrange.Range
	Hold     time.Duration
	Handover string
}

// Release takes a range back from an earlier holder under the next owner's token.
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

// ProbeSuspects asks every host whether a process listens at the suspects' addresses.
type ProbeSuspects struct{ Suspects []Suspect }

// Publish tells every host the map.
type Publish struct{ Map *keyrange.Map }

func (Load) action()          {}
func (Append) action()        {}
func (Confirm) action()       {}
func (Grant) action()         {}
func (Release) action()       {}
func (Publish) action()       {}
func (ProbeSuspects) action() {}

// Servers is the view of the backend servers that the machine plans with.
type Servers struct {
	Snapshot *directory.Snapshot
	Sharded  []string // names of the sharded services
}
