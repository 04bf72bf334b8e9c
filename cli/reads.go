package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/query"
)

// auditPollInterval is the time between two reads of the audit trail with --follow.
const auditPollInterval = time.Second

func (s *session) status(ctx context.Context) error {
	st, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	return s.print(st, func(t *table) { t.status(st) })
}

func (t *table) status(st query.Status) {
	state := "routes no keyed requests"
	if st.MayRoute {
		state = "routes keyed requests"
	}
	t.row(fmt.Sprintf("%s: %s; %d members; ownership record %d applied, %d in force; profiles at %d",
		st.Host, state, st.Members, st.Applied, st.Active, st.Catalog))
	t.row("SERVICE", "PROFILE", "VERSION", "SERVERS", "SHARDS", "HELD", "UNOWNED", "PINS")
	for _, v := range st.Services {
		if !v.Keyed {
			t.row(v.Name, v.Profile, v.Version, v.Servers, "-", "-", "-", "-")
			continue
		}
		t.row(v.Name, v.Profile, v.Version, v.Servers, v.Shards, v.Held, v.Unowned, v.Pins)
	}
	if len(st.Measures) == 0 {
		return
	}
	t.row("SERVICE", "DOMAIN", "IMBALANCE", "CHURN", "UNAVAILABLE")
	for _, m := range st.Measures {
		t.row(m.Service, m.Domain, fmt.Sprintf("%.2f", m.Imbalance), m.Churn, m.Unavailable.Round(time.Millisecond))
	}
}

func (s *session) hosts(ctx context.Context) error {
	list, err := s.client.Hosts(ctx)
	if err != nil {
		return err
	}
	return s.print(list, func(t *table) {
		t.row("MEMBER", "DOMAIN", "PEER ADDRESS", "OWNERSHIP", "PROFILES", "")
		for _, h := range list {
			t.row(h.ID, h.Domain, h.PeerAddr, h.Ownership, h.Profiles, strings.TrimSpace(textIf(h.Self, "this host ")+textIf(h.Behind, "behind")))
		}
	})
}

func (s *session) servers(ctx context.Context) error {
	list, err := s.client.Servers(ctx, s.args.Servers.Service)
	if err != nil {
		return err
	}
	return s.print(list, func(t *table) { t.servers(list) })
}

func (t *table) servers(list []query.ServerInfo) {
	t.row("SERVICE", "SERVER", "DOMAIN", "ADDRESS", "SHARDS", "SHARE", "PINS", "")
	for _, v := range list {
		t.row(v.Service, v.ID, orDash(v.Domain), orDash(v.Address), v.Shards, fmt.Sprintf("%.1f%%", v.Share*100), v.Pins, textIf(v.Draining, "draining"))
	}
}

// keyedServices returns the named service, or all services that are sharded by
// key when the name is empty.
func (s *session) keyedServices(ctx context.Context, service string) ([]string, error) {
	if service != "" {
		return []string{service}, nil
	}
	st, err := s.client.Status(ctx)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, v := range st.Services {
		if v.Keyed {
			out = append(out, v.Name)
		}
	}
	if len(out) == 0 {
		return nil, fault.New(fault.NotFound, "no service is sharded by key")
	}
	return out, nil
}

func (s *session) owners(ctx context.Context) error {
	services, err := s.keyedServices(ctx, s.args.Owners.Service)
	if err != nil {
		return err
	}
	list := []query.Owner{}
	for _, service := range services {
		rows, err := s.client.Owners(ctx, service, s.args.Owners.Key)
		if err != nil {
			return err
		}
		list = append(list, rows...)
	}
	return s.print(list, func(t *table) {
		t.row("SERVICE", "SHARD", "KEY", "SERVER", "TOKEN", "RECORD", "RANK", "")
		for _, o := range list {
			note := strings.TrimSpace(textIf(o.Pinned, "pinned ") + textIf(o.Held, "moving"))
			t.row(o.Service, o.Shard, orDash(o.Key), orDash(o.Server), o.Token, o.Record, o.Rank, note)
		}
	})
}

// explain looks the subject up as a request id first, and then as a key.
func (s *session) explain(ctx context.Context) error {
	c := s.args.Explain
	if c.Service == "" {
		steps, err := s.client.Request(ctx, c.Subject)
		if err == nil {
			return s.print(steps, func(t *table) { t.steps(steps) })
		}
		if fault.KindOf(err) != fault.NotFound {
			return err
		}
	}
	services, err := s.keyedServices(ctx, c.Service)
	if err != nil {
		return err
	}
	list := []query.Explanation{}
	for _, service := range services {
		e, err := s.client.Explain(ctx, service, c.Subject)
		if err != nil {
			return err
		}
		list = append(list, e)
	}
	return s.print(list, func(t *table) {
		for _, e := range list {
			t.explanation(e)
		}
	})
}

