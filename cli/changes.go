package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/command"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

// drainPollInterval is the time between two counts of a draining server's shards.
const drainPollInterval = 200 * time.Millisecond

// metadata returns the author, reason and id of a change. A missing id is
// generated before the first attempt, so that it is known even if the answer is
// lost.
func (s *session) metadata(w Writing) command.Metadata {
	id := w.ID
	if id == "" {
		id = command.NewID()
	}
	author := w.Author
	if author == "" {
		author = s.env.Getenv("USER")
	}
	return command.Metadata{Author: author, Reason: w.Reason, ID: id, DryRun: w.DryRun}
}

// submitChange submits a change, waits as long as --wait asks for and prints the
// outcome.
func (s *session) submitChange(ctx context.Context, w Writing, id string, write func() (command.Result, error)) error {
	if w.Wait != string(command.Accepted) && w.Wait != string(command.InForce) {
		return fault.Newf(fault.BadRequest, "--wait %q is neither accepted nor in-force", w.Wait)
	}
	start := s.env.Now()
	result, err := write()
	if err != nil {
		return err
	}
	if result.State == command.DryRun {
		return s.print(result, func(t *table) {
			t.row("dry run, nothing written: " + result.Subject)
			t.effect(result.Effect)
		})
	}
	s.infof("accepted %s as record %d of %s after %s (id %s)", result.Subject, result.Offset, result.Stream, s.elapsed(start), id)
	if w.Wait == string(command.Accepted) {
		return s.print(result, func(t *table) { t.effect(result.Effect) })
	}
	ctx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	progress, err := s.client.Await(ctx, result, func(p command.Progress) { s.printProgress(p) })
	if err != nil {
		return withMissingHosts(err, progress)
	}
	s.infof("in force in every failure domain after %s", s.elapsed(start))
	result.State = command.InForce
	return s.print(result, func(t *table) { t.effect(result.Effect) })
}

// infof prints a progress line. With --json it prints nothing, so that the
// result is the only output.
func (s *session) infof(format string, args ...any) {
	if s.args.JSON {
		return
	}
	fmt.Fprintln(s.env.Stdout, replaceControlChars(fmt.Sprintf(format, args...)))
}

func (s *session) elapsed(start time.Time) time.Duration {
	return s.env.Now().Sub(start).Round(time.Millisecond)
}

func (s *session) printProgress(p command.Progress) {
	parts := make([]string, 0, len(p.Domains))
	for _, d := range p.Domains {
		parts = append(parts, fmt.Sprintf("%s %d/%d", d.Domain, d.Applied, d.Members))
	}
	s.infof("  applied: %s", strings.Join(parts, ", "))
}

// withMissingHosts adds to err the hosts that have not acknowledged a change in
// time.
func withMissingHosts(err error, p command.Progress) error {
	var hosts []string
	for _, d := range p.Domains {
		for _, h := range d.Missing {
			hosts = append(hosts, h+" ("+d.Domain+")")
		}
	}
	if len(hosts) == 0 {
		return err
	}
	return fault.Wrap(fault.KindOf(err), err, "not acknowledged by "+strings.Join(hosts, ", "))
}

func (t *table) effect(e command.Effect) {
	if e.New {
		t.row("first version")
	}
	t.changes(e.Changes)
	if len(e.Moves) == 0 {
		return
	}
	t.row("FROM", "TO", "COUNT", "CAUSE")
	for _, m := range e.Moves {
		t.row(orDash(m.From), orDash(m.To), m.Count, m.Cause)
	}
	t.row(fmt.Sprintf("requests for a moved key wait about %s, at most %s when a host does not answer", e.Unavailable, e.UnavailableMax))
}

func (s *session) move(ctx context.Context) error {
	c := s.args.Move
	if (c.Shard == nil) == (c.Key == "") {
		return fault.New(fault.BadRequest, "exactly one of --shard or --key is required")
	}
	w := command.Move{Metadata: s.metadata(c.Writing), Service: c.Service, Key: c.Key, To: c.To}
	if c.Shard != nil {
		if *c.Shard < 0 {
			return fault.Newf(fault.BadRequest, "there is no shard %d", *c.Shard)
		}
		w.Shard = ownership.Shard(*c.Shard)
	}
	return s.submitChange(ctx, c.Writing, w.ID, func() (command.Result, error) { return s.client.Move(ctx, w) })
}

func (s *session) pin(ctx context.Context) error {
	c := s.args.Pin
	w := command.Pin{Metadata: s.metadata(c.Writing), Service: c.Service, Key: c.Key, To: c.To}
	return s.submitChange(ctx, c.Writing, w.ID, func() (command.Result, error) { return s.client.Pin(ctx, w) })
}

func (s *session) unpin(ctx context.Context) error {
	c := s.args.Unpin
	w := command.Unpin{Metadata: s.metadata(c.Writing), Service: c.Service, Key: c.Key}
	return s.submitChange(ctx, c.Writing, w.ID, func() (command.Result, error) { return s.client.Unpin(ctx, w) })
}

func (s *session) drain(ctx context.Context) error {
	c := s.args.Drain
	w := command.Drain{Metadata: s.metadata(c.Writing), Service: c.Service, Server: c.Server}
	err := s.submitChange(ctx, c.Writing, w.ID, func() (command.Result, error) { return s.client.Drain(ctx, w) })
	if err != nil || c.DryRun || c.Wait != string(command.InForce) {
		return err
	}
	return s.awaitDrained(ctx, c)
}

// awaitDrained waits until a draining server owns no shard or key in force.
func (s *session) awaitDrained(ctx context.Context, c *DrainCmd) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	start, last := s.env.Now(), -1
	for {
		left, err := s.countOwned(ctx, c.Service, c.Server)
		if err == nil && left != last {
			s.infof("  %s owns %d shards and keys in force", c.Server, left)
			last = left
		}
		if err == nil && left == 0 {
			s.infof("drained after %s: no new request goes to %s", s.elapsed(start), c.Server)
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.Newf(fault.Timeout, "%s still owns %d shards and keys; the drain continues", c.Server, left)
		case <-time.After(drainPollInterval):
		}
	}
}

// countOwned counts the shards and keys that the queried host routes to a
// server, and all those whose newer owner is not in force yet.
func (s *session) countOwned(ctx context.Context, service, server string) (int, error) {
	routes, err := s.client.Owners(ctx, service, "")
	if err != nil {
		return 0, err
	}
	n := 0
	for _, r := range routes {
		if r.Server == server || r.Held {
			n++
		}
	}
	return n, nil
}

func (s *session) undrain(ctx context.Context) error {
	c := s.args.Undrain
	w := command.Drain{Metadata: s.metadata(c.Writing), Service: c.Service, Server: c.Server}
	return s.submitChange(ctx, c.Writing, w.ID, func() (command.Result, error) { return s.client.Undrain(ctx, w) })
}

func (s *session) forget(ctx context.Context) error {
	c := s.args.Members.Forget
	w := command.Forget{Metadata: s.metadata(c.Writing), Members: c.Members, Stopped: c.Stopped}
	return s.submitChange(ctx, c.Writing, w.ID, func() (command.Result, error) { return s.client.Forget(ctx, w) })
}
