package control

import (
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/planner"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// ownershipFold applies the ownership stream to the machine.
type ownershipFold struct{ loop *Loop }

func (f ownershipFold) applied() tlog.Offset { return f.loop.machine.State().Applied }

func (f ownershipFold) apply(now ownership.Instant, r tlog.Record) {
	l := f.loop
	record, err := l.machine.ApplyRecord(now, r.Offset, r.Data)
	l.ownershipTail.add(r, err == nil && record.Kind == ownership.CheckpointRecord)
	l.verdicts.add(record.ID, Verdict{Offset: r.Offset, Void: err})
	if err != nil {
		l.zap.Info("control: ownership record was rejected", zap.Uint64("offset", uint64(r.Offset)), zap.Error(err))
		return
	}
	l.zap.Info("control: ownership record applied", zap.Uint64("offset", uint64(r.Offset)),
		zap.String("kind", string(record.Kind)), zap.String("cause", record.Cause))
}

func (f ownershipFold) checkpoint(r tlog.Record) (tlog.Offset, func(ownership.Instant) error, bool) {
	record, err := ownership.DecodeRecord(r.Data)
	if err != nil || record.Kind != ownership.CheckpointRecord {
		return 0, nil, false
	}
	restore := func(now ownership.Instant) error {
		state, err := record.Checkpoint.State()
		if err != nil {
			return err
		}
		return f.loop.machine.Restore(now, state)
	}
	return record.Checkpoint.Through, restore, true
}

func (f ownershipFold) onCaughtUp() {}

// catalogFold applies the profile stream to the catalog.
type catalogFold struct{ loop *Loop }

func (f catalogFold) applied() tlog.Offset { return f.loop.catalog.Applied }

func (f catalogFold) apply(_ ownership.Instant, r tlog.Record) {
	l := f.loop
	next, err := l.catalog.Apply(r.Offset, r.Data)
	if err != nil {
		l.zap.Warn("control: profile record was rejected", zap.Uint64("offset", uint64(r.Offset)), zap.Error(err))
	}
	l.setCatalog(next)
	record, decodeErr := profile.DecodeRecord(r.Data)
	l.catalogTail.add(r, err == nil && record.Kind == profile.CheckpointDocument)
	if decodeErr == nil {
		l.verdicts.add(record.ID, Verdict{Offset: r.Offset, Void: err})
	}
}

func (f catalogFold) checkpoint(r tlog.Record) (tlog.Offset, func(ownership.Instant) error, bool) {
	record, err := profile.DecodeRecord(r.Data)
	if err != nil || record.Kind != profile.CheckpointDocument {
		return 0, nil, false
	}
	restore := func(ownership.Instant) error { return f.loop.restoreCatalog(r.Data) }
	return record.Checkpoint.Through, restore, true
}

func (f catalogFold) onCaughtUp() { f.loop.catalogCurrent = true }

// restoreCatalog restores the catalog from a checkpoint record, unless the
// present one is as new: a catalog never goes back to an older offset.
func (l *Loop) restoreCatalog(data []byte) error {
	next, err := profile.DecodeCatalogCheckpoint(data)
	if err != nil {
		return err
	}
	if next.Applied > l.catalog.Applied {
		l.setCatalog(next)
	}
	return nil
}

func (l *Loop) setCatalog(next *profile.Catalog) {
	l.catalog = next
	l.machine.SetCatalog(next.Applied)
	l.machine.SetServices(specsOf(next))
}

func specsOf(c *profile.Catalog) []ownership.ServiceSpec {
	var specs []ownership.ServiceSpec
	for name, s := range c.Services {
		p, ok := c.ProfileOf(name)
		if !ok || p.Key == nil {
			continue
		}
		specs = append(specs, specOf(s.Value, p))
	}
	slices.SortFunc(specs, func(a, b ownership.ServiceSpec) int { return strings.Compare(a.Name, b.Name) })
	return specs
}

func specOf(s profile.Service, p profile.Profile) ownership.ServiceSpec {
	spec := ownership.ServiceSpec{
		Name:         s.Name,
		Shards:       p.Ownership.Shards,
		Successors:   p.Ownership.Successors,
		ChecksGrants: s.ChecksGrants,
		Policy: planner.Policy{
			MaxImbalance:   p.Ownership.MaxImbalance,
			MovesPerMinute: p.Ownership.MovesPerMinute,
			MinRest:        p.Ownership.MinRest,
			SlowStart:      p.Ownership.SlowStart,
			MaxPins:        p.Ownership.MaxPins,
		},
	}
	for _, rule := range p.Rules {
		if !rule.Idempotent {
			spec.NonIdempotentTimeout = max(spec.NonIdempotentTimeout, rule.Timeout)
		}
	}
	for _, server := range s.Servers {
		spec.Servers = append(spec.Servers, planner.Server{ID: server.ID, Domain: server.Domain})
	}
	return spec
}
