package profile

import (
	"encoding/json"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// DocumentKind is the type of content of a record of the profile stream.
type DocumentKind string

const (
	ProfileDocument DocumentKind = "profile"
	ServiceDocument DocumentKind = "service"
	// CheckpointDocument is the complete catalog up to an offset.
	CheckpointDocument DocumentKind = "checkpoint"
	// CancelDocument voids a record whose append failed with an unknown
	// outcome and may still take effect later.
	CancelDocument DocumentKind = "cancel"
)

// RecordVersion is the record version that this code writes. Readers apply the
// same rules to records of every version: missing fields get their default, and
// unknown fields are ignored.
const RecordVersion = 1

// Record is one record of the profile stream.
type Record struct {
	RecordVersion int               `json:"v,omitempty"`
	ID            string            `json:"id"`     // unique; identifies the record after an append whose answer was lost
	Author        string            `json:"author"` // operator who published the record
	Cause         string            `json:"cause"`  // reason given by the operator
	Time          time.Time         `json:"time"`   // by the author's clock; informational only
	Kind          DocumentKind      `json:"kind"`
	Name          string            `json:"name"`
	Base          tlog.Offset       `json:"base"` // version that the record replaces; 0 for a new name
	Profile       *Profile          `json:"profile,omitempty"`
	Service       *Service          `json:"service,omitempty"`
	Source        string            `json:"source,omitempty"` // YAML text as the operator wrote it
	Checkpoint    *CheckpointRecord `json:"checkpoint,omitempty"`
	Cancel        *Cancel           `json:"cancel,omitempty"`
}

// Cancel identifies a record that is void if it is appended later. Kind, Name and
// Base are those of that record: the cancellation can be discarded once the
// document has a version other than Base.
type Cancel struct {
	ID   string       `json:"id"`
	Kind DocumentKind `json:"kind"`
	Name string       `json:"name"`
	Base tlog.Offset  `json:"base"`
}

// Encode returns the record in the form in which the log stores it.
func (r Record) Encode() ([]byte, error) {
	if r.RecordVersion == 0 {
		r.RecordVersion = RecordVersion
	}
	return json.Marshal(r)
}

// UnmarshalJSON sets profile fields that the data leaves out to their defaults,
// since older versions write fewer fields.
func (r *Record) UnmarshalJSON(data []byte) error {
	type plain Record
	var out struct {
		plain
		Profile json.RawMessage `json:"profile"`
	}
	if err := json.Unmarshal(data, &out); err != nil {
		return err
	}
	*r = Record(out.plain)
	if len(out.Profile) == 0 || string(out.Profile) == "null" {
		return nil
	}
	p := Default(r.Name)
	if err := json.Unmarshal(out.Profile, &p); err != nil {
		return err
	}
	r.Profile = &p
	return nil
}

// DecodeRecord decodes a record that Encode returned. Unknown fields are ignored.
// Errors are of kind BadRecord.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fault.Wrap(fault.BadRecord, err, "decode profile record")
	}
	var complete bool
	switch r.Kind {
	case ProfileDocument:
		complete = r.Profile != nil
	case ServiceDocument:
		complete = r.Service != nil
	case CheckpointDocument:
		complete = r.Checkpoint != nil
	case CancelDocument:
		complete = r.Cancel != nil && r.Cancel.ID != ""
	default:
		return Record{}, fault.Newf(fault.BadRecord, "profile record %q has unknown kind %q", r.ID, r.Kind)
	}
	if !complete {
		return Record{}, fault.Newf(fault.BadRecord, "profile record %q has no %s", r.ID, r.Kind)
	}
	return r, nil
}

// RecordOf returns a record that publishes doc in place of version base.
func RecordOf(doc Document, id, author, cause string, base tlog.Offset) Record {
	return Record{
		ID: id, Author: author, Cause: cause, Kind: doc.Kind, Name: doc.Name(),
		Base: base, Profile: doc.Profile, Service: doc.Service, Source: doc.Source,
	}
}
