package command

import (
	"context"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/query"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// Publish requests a new version of one profile or service.
type Publish struct {
	Metadata
	Document string      `json:"document"` // one YAML document
	Base     tlog.Offset `json:"base"`     // the version it is based on; 0 for a new name
}

// Publish publishes a document. The error is of kind BadProfile when it is
// invalid and of kind Superseded when Base is not the current version; it then
// names the author of the current version and lists the lines that differ.
func (s *Service) Publish(ctx context.Context, c Publish) (Result, error) {
	if err := c.normalize(); err != nil {
		return Result{}, err
	}
	docs, err := profile.Parse([]byte(c.Document))
	if err != nil {
		return Result{}, err
	}
	if len(docs) != 1 {
		return Result{}, fault.Newf(fault.BadRequest, "a change must hold one document, not %d", len(docs))
	}
	return s.publish(ctx, c.Metadata, docs[0], c.Base)
}

// Rollback requests a new version with the content of an earlier one.
type Rollback struct {
	Metadata
	Kind    profile.DocumentKind `json:"kind"`
	Name    string               `json:"name"`
	Version tlog.Offset          `json:"version"` // the version to return to
	Base    tlog.Offset          `json:"base"`    // the current version as seen by the author
}

// Rollback publishes an earlier version's text as a new version. The log must
// still hold it. Errors are those of Publish, NotFound and LogUnavailable.
func (s *Service) Rollback(ctx context.Context, c Rollback) (Result, error) {
	if err := c.normalize(); err != nil {
		return Result{}, err
	}
	old, err := s.query.Document(ctx, c.Kind, c.Name, c.Version)
	if err != nil {
		return Result{}, err
	}
	// The effective text holds what was in force, also where defaults have changed since.
	docs, err := profile.Parse([]byte(old.Effective))
	if err != nil {
		return Result{}, err
	}
	docs[0].Source = old.Source
	return s.publish(ctx, c.Metadata, docs[0], c.Base)
}

func (s *Service) publish(ctx context.Context, meta Metadata, doc profile.Document, base tlog.Offset) (Result, error) {
	record := profile.RecordOf(doc, meta.ID, meta.Author, meta.Reason, base)
	effect, err := s.publishEffect(ctx, doc)
	if err != nil {
		return Result{}, err
	}
	subject := string(doc.Kind) + "/" + doc.Name()
	if err := s.checkAgainstCatalog(record, effect); err != nil {
		return Result{}, err
	}
	if meta.DryRun {
		return Result{ID: meta.ID, Stream: tlog.ProfileStream, Subject: subject, State: DryRun, Effect: effect}, nil
	}
	result, err := s.submitProfile(ctx, record)
	if fault.KindOf(err) == fault.Superseded && err != nil {
		effect, _ = s.publishEffect(ctx, doc)
		return Result{}, addConflictDetail(err, effect)
	}
	result.Subject, result.Effect = subject, effect
	return result, err
}

// checkAgainstCatalog applies the record to this host's catalog without keeping
// the result, so that a change that would be void is not written. The order of
// records in the log remains decisive.
func (s *Service) checkAgainstCatalog(r profile.Record, effect Effect) error {
	if _, accepted := s.acceptedVersion(r); accepted {
		return nil
	}
	data, err := r.Encode()
	if err != nil {
		return fault.Wrap(fault.BadRecord, err, "encode record")
	}
	c := s.control.Snapshot().Catalog
	_, err = c.Apply(c.Applied+1, data)
	if fault.KindOf(err) == fault.Superseded && err != nil {
		return addConflictDetail(err, effect)
	}
	return err
}

// addConflictDetail adds to err the lines that differ between the current
// version and the rejected document.
func addConflictDetail(err error, effect Effect) error {
	if effect.New {
		return err
	}
	detail := "publish again with the newer version as base; the rejected document differs from it by"
	if len(effect.Changes) == 0 {
		return fault.Wrap(fault.Superseded, err, "the current version already has this content; nothing to do")
	}
	for _, c := range effect.Changes {
		sign := "- "
		if c.Added {
			sign = "+ "
		}
		detail += "\n" + sign + c.Line
	}
	return fault.Wrap(fault.Superseded, err, detail)
}

// publishEffect compares doc with the current version and plans the moves that
// follow from a changed list of servers.
func (s *Service) publishEffect(ctx context.Context, doc profile.Document) (Effect, error) {
	var effect Effect
	current, err := s.query.Document(ctx, doc.Kind, doc.Name(), 0)
	if err == nil {
		effect.Changes = query.DiffLines(current.Effective, doc.Effective())
	}
	effect.New = err != nil
	if doc.Kind != profile.ServiceDocument {
		return effect, nil
	}
	moves, err := s.planMoves(ctx, *doc.Service, nil)
	if err != nil {
		return effect, err
	}
	effect.setMoves(moves, *doc.Service, s.profileOf(*doc.Service))
	return effect, nil
}

func (s *Service) profileOf(service profile.Service) profile.Profile {
	return s.control.Snapshot().Catalog.Profiles[service.Profile].Value
}