func (t *table) explanation(e query.Explanation) {
	t.row("key", e.Key)
	t.row("service", e.Service)
	t.row("shard", fmt.Sprintf("%d%s", e.Shard, textIf(e.Pinned, " (the key is pinned)")))
	t.row("owner", orDash(e.Server))
	t.row("token", fmt.Sprintf("%d (record %d, rank %d)", e.Token, e.Record, e.Rank))
	t.row("since (UTC)", formatTime(e.Since))
	t.row("proposed by", orDash(e.ProposedBy))
	t.row("cause", orDash(e.Cause))
	t.row("successors", orDash(strings.Join(e.Successors, " ")))
	if e.Newer != "" {
		t.row("newer owner", e.Newer+" (recorded, not in force yet)")
	}
	verdict := "may send now: "
	if !e.MayRoute {
		verdict = "may not send: "
	}
	t.row("host", e.Host+" "+verdict+e.Why)
	if e.TrailError != "" {
		t.row("moves", "the log cannot be read: "+e.TrailError)
	}
	for i, m := range e.Moves {
		label := ""
		if i == 0 {
			label = "last moves"
		}
		t.row(label, fmt.Sprintf("%s record %d: %s -> %s by %s: %s", formatTime(m.Time), m.Offset, orDash(m.From), m.To, m.Author, m.Cause))
	}
}

func (t *table) steps(r query.RequestSteps) {
	t.row("request", r.RequestID)
	t.row("host", r.Host)
	t.row("TIME (UTC)", "STEP", "SERVICE", "KEY", "SHARD", "TOKEN", "SERVER", "OUTCOME", "NOTE")
	for _, v := range r.Steps {
		t.row(v.At.UTC().Format("15:04:05.000"), v.Name, orDash(v.Service), orDash(v.Key), v.Shard, v.Token,
			orDash(v.Server), strings.TrimSpace(string(v.Outcome)+" "+string(v.Kind)), v.Note)
	}
}

func (s *session) audit(ctx context.Context) error {
	c := s.args.Audit
	f := query.AuditFilter{Who: c.Who, Subject: c.Subject, ID: c.ID}
	since, err := s.parseSince(c.Since)
	if err != nil {
		return err
	}
	f.Since = since
	for first := true; ; first = false {
		a, err := s.client.Audit(ctx, f)
		switch {
		case err == nil:
			f.AfterProfiles, f.AfterOwnership = a.Profiles, a.Ownership
			if err := s.printAudit(a.Entries, first); err != nil {
				return err
			}
		case !c.Follow:
			return err
		default:
			writeError(s.env.Stderr, err)
		}
		if !c.Follow || !pause(ctx, auditPollInterval) {
			return nil
		}
	}
}

// pause waits for d and returns false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (s *session) parseSince(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return s.env.Now().Add(-d), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, fault.Newf(fault.BadRequest, "--since %q is neither a duration nor an RFC 3339 time", text)
	}
	return t, nil
}

func (s *session) printAudit(entries []query.AuditEntry, head bool) error {
	if len(entries) == 0 && !head {
		return nil
	}
	return s.print(entries, func(t *table) {
		if head {
			t.row("TIME (UTC)", "STREAM", "RECORD", "AUTHOR", "KIND", "SUBJECT", "VERDICT", "CAUSE")
		}
		for _, e := range entries {
			cause := e.Cause
			if e.Detail != "" {
				cause += " (" + e.Detail + ")"
			}
			if e.Reason != "" {
				cause += "; " + strings.ReplaceAll(e.Reason, "\n", "; ")
			}
			t.row(formatTime(e.Time), e.Stream, e.Offset, orDash(e.Author), orDash(e.Kind), orDash(e.Subject), e.Verdict, cause)
		}
	})
}

// watch prints the status and the servers at an interval.
func (s *session) watch(ctx context.Context) error {
	const clearScreen = "\x1b[H\x1b[2J"
	c := s.args.Watch
	for n := 1; ; n++ {
		st, err := s.client.Status(ctx)
		if err != nil {
			return err
		}
		list, err := s.client.Servers(ctx, "")
		if err != nil {
			return err
		}
		if c.Times != 1 && !s.args.JSON {
			fmt.Fprint(s.env.Stdout, clearScreen)
		}
		view := watchSnapshot{At: s.env.Now(), Status: st, Servers: list}
		err = s.print(view, func(t *table) {
			t.row(formatTime(view.At) + " UTC")
			t.status(st)
			t.servers(list)
		})
		if err != nil || n == c.Times || !pause(ctx, c.Every) {
			return err
		}
	}
}

// watchSnapshot is the content of one table of watch.
type watchSnapshot struct {
	At      time.Time          `json:"at"`
	Status  query.Status       `json:"status"`
	Servers []query.ServerInfo `json:"servers"`
}
