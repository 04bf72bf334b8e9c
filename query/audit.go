package query

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// AuditFilter selects entries. An empty field selects every entry.
type AuditFilter struct {
	Since   time.Time `form:"since" time_format:"2006-01-02T15:04:05Z07:00"`
	Who     string    `form:"who"`     // part of the author's name
	Subject string    `form:"subject"` // part of the subject
	ID      string    `form:"id"`      // the record's id
	// AfterProfiles and AfterOwnership exclude the entries of each stream up to
	// that offset, which an earlier call returned.
	AfterProfiles  tlog.Offset `form:"after_profiles"`
	AfterOwnership tlog.Offset `form:"after_ownership"`
}

// Audit is a part of the audit trail, oldest entry first.
type Audit struct {
	Entries   []AuditEntry `json:"entries"`
	Profiles  tlog.Offset  `json:"profiles"`  // last offset read of the profile stream
	Ownership tlog.Offset  `json:"ownership"` // last offset read of the ownership stream
}

// Audit reads both streams to their end and returns the selected entries. Errors
// are of kind LogUnavailable.
func (s *Service) Audit(ctx context.Context, f AuditFilter) (Audit, error) {
	s.trail.mu.Lock()
	defer s.trail.mu.Unlock()
	if err := s.trail.catchUp(ctx); err != nil {
		return Audit{}, err
	}
	out := Audit{
		Entries:   []AuditEntry{},
		Profiles:  s.trail.profiles.next - 1,
		Ownership: s.trail.ownership.next - 1,
	}
	out.add(s.trail.profiles.entries, f.AfterProfiles, f)
	out.add(s.trail.ownership.entries, f.AfterOwnership, f)
	slices.SortStableFunc(out.Entries, func(a, b AuditEntry) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Stream, b.Stream), cmp.Compare(a.Offset, b.Offset))
	})
	return out, nil
}

func (a *Audit) add(entries []AuditEntry, after tlog.Offset, f AuditFilter) {
	for _, e := range entries {
		if e.Offset > after && f.matches(e) {
			a.Entries = append(a.Entries, e)
		}
	}
}

func (f AuditFilter) matches(e AuditEntry) bool {
	return !e.Time.Before(f.Since) &&
		strings.Contains(e.Author, f.Who) &&
		strings.Contains(e.Subject, f.Subject) &&
		(f.ID == "" || f.ID == e.ID)
}

func formatCount(n int) string { return strconv.Itoa(n) }
