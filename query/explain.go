package query

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// Owner is the route of one shard or pinned key on this host.
type Owner struct {
	Service string          `json:"service"`
	Shard   ownership.Shard `json:"shard"`
	Key     string          `json:"key,omitempty"` // set for a pinned or requested key
	Pinned  bool            `json:"pinned,omitempty"`
	Server  string          `json:"server"` // empty: none in force
	Token   ownership.Token `json:"token"`
	Record  tlog.Offset     `json:"record"` // the assignment record
	Rank    int             `json:"rank"`   // succession rank; 0 is the assigned owner
	Held    bool            `json:"held"`   // a newer owner is recorded and not in force yet
}

// Owners lists the routes of a service: of one key, or of every shard and
// pinned key when key is empty. Errors are of kind NotFound.
func (s *Service) Owners(service, key string) ([]Owner, error) {
	v := s.control.Snapshot().View
	sv := v.Services[service]
	if sv == nil {
		return nil, fault.Newf(fault.NotFound, "service %q has no owners; it is unknown, not sharded by key, or has no assignment yet", service)
	}
	if key != "" {
		shard, route, _ := v.Route(service, key)
		_, pinned := sv.Pins[key]
		return []Owner{ownerRow(service, shard, key, pinned, route)}, nil
	}
	out := make([]Owner, 0, len(sv.Routes)+len(sv.Pins))
	for i, route := range sv.Routes {
		out = append(out, ownerRow(service, ownership.Shard(i), "", false, route))
	}
	for _, pin := range slices.Sorted(maps.Keys(sv.Pins)) {
		shard := ownership.ShardOf(pin, len(sv.Routes))
		out = append(out, ownerRow(service, shard, pin, true, sv.Pins[pin]))
	}
	return out, nil
}

func ownerRow(service string, shard ownership.Shard, key string, pinned bool, r ownership.Route) Owner {
	return Owner{
		Service: service, Shard: shard, Key: key, Pinned: pinned, Server: r.Server,
		Token: r.Token, Record: r.Token.Offset(), Rank: r.Token.Rank(), Held: r.Held,
	}
}

// Explanation is the route of a key and the reasons for it.
type Explanation struct {
	Owner
	Host       string    `json:"host"`      // the host that answers the query
	MayRoute   bool      `json:"may_route"` // that host may send now
	Why        string    `json:"why"`       // why it may, or may not
	Since      time.Time `json:"since"`     // when the log stored the record; zero when expired
	ProposedBy string    `json:"proposed_by"`
	Cause      string    `json:"cause"`
	Successors []string  `json:"successors"`      // by rank, in case the owner fails
	Newer      string    `json:"newer,omitempty"` // the recorded owner that is not in force yet
	Moves      []Move    `json:"moves"`           // last moves, newest first
	// TrailError says why Since and Moves may be incomplete.
	TrailError string `json:"trail_error,omitempty"`
}

// Explain returns which backend server owns key, by which record, who proposed
// it and why, and whether this host may send now. Errors are of kind NotFound or
// NotReady. During a log outage only the fields that are read from the log may
// be incomplete; see TrailError.
func (s *Service) Explain(ctx context.Context, service, key string) (Explanation, error) {
	owners, err := s.Owners(service, key)
	if err != nil {
		return Explanation{}, err
	}
	state, err := s.control.State(ctx)
	if err != nil {
		return Explanation{}, err
	}
	out := Explanation{Owner: owners[0], Successors: []string{}, Moves: []Move{}}
	out.setMayRoute(s.control.Snapshot().View, s.control.Now())
	out.setCause(state.Tables[service], key)
	s.addMoves(ctx, &out, key)
	return out, nil
}

func (e *Explanation) setMayRoute(v *ownership.View, now ownership.Instant) {
	e.Host = string(v.Self)
	e.MayRoute = v.MayRoute(now) && !e.Held && e.Server != ""
	switch {
	case !v.Member:
		e.Why = "this host is not a member, or its join record is not in force"
	case !v.MayRoute(now):
		e.Why = "this host holds no view lease: no majority has confirmed its view"
	case e.Held:
		e.Why = "a newer owner is recorded and not in force yet; requests wait"
	case e.Server == "":
		e.Why = "no owner is in force"
	default:
		e.Why = "this host holds a view lease for " + (v.LeaseUntil - now).Round(time.Millisecond).String()
	}
}

func (e *Explanation) setCause(t *ownership.Table, key string) {
	if t == nil {
		return
	}
	p := t.Shards[e.Shard]
	if pin, ok := t.Pins[key]; ok {
		p = pin
	}
	if cause, ok := t.Cause(p.Record); ok {
		e.ProposedBy, e.Cause = string(cause.Author), cause.Text
	}
	if len(p.Servers) == 0 {
		return
	}
	e.Successors = p.Servers[1:]
	if p.Record != e.Record {
		e.Newer = p.Servers[0]
	}
}

func (s *Service) addMoves(ctx context.Context, e *Explanation, key string) {
	s.trail.mu.Lock()
	defer s.trail.mu.Unlock()
	if err := s.trail.catchUp(ctx); err != nil {
		e.TrailError = err.Error()
	}
	for _, entry := range s.trail.ownership.entries {
		if entry.Offset == e.Record {
			e.Since = entry.Time
		}
	}
	moves := slices.Clone(s.trail.moves[shardOrKey{e.Service, e.Shard, ""}])
	moves = append(moves, s.trail.moves[shardOrKey{e.Service, e.Shard, key}]...)
	slices.SortFunc(moves, func(a, b Move) int { return int(b.Offset) - int(a.Offset) })
	e.Moves = append(e.Moves, slices.CompactFunc(moves, func(a, b Move) bool { return a.Offset == b.Offset })...)
}

// RecentMove is one accepted assignment record.
type RecentMove struct {
	Time    time.Time   `json:"time"`
	Offset  tlog.Offset `json:"offset"`
	Service string      `json:"service"`
	Detail  string      `json:"detail"`
	Author  string      `json:"author"`
	Cause   string      `json:"cause"`
}

// RecentMoves returns the newest accepted assignment records, newest first.
func (s *Service) RecentMoves(ctx context.Context, n int) ([]RecentMove, error) {
	audit, err := s.Audit(ctx, AuditFilter{})
	if err != nil {
		return nil, err
	}
	out := []RecentMove{}
	for _, e := range slices.Backward(audit.Entries) {
		if e.Kind == string(ownership.AssignRecord) && e.Verdict == Accepted && len(out) < n {
			out = append(out, RecentMove{e.Time, e.Offset, e.Subject, e.Detail, e.Author, e.Cause})
		}
	}
	return out, nil
}
