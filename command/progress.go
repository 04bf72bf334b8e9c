package command

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// DomainProgress is how many members of one failure domain have applied a change.
type DomainProgress struct {
	Domain  string   `json:"domain"`
	Members int      `json:"members"`
	Applied int      `json:"applied"`
	Missing []string `json:"missing,omitempty"` // hosts that have not acknowledged it
}

// Progress is how far a change has come in each failure domain.
type Progress struct {
	Stream  string           `json:"stream"`
	Offset  tlog.Offset      `json:"offset"`
	InForce bool             `json:"in_force"`
	Domains []DomainProgress `json:"domains"`
}

// Progress returns how far the record at offset of stream has come. It is in
// force once every member of every failure domain has acknowledged it, and for
// a record of the ownership stream once it is also active on this host.
func (s *Service) Progress(ctx context.Context, stream string, offset tlog.Offset) (Progress, error) {
	if stream != tlog.ProfileStream && stream != tlog.OwnershipStream(s.cell) {
		return Progress{}, fault.Newf(fault.NotFound, "there is no stream %q", stream)
	}
	members, err := s.control.Progress(ctx)
	if err != nil {
		return Progress{}, err
	}
	out := Progress{Stream: stream, Offset: offset, Domains: []DomainProgress{}}
	missing := 0
	for _, m := range members {
		d := out.domain(m.Member.Domain)
		d.Members++
		applied := m.Ownership
		if stream == tlog.ProfileStream {
			applied = m.Profiles
		}
		if applied >= offset {
			d.Applied++
			continue
		}
		missing++
		d.Missing = append(d.Missing, m.Member.Host)
	}
	slices.SortFunc(out.Domains, func(a, b DomainProgress) int { return cmp.Compare(a.Domain, b.Domain) })
	out.InForce = missing == 0 && len(members) > 0
	if stream != tlog.ProfileStream {
		out.InForce = out.InForce && s.control.Snapshot().View.Active >= offset
	}
	return out, nil
}

func (p *Progress) domain(name string) *DomainProgress {
	for i := range p.Domains {
		if p.Domains[i].Domain == name {
			return &p.Domains[i]
		}
	}
	p.Domains = append(p.Domains, DomainProgress{Domain: name})
	return &p.Domains[len(p.Domains)-1]
}

// Await waits until a change is in force in every failure domain and passes
// each new progress to report, which may be nil. When ctx ends first, the error
// is of kind Timeout; the change stays accepted and the progress names the
// members that are missing.
func (s *Service) Await(ctx context.Context, r Result, report func(Progress)) (Progress, error) {
	return AwaitWith(ctx, r, s.Progress, report)
}

// ProgressFunc returns the progress of a change.
type ProgressFunc func(ctx context.Context, stream string, offset tlog.Offset) (Progress, error)

// AwaitWith is Await with any source of progress, such as the admin API.
func AwaitWith(ctx context.Context, r Result, progress ProgressFunc, report func(Progress)) (Progress, error) {
	ticker := time.NewTicker(progressPollInterval)
	defer ticker.Stop()
	var last Progress
	for {
		p, err := progress(ctx, r.Stream, r.Offset)
		if err == nil {
			if report != nil && !equalProgress(last, p) {
				report(p)
			}
			last = p
		}
		if err == nil && p.InForce {
			return p, nil
		}
		select {
		case <-ctx.Done():
			return last, fault.Newf(fault.Timeout, "accepted as record %d of %s, but not yet in force everywhere", r.Offset, r.Stream)
		case <-ticker.C:
		}
	}
}

func equalProgress(a, b Progress) bool {
	return a.InForce == b.InForce && slices.EqualFunc(a.Domains, b.Domains, func(x, y DomainProgress) bool {
		return x.Domain == y.Domain && x.Members == y.Members && x.Applied == y.Applied
	})
}
