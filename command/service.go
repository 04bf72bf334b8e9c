// Package command implements the operators' write operations. Each names an
// author and a reason, carries a unique id, and is based on a version that its
// author saw.
package command

import (
	"context"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/lacewingsaddle/lacewingsaddle/control"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/query"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// Control is the part of control.Loop that writes need.
type Control interface {
	query.Control
	Submit(ctx context.Context, r ownership.Record) (control.Verdict, error)
	SubmitProfile(ctx context.Context, r profile.Record) (control.Verdict, error)
}

const (
	// acceptTimeout bounds the wait until a submitted record is read back from
	// its stream.
	acceptTimeout = 15 * time.Second
	// progressPollInterval is the time between two reads of the members' progress.
	progressPollInterval = 50 * time.Millisecond
	maxTextBytes         = 500
	maxIDBytes           = 128
)

// Metadata is the author, reason and id of a change.
type Metadata struct {
	Author string `json:"author"`
	Reason string `json:"reason"`
	// ID is the record's unique id. It makes a retry idempotent: a change that is
	// sent again with the same id takes effect once. Empty: an id is generated.
	ID     string `json:"id,omitempty"`
	DryRun bool   `json:"dry_run,omitempty"`
}

// SetAuthor replaces the author.
func (m *Metadata) SetAuthor(name string) { m.Author = name }

// normalize trims and checks the fields and generates an id if there is none.
func (m *Metadata) normalize() error {
	m.Author, m.Reason = strings.TrimSpace(m.Author), strings.TrimSpace(m.Reason)
	if m.Author == "" || m.Reason == "" {
		return fault.New(fault.BadRequest, "a change must name its author and its reason")
	}
	if len(m.Author) > maxTextBytes || len(m.Reason) > maxTextBytes || len(m.ID) > maxIDBytes {
		return fault.Newf(fault.BadRequest, "author and reason may have at most %d bytes each, an id at most %d", maxTextBytes, maxIDBytes)
	}
	if m.ID == "" {
		m.ID = NewID()
	}
	return nil
}

// NewID returns a unique record id.
func NewID() string { return "op-" + uuid.NewString() }

// State is the progress of a change.
type State string

// The states of a change.
const (
	DryRun   State = "dry-run"  // nothing was written
	Accepted State = "accepted" // read back from the log
	InForce  State = "in-force" // in force in every failure domain
)

// Result is the outcome of a change.
type Result struct {
	ID      string      `json:"id"`
	Stream  string      `json:"stream"`
	Offset  tlog.Offset `json:"offset,omitempty"`
	Subject string      `json:"subject"`
	State   State       `json:"state"`
	Effect  Effect      `json:"effect"`
}

// Effect is the effect of a change, as predicted by this host.
type Effect struct {
	New     bool               `json:"new,omitempty"`     // the first version of a document
	Changes []query.LineChange `json:"changes,omitempty"` // lines of a document's effective text
	Moves   []PlannedMove      `json:"moves,omitempty"`   // from one server to another
	// Unavailable is how long a request for a moved shard waits when every
	// member answers; UnavailableMax when some do not.
	Unavailable    time.Duration `json:"unavailable_ns,omitempty"`
	UnavailableMax time.Duration `json:"unavailable_max_ns,omitempty"`
}

// PlannedMove counts the shards or keys that move from one server to another.
type PlannedMove struct {
	From  string `json:"from,omitempty"`
	To    string `json:"to"`
	Count int    `json:"count"`
	Cause string `json:"cause"`
}

// Service executes the operators' writes. It is safe for concurrent use.
type Service struct {
	control Control
	query   *query.Service
	cell    string
}

// New returns a service of a host in cell.
func New(c Control, q *query.Service, cell string) *Service {
	return &Service{control: c, query: q, cell: cell}
}

// submitProfile appends r and waits until it is accepted. Errors are of kind
// Superseded or BadProfile when it is void, LogUnavailable when the log
// certainly did not store it, and InDoubt otherwise.
func (s *Service) submitProfile(ctx context.Context, r profile.Record) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	r.Time = time.Now()
	verdict, err := s.control.SubmitProfile(ctx, r)
	if err != nil {
		return Result{}, wrapInDoubt(err, r.ID)
	}
	result := Result{ID: r.ID, Stream: tlog.ProfileStream, Offset: verdict.Offset, State: Accepted}
	if verdict.Void == nil {
		return result, nil
	}
	// An earlier append of the same record may have been accepted.
	version, found := s.acceptedVersion(r)
	if !found {
		return Result{}, verdict.Void
	}
	result.Offset = version
	return result, nil
}

// acceptedVersion returns the current version of r's document and whether r
// itself made that version.
func (s *Service) acceptedVersion(r profile.Record) (tlog.Offset, bool) {
	c := s.control.Snapshot().Catalog
	if r.Kind == profile.ProfileDocument {
		v := c.Profiles[r.Name]
		return v.Version, v.ID == r.ID
	}
	v := c.Services[r.Name]
	return v.Version, v.ID == r.ID
}

// submitOwnership is submitProfile for the ownership stream.
func (s *Service) submitOwnership(ctx context.Context, r ownership.Record) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	r.Time = time.Now()
	verdict, err := s.control.Submit(ctx, r)
	if err != nil {
		return Result{}, wrapInDoubt(err, r.ID)
	}
	if verdict.Void != nil {
		return Result{}, verdict.Void
	}
	stream := tlog.OwnershipStream(s.cell)
	return Result{ID: r.ID, Stream: stream, Offset: verdict.Offset, State: Accepted}, nil
}

// wrapInDoubt marks err as in doubt and names the command that shows the outcome
// of the record. LogUnavailable is returned as it is: the log did not store the
// record.
func wrapInDoubt(err error, id string) error {
	if fault.KindOf(err) == fault.LogUnavailable {
		return err
	}
	return fault.Wrap(fault.InDoubt, err, "the change may still take effect; see: lacewingsaddle audit --id "+id)
}
