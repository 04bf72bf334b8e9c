package profile

import (
	"encoding/json"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// DocumentKind names what a record of the profile stream carries.
type DocumentKind string

// The document kinds.
const (
	ProfileDocument DocumentKind = "profile"
	ServiceDocument DocumentKind = "service"
	// CheckpointDocument is the whole catalog through an offset.
	CheckpointDocument DocumentKind = "checkpoint"
	// CancelDocument voids a record that may still arrive late.
	CancelDocument DocumentKind = "cancel"
)

// RecordVersion is the record version that this code writes. A reader folds
// records of every version by the same rules: it gives missing fields their
// default and ignores unknown ones.
const RecordVersion = 1

// Record is one record of the profile stream.
type Record struct {
	RecordVersion int               `json:"v,omitempty"`
	ID            string            `json:"id"`     // unique id, for appends with a lost answer
	Author        string            `json:"author"` // the operator
	Cause         string            `json:"cause"`  // the reason given
	Time          time.Time         `json:"time"`   // the author's clock, for people only
	Kind          DocumentKind      `json:"kind"`
	Name          string            `json:"name"`
	Base          tlog.Offset       `json:"base"` // the version it builds on; 0 for a new name
	Profile       *Profile          `json:"profile,omitempty"`
	Service       *Service          `json:"service,omitempty"`
	Source        string            `json:"source,omitempty"` // the document as the operator wrote it
	Checkpoint    *CheckpointRecord `json:"checkpoint,omitempty"`
	Cancel        *Cancel           `json:"cancel,omitempty"`
}

// Cancel names a record that is void if it arrives later. Its subject and base
// bound how long the name must be remembered.
type Cancel struct {
	ID   string       `json:"id"`
	Kind DocumentKind `json:"kind"`
	Name string       `json:"name"`
	Base tlog.Offset  `json:"base"`
}

// Encode returns the record's log form.
func (r Record) Encode() ([]byte, error) {
	if r.RecordVersion == 0 {
		r.RecordVersion = RecordVersion
	}
	return json.Marshal(r)
}

// UnmarshalJSON fills in the defaults of fields that an older writer left out.
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

// DecodeRecord reads a record's log form. Unknown fields are ignored.
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

// RecordOf returns the record that publishes doc against the version base.
func RecordOf(doc Document, id, author, cause string, base tlog.Offset) Record {
	return Record{
		ID: id, Author: author, Cause: cause, Kind: doc.Kind, Name: doc.Name(),
		Base: base, Profile: doc.Profile, Service: doc.Service, Source: doc.Source,
	}
}
