package query

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// DocumentInfo is the current version of a profile or service.
type DocumentInfo struct {
	Kind    profile.DocumentKind `json:"kind"`
	Name    string               `json:"name"`
	Version tlog.Offset          `json:"version"`
	ID      string               `json:"id"`
	Author  string               `json:"author"`
	Cause   string               `json:"cause"`
	Time    time.Time            `json:"time"`
	UsedBy  []string             `json:"used_by,omitempty"` // services that use the profile
}

// Document is one version of a profile or service.
type Document struct {
	DocumentInfo
	Source    string `json:"source"`    // as the operator wrote it
	Effective string `json:"effective"` // with every default
}

// Documents lists every profile and service by kind and name.
func (s *Service) Documents() []DocumentInfo {
	c := s.control.Snapshot().Catalog
	var out []DocumentInfo
	for _, name := range slices.Sorted(maps.Keys(c.Profiles)) {
		d := infoOf(profile.ProfileDocument, name, c.Profiles[name])
		for _, service := range slices.Sorted(maps.Keys(c.Services)) {
			if c.Services[service].Value.Profile == name {
				d.UsedBy = append(d.UsedBy, service)
			}
		}
		out = append(out, d)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		out = append(out, infoOf(profile.ServiceDocument, name, c.Services[name]))
	}
	return out
}

func infoOf[T any](kind profile.DocumentKind, name string, v profile.Versioned[T]) DocumentInfo {
	return DocumentInfo{
		Kind: kind, Name: name, Version: v.Version, ID: v.ID,
		Author: v.Author, Cause: v.Cause, Time: v.Time,
	}
}

// Document returns the current version of a document, or an earlier one when
// version is not 0. Errors are of kind NotFound, or LogUnavailable for an
// earlier version.
func (s *Service) Document(ctx context.Context, kind profile.DocumentKind, name string, version tlog.Offset) (Document, error) {
	d, ok := documentOf(s.control.Snapshot().Catalog, kind, name)
	if ok && (version == 0 || version == d.Version) {
		return d, nil
	}
	if version == 0 {
		return Document{}, fault.Newf(fault.NotFound, "there is no %s %q", kind, name)
	}
	history, err := s.History(ctx, kind, name)
	if err != nil {
		return Document{}, err
	}
	for _, d := range history {
		if d.Version == version {
			return d, nil
		}
	}
	return Document{}, fault.Newf(fault.NotFound, "the log holds no version %d of %s %q", version, kind, name)
}

func documentOf(c *profile.Catalog, kind profile.DocumentKind, name string) (Document, bool) {
	if kind == profile.ProfileDocument {
		v, ok := c.Profiles[name]
		doc := profile.Document{Kind: kind, Profile: &v.Value}
		return newDocument(infoOf(kind, name, v), v.Source, doc), ok
	}
	v, ok := c.Services[name]
	doc := profile.Document{Kind: kind, Service: &v.Value}
	return newDocument(infoOf(kind, name, v), v.Source, doc), ok
}

func newDocument(info DocumentInfo, source string, doc profile.Document) Document {
	d := Document{DocumentInfo: info, Source: source, Effective: doc.Effective()}
	if d.Source == "" {
		d.Source = d.Effective
	}
	return d
}

// History returns the accepted versions of a document that the log still
// holds, oldest first. When earlier ones have expired, the first is the one
// in the oldest checkpoint.
func (s *Service) History(ctx context.Context, kind profile.DocumentKind, name string) ([]Document, error) {
	catalog, records, err := s.readProfiles(ctx)
	if err != nil {
		return nil, err
	}
	out := []Document{}
	last := tlog.Offset(0)
	appendVersion := func() {
		d, ok := documentOf(catalog, kind, name)
		if ok && d.Version != last {
			out = append(out, d)
			last = d.Version
		}
	}
	appendVersion()
	for _, r := range records {
		catalog, _ = catalog.Apply(r.Offset, r.Data)
		appendVersion()
	}
	if len(out) == 0 {
		return nil, fault.Newf(fault.NotFound, "there is no %s %q", kind, name)
	}
	return out, nil
}

