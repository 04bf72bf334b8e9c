package ownership

import (
	"encoding/json"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	maxShards     = 1 << 20
	maxSuccessors = 1<<rankBits - 2
)

// RecordKind is the kind of a record of the ownership stream.
type RecordKind string

// The record kinds.
const (
	JoinRecord       RecordKind = "join"
	LeaveRecord      RecordKind = "leave"
	RemoveRecord     RecordKind = "remove"
	AssignRecord     RecordKind = "assign"
	DrainRecord      RecordKind = "drain"
	UndrainRecord    RecordKind = "undrain"
	CheckpointRecord RecordKind = "checkpoint"
	MarkerRecord     RecordKind = "marker" // changes no state; once its id is read, the outcome of earlier appends is known
)

// Record is one record of the ownership stream. Its base is the version of the
// table or drain that the author saw; a record with another base is void.
type Record struct {
	ID     string     `json:"id"`
	Author MemberID   `json:"author"`
	Cause  string     `json:"cause"`
	Time   time.Time  `json:"time"` // by the author's clock, informational only
	Kind   RecordKind `json:"kind"`
	Member *Member    `json:"member,omitempty"` // join
	Remove []MemberID `json:"remove,omitempty"` // leave, remove
	// Forced means that the removed members are permanently lost: their
	// acknowledgement is not awaited. Only for remove.
	Forced bool `json:"forced,omitempty"`
	// Active is the author's last record in force: every record through it is in
	// force and remains so. It lets hosts that start after all earlier members
	// have ended bring old records into force. 0 attests nothing.
	Active Offset `json:"active,omitempty"`
	// Flags are the flags that a resigning author had acknowledged. Only for leave.
	Flags []Flag `json:"flags,omitempty"`
	// Idle means that the leaving author no longer routes requests and has none
	// in flight. Only for leave.
	Idle       bool         `json:"idle,omitempty"`
	Assign     *Assignments `json:"assign,omitempty"`
	Drain      *Drain       `json:"drain,omitempty"` // drain, undrain
	Base       Offset       `json:"base,omitempty"`  // drain, undrain: see State.DrainBase
	Checkpoint *Checkpoint  `json:"checkpoint,omitempty"`
}

// Drain identifies a backend server that is drained from a service or returned to it.
type Drain struct {
	Service string `json:"service"`
	Server  string `json:"server"`
}

// Assignments is a batch of assignments for one service.
type Assignments struct {
	Service string       `json:"service"`
	Base    Offset       `json:"base"`   // offset of the service's last accepted batch
	Shards  int          `json:"shards"` // number of shards; must not change
	Servers []string     `json:"servers"`
	Moves   []Assignment `json:"moves,omitempty"`
	Pins    []Pin        `json:"pins,omitempty"`
	Unpins  []string     `json:"unpins,omitempty"` // keys that return to their shard's owner
}

// Pin gives one hot key an owner and successors of its own.
type Pin struct {
	Key        string `json:"k"`
	Owner      int    `json:"o"`
	Successors []int  `json:"n,omitempty"`
}

// Assignment gives a shard an owner and ordered successors. Owner and
// successors are indexes into Assignments.Servers.
type Assignment struct {
	Shard      Shard `json:"s"`
	Owner      int   `json:"o"`
	Successors []int `json:"n,omitempty"`
}

// Encode returns the record as it is stored in the log.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord decodes a record from the log. Unknown fields are ignored.
// Errors are of kind BadRecord.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fault.Wrap(fault.BadRecord, err, "decode ownership record")
	}
	if err := r.check(); err != nil {
		return Record{}, err
	}
	return r, nil
}

func (r Record) check() error {
	switch r.Kind {
	case JoinRecord:
		if r.Member == nil || r.Member.ID == "" {
			return fault.Newf(fault.BadRecord, "join record %q names no member", r.ID)
		}
	case LeaveRecord, RemoveRecord:
		if len(r.Remove) == 0 {
			return fault.Newf(fault.BadRecord, "%s record %q names no member", r.Kind, r.ID)
		}
	case AssignRecord:
		return r.checkAssign()
	case DrainRecord, UndrainRecord:
		if r.Drain == nil || r.Drain.Service == "" || r.Drain.Server == "" {
			return fault.Newf(fault.BadRecord, "%s record %q names no server", r.Kind, r.ID)
		}
	case CheckpointRecord:
		if r.Checkpoint == nil {
			return fault.Newf(fault.BadRecord, "checkpoint record %q has no state", r.ID)
		}
	case MarkerRecord:
	default:
		return fault.Newf(fault.BadRecord, "record %q has unknown kind %q", r.ID, r.Kind)
	}
	return nil
}

func (r Record) checkAssign() error {
	a := r.Assign
	if a == nil || a.Service == "" || a.Shards <= 0 {
		return fault.Newf(fault.BadRecord, "assign record %q lacks a service or a number of shards", r.ID)
	}
	if a.Shards > maxShards {
		return fault.Newf(fault.BadRecord, "assign record %q has too many shards: %d", r.ID, a.Shards)
	}
	for _, m := range a.Moves {
		if int(m.Shard) >= a.Shards {
			return fault.Newf(fault.BadRecord, "assign record %q names shard %d, but the service has %d shards", r.ID, m.Shard, a.Shards)
		}
		if err := r.checkServers(m.Owner, m.Successors); err != nil {
			return err
		}
	}
	for _, p := range a.Pins {
		if p.Key == "" {
			return fault.Newf(fault.BadRecord, "assign record %q pins an empty key", r.ID)
		}
		if err := r.checkServers(p.Owner, p.Successors); err != nil {
			return err
		}
	}
	return nil
}

func (r Record) checkServers(owner int, successors []int) error {
	if len(successors) > maxSuccessors {
		return fault.Newf(fault.BadRecord, "assign record %q has too many successors: %d", r.ID, len(successors))
	}
	for _, i := range append([]int{owner}, successors...) {
		if i < 0 || i >= len(r.Assign.Servers) {
			return fault.Newf(fault.BadRecord, "assign record %q has invalid server index %d", r.ID, i)
		}
	}
	return nil
}
