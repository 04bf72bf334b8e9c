package cli

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/lacewingsaddle/lacewingsaddle/command"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/query"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// check validates files without contacting a host.
func (s *session) check(context.Context) error {
	var failed error
	for _, file := range s.args.Check.Files {
		docs, err := parseFile(file)
		if err != nil {
			writeFileError(s.env.Stderr, file, err)
			failed = fault.New(fault.BadProfile, "nothing was published")
			continue
		}
		for i, d := range docs {
			if !s.args.Check.Effective {
				fmt.Fprintf(s.env.Stdout, "%s: %s %s is valid\n", file, d.Kind, d.Name())
				continue
			}
			if i > 0 {
				fmt.Fprintln(s.env.Stdout, "---")
			}
			fmt.Fprint(s.env.Stdout, d.Effective())
		}
	}
	return failed
}

func parseFile(file string) ([]profile.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "read the file")
	}
	return profile.Parse(data)
}

func (s *session) documentHandler(c *DocumentCmd, kind profile.DocumentKind) func(context.Context) error {
	run := func(f func(context.Context, profile.DocumentKind) error) func(context.Context) error {
		return func(ctx context.Context) error { return f(ctx, kind) }
	}
	switch {
	case c.Publish != nil:
		return func(ctx context.Context) error { return s.publish(ctx, kind, c.Publish) }
	case c.List != nil:
		return run(s.list)
	case c.Show != nil:
		return func(ctx context.Context) error { return s.show(ctx, kind, c.Show) }
	case c.Diff != nil:
		return func(ctx context.Context) error { return s.diff(ctx, kind, c.Diff) }
	case c.History != nil:
		return func(ctx context.Context) error { return s.history(ctx, kind, c.History.Name) }
	case c.Rollback != nil:
		return func(ctx context.Context) error { return s.rollback(ctx, kind, c.Rollback) }
	}
	return nil
}

func (s *session) publish(ctx context.Context, kind profile.DocumentKind, c *PublishCmd) error {
	docs, err := parseFile(c.File)
	if err != nil {
		return err
	}
	bases, err := parseBases(c.Base)
	if err != nil {
		return err
	}
	found := false
	for _, d := range docs {
		if d.Kind != kind {
			continue
		}
		found = true
		base, named := bases[d.Name()]
		if !named {
			base = bases[""]
		}
		w := command.Publish{Metadata: s.metadata(c.Writing), Document: d.Source, Base: base}
		if err := s.submitChange(ctx, c.Writing, w.ID, func() (command.Result, error) { return s.client.Publish(ctx, w) }); err != nil {
			return err
		}
	}
	if !found {
		return fault.Newf(fault.BadRequest, "%s contains no document of kind %s", c.File, kind)
	}
	return nil
}

// parseBases parses VERSION and NAME=VERSION; the former is stored under an empty
// name.
func parseBases(list []string) (map[string]tlog.Offset, error) {
	out := map[string]tlog.Offset{}
	for _, text := range list {
		name, version, named := strings.Cut(text, "=")
		if !named {
			name, version = "", text
		}
		n, err := strconv.ParseUint(version, 10, 64)
		if err != nil {
			return nil, fault.Newf(fault.BadRequest, "--base %q is neither VERSION nor NAME=VERSION", text)
		}
		out[name] = tlog.Offset(n)
	}
	return out, nil
}

func (s *session) list(ctx context.Context, kind profile.DocumentKind) error {
	all, err := s.client.Documents(ctx)
	if err != nil {
		return err
	}
	docs := []query.DocumentInfo{}
	for _, d := range all {
		if d.Kind == kind {
			docs = append(docs, d)
		}
	}
	return s.print(docs, func(t *table) {
		t.row("NAME", "VERSION", "TIME (UTC)", "AUTHOR", "REASON", "USED BY")
		for _, d := range docs {
			t.row(d.Name, d.Version, formatTime(d.Time), d.Author, d.Cause, strings.Join(d.UsedBy, " "))
		}
	})
}

func (s *session) show(ctx context.Context, kind profile.DocumentKind, c *ShowCmd) error {
	d, err := s.client.Document(ctx, kind, c.Name, c.Version)
	if err != nil {
		return err
	}
	if s.args.JSON {
		return s.print(d, nil)
	}
	text := d.Source
	if c.Effective {
		text = d.Effective
	}
	_, err = fmt.Fprintf(s.env.Stdout, "# version %d by %s at %s: %s\n%s", d.Version, d.Author, formatTime(d.Time), replaceControlChars(d.Cause), text)
	return err
}

func (s *session) diff(ctx context.Context, kind profile.DocumentKind, c *DiffCmd) error {
	d, err := s.client.Diff(ctx, kind, c.Name, c.From, c.To)
	if err != nil {
		return err
	}
	return s.print(d, func(t *table) {
		t.row(fmt.Sprintf("%s %s, version %d against %d", kind, c.Name, d.From, d.To))
		t.changes(d.Changes)
	})
}

// changes writes each line of a diff as a single column with its sign, which
// keeps the indent; row trims only the end of a line.
func (t *table) changes(list []query.LineChange) {
	for _, c := range list {
		sign := "- "
		if c.Added {
			sign = "+ "
		}
		t.row(sign + c.Line)
	}
}

func (s *session) history(ctx context.Context, kind profile.DocumentKind, name string) error {
	list, err := s.client.History(ctx, kind, name)
	if err != nil {
		return err
	}
	return s.print(list, func(t *table) {
		t.row("VERSION", "TIME (UTC)", "AUTHOR", "REASON", "RECORD")
		for _, d := range list {
			t.row(d.Version, formatTime(d.Time), d.Author, d.Cause, d.ID)
		}
	})
}

func (s *session) rollback(ctx context.Context, kind profile.DocumentKind, c *RollbackCmd) error {
	w := command.Rollback{Metadata: s.metadata(c.Writing), Kind: kind, Name: c.Name, Version: c.To, Base: c.Base}
	return s.submitChange(ctx, c.Writing, w.ID, func() (command.Result, error) { return s.client.Rollback(ctx, w) })
}

func (s *session) schema(context.Context) error {
	data, err := profile.Schema()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.env.Stdout, string(data))
	return err
}