// readProfiles returns the records that the profile stream still holds and the
// catalog to which they apply.
func (s *Service) readProfiles(ctx context.Context) (*profile.Catalog, []tlog.Record, error) {
	var records []tlog.Record
	from := tlog.Offset(1)
	for {
		batch, err := s.log.Read(ctx, tlog.ProfileStream, from, 0)
		if err != nil && fault.KindOf(err) == fault.LogGap && batch.First > from {
			from, records = batch.First, nil
			continue
		}
		if err != nil {
			return nil, nil, err
		}
		if len(batch.Records) == 0 {
			break
		}
		records = append(records, batch.Records...)
		from = records[len(records)-1].Offset + 1
	}
	if len(records) == 0 || records[0].Offset == 1 {
		return profile.NewCatalog(), records, nil
	}
	for _, r := range records {
		if c, err := profile.DecodeCatalogCheckpoint(r.Data); err == nil && c.Applied+1 >= records[0].Offset {
			return c, records, nil
		}
	}
	return nil, nil, fault.New(fault.LogGap, "the log holds no checkpoint of the profile stream")
}

// LineChange is one line that differs between two versions.
type LineChange struct {
	Added bool   `json:"added"` // false: the line was removed
	Line  string `json:"line"`
}

// Diff is the difference between two versions, over their effective texts.
type Diff struct {
	From    tlog.Offset  `json:"from"`
	To      tlog.Offset  `json:"to"`
	Changes []LineChange `json:"changes"`
}

// Diff compares two versions of a document; to 0 means the current one.
func (s *Service) Diff(ctx context.Context, kind profile.DocumentKind, name string, from, to tlog.Offset) (Diff, error) {
	a, err := s.Document(ctx, kind, name, from)
	if err != nil {
		return Diff{}, err
	}
	b, err := s.Document(ctx, kind, name, to)
	if err != nil {
		return Diff{}, err
	}
	return Diff{From: a.Version, To: b.Version, Changes: DiffLines(a.Effective, b.Effective)}, nil
}

// maxDiffCells bounds the table of a line comparison. For longer texts all old
// lines are shown as removed and all new lines as added.
const maxDiffCells = 1 << 20

// DiffLines returns the lines that differ between two texts, by the longest
// common subsequence of lines.
func DiffLines(a, b string) []LineChange {
	x, y := splitLines(a), splitLines(b)
	for len(x) > 0 && len(y) > 0 && x[0] == y[0] {
		x, y = x[1:], y[1:]
	}
	for len(x) > 0 && len(y) > 0 && x[len(x)-1] == y[len(y)-1] {
		x, y = x[:len(x)-1], y[:len(y)-1]
	}
	if len(x)*len(y) > maxDiffCells {
		return append(changes(x, false), changes(y, true)...)
	}
	return compareLines(x, y)
}

func changes(lines []string, added bool) []LineChange {
	out := make([]LineChange, 0, len(lines))
	for _, line := range lines {
		out = append(out, LineChange{Added: added, Line: line})
	}
	return out
}

func compareLines(x, y []string) []LineChange {
	common := make([][]int, len(x)+1)
	for i := range common {
		common[i] = make([]int, len(y)+1)
	}
	for i := len(x) - 1; i >= 0; i-- {
		for j := len(y) - 1; j >= 0; j-- {
			if x[i] == y[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	out := []LineChange{}
	i, j := 0, 0
	for i < len(x) || j < len(y) {
		switch {
		case i < len(x) && j < len(y) && x[i] == y[j]:
			i, j = i+1, j+1
		case j == len(y) || (i < len(x) && common[i+1][j] >= common[i][j+1]):
			out = append(out, LineChange{Line: x[i]})
			i++
		default:
			out = append(out, LineChange{Added: true, Line: y[j]})
			j++
		}
	}
	return out
}

func splitLines(s string) []string { return strings.Split(strings.TrimRight(s, "\n"), "\n") }
