package command

import (
	"context"
	"fmt"
	"slices"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// Move requests another owner for one shard. Key, if set, selects the shard.
type Move struct {
	Metadata
	Service string          `json:"service"`
	Shard   ownership.Shard `json:"shard"`
	Key     string          `json:"key,omitempty"`
	To      string          `json:"to"`
}

// Move moves one shard to another backend server.
func (s *Service) Move(ctx context.Context, c Move) (Result, error) {
	if err := c.normalize(); err != nil {
		return Result{}, err
	}
	t, err := s.lookUpService(ctx, c.Service, c.To)
	if err != nil {
		return Result{}, err
	}
	shard := c.Shard
	if c.Key != "" {
		shard = ownership.ShardOf(c.Key, len(t.table.Shards))
	}
	if int(shard) >= len(t.table.Shards) {
		return Result{}, fault.Newf(fault.NotFound, "service %q has %d shards, no shard %d", c.Service, len(t.table.Shards), shard)
	}
	old := t.table.Shards[shard]
	if len(old.Servers) > 0 && old.Servers[0] == c.To {
		return Result{}, fault.Newf(fault.Superseded, "shard %d already belongs to %s, by record %d", shard, c.To, old.Record)
	}
	a := t.newAssignments()
	owner, successors := appendPlacement(a, old.Servers, c.To)
	a.Moves = []ownership.Assignment{{Shard: shard, Owner: owner, Successors: successors}}
	return s.assign(ctx, c.Metadata, t, a, old.Servers, c.To, fmt.Sprintf("%s/shard %d", c.Service, shard))
}

// Pin requests a separate owner for one hot key.
type Pin struct {
	Metadata
	Service string `json:"service"`
	Key     string `json:"key"`
	To      string `json:"to"`
}

// Pin assigns a key an owner that is independent of its shard's owner.
func (s *Service) Pin(ctx context.Context, c Pin) (Result, error) {
	if err := c.normalize(); err != nil {
		return Result{}, err
	}
	if c.Key == "" {
		return Result{}, fault.New(fault.BadRequest, "a pin must name its key")
	}
	t, err := s.lookUpService(ctx, c.Service, c.To)
	if err != nil {
		return Result{}, err
	}
	old, pinned := t.table.Pins[c.Key]
	if !pinned {
		old = t.table.Shards[ownership.ShardOf(c.Key, len(t.table.Shards))]
	}
	limit := s.profileOf(t.service).Ownership.MaxPins
	if !pinned && len(t.table.Pins) >= limit {
		return Result{}, fault.Newf(fault.BadRequest, "service %q already has %d pinned keys, the limit set by ownership.max_pins", c.Service, limit)
	}
	a := t.newAssignments()
	owner, successors := appendPlacement(a, old.Servers, c.To)
	a.Pins = []ownership.Pin{{Key: c.Key, Owner: owner, Successors: successors}}
	return s.assign(ctx, c.Metadata, t, a, old.Servers, c.To, c.Service+"/key "+c.Key)
}

// Unpin requests that a key return to the owner of its shard.
type Unpin struct {
	Metadata
	Service string `json:"service"`
	Key     string `json:"key"`
}

// Unpin returns a pinned key to the owner of its shard.
func (s *Service) Unpin(ctx context.Context, c Unpin) (Result, error) {
	if err := c.normalize(); err != nil {
		return Result{}, err
	}
	t, err := s.lookUpService(ctx, c.Service, "")
	if err != nil {
		return Result{}, err
	}
	old, pinned := t.table.Pins[c.Key]
	if !pinned {
		return Result{}, fault.Newf(fault.NotFound, "key %q of service %q is not pinned", c.Key, c.Service)
	}
	a := t.newAssignments()
	a.Unpins = []string{c.Key}
	to := ""
	if servers := t.table.Shards[ownership.ShardOf(c.Key, len(t.table.Shards))].Servers; len(servers) > 0 {
		to = servers[0]
	}
	return s.assign(ctx, c.Metadata, t, a, old.Servers, to, c.Service+"/key "+c.Key)
}

// serviceTable is a service and its assignment table.
type serviceTable struct {
	service profile.Service
	table   *ownership.Table
}

// lookUpService returns a service with its assignment table. If to is not empty, the
// service must declare that server, and the server must not be draining.
func (s *Service) lookUpService(ctx context.Context, service, to string) (serviceTable, error) {
	doc, ok := s.control.Snapshot().Catalog.Services[service]
	if !ok {
		return serviceTable{}, fault.Newf(fault.NotFound, "there is no service %q", service)
	}
	state, err := s.control.State(ctx)
	if err != nil {
		return serviceTable{}, err
	}
	t := serviceTable{service: doc.Value, table: state.Tables[service]}
	if t.table == nil {
		return serviceTable{}, fault.Newf(fault.NotFound, "service %q has no assignment", service)
	}
	if to == "" {
		return t, nil
	}
	if !declares(doc.Value, to) {
		return serviceTable{}, fault.Newf(fault.NotFound, "service %q declares no server %q", service, to)
	}
	if _, draining := state.Drains[ownership.Drain{Service: service, Server: to}]; draining {
		return serviceTable{}, fault.Newf(fault.BadRequest, "server %q is draining", to)
	}
	return t, nil
}

func declares(service profile.Service, id string) bool {
	return slices.ContainsFunc(service.Servers, func(s profile.Server) bool { return s.ID == id })
}

func (t serviceTable) newAssignments() *ownership.Assignments {
	return &ownership.Assignments{Service: t.service.Name, Base: t.table.Version, Shards: len(t.table.Shards)}
}

// appendPlacement appends the servers of a placement to a.Servers, with to in
// front of the old servers, and returns their indexes. The number of successors
// stays: the old owner becomes a successor only if to was one.
func appendPlacement(a *ownership.Assignments, old []string, to string) (owner int, successors []int) {
	list := []string{to}
	for i, id := range old {
		if id != to && (i > 0 || slices.Contains(old, to)) {
			list = append(list, id)
		}
	}
	a.Servers = append(a.Servers, list...)
	for i := 1; i < len(list); i++ {
		successors = append(successors, i)
	}
	return 0, successors
}

func (s *Service) assign(ctx context.Context, meta Metadata, t serviceTable, a *ownership.Assignments, old []string, to, subject string) (Result, error) {
	from := ""
	if len(old) > 0 {
		from = old[0]
	}
	var effect Effect
	effect.setMoves([]PlannedMove{{From: from, To: to, Count: 1, Cause: meta.Reason}}, t.service, s.profileOf(t.service))
	if meta.DryRun {
		return Result{ID: meta.ID, Stream: tlog.OwnershipStream(s.cell), Subject: subject, State: DryRun, Effect: effect}, nil
	}
	result, err := s.submitOwnership(ctx, ownership.Record{
		ID: meta.ID, Author: ownership.MemberID(meta.Author), Cause: meta.Reason, Kind: ownership.AssignRecord, Assign: a,
	})
	result.Subject, result.Effect = subject, effect
	return result, err
}

// Drain requests that all shards move off a backend server or, for Undrain, that
// it may receive shards again.
type Drain struct {
	Metadata
	Service string `json:"service"`
	Server  string `json:"server"`
}

// Drain moves all shards off a backend server.
func (s *Service) Drain(ctx context.Context, c Drain) (Result, error) {
	return s.drain(ctx, c, ownership.DrainRecord)
}

// Undrain lets a draining backend server receive shards again.
func (s *Service) Undrain(ctx context.Context, c Drain) (Result, error) {
	return s.drain(ctx, c, ownership.UndrainRecord)
}

func (s *Service) drain(ctx context.Context, c Drain, kind ownership.RecordKind) (Result, error) {
	if err := c.normalize(); err != nil {
		return Result{}, err
	}
	doc, ok := s.control.Snapshot().Catalog.Services[c.Service]
	if !ok || !declares(doc.Value, c.Server) {
		return Result{}, fault.Newf(fault.NotFound, "there is no server %q of service %q", c.Server, c.Service)
	}
	state, err := s.control.State(ctx)
	if err != nil {
		return Result{}, err
	}
	d := ownership.Drain{Service: c.Service, Server: c.Server}
	var effect Effect
	if kind == ownership.DrainRecord {
		moves, err := s.planMoves(ctx, doc.Value, &d)
		if err != nil {
			return Result{}, err
		}
		effect.setMoves(moves, doc.Value, s.profileOf(doc.Value))
	}
	subject := c.Service + "/" + c.Server
	if c.DryRun {
		return Result{ID: c.ID, Stream: tlog.OwnershipStream(s.cell), Subject: subject, State: DryRun, Effect: effect}, nil
	}
	result, err := s.submitOwnership(ctx, ownership.Record{
		ID: c.ID, Author: ownership.MemberID(c.Author), Cause: c.Reason, Kind: kind, Drain: &d, Base: state.DrainBase[d],
	})
	result.Subject, result.Effect = subject, effect
	return result, err
}

// Forget requests the removal of members that have stopped permanently, without
// their acknowledgement.
type Forget struct {
	Metadata
	Members []string `json:"members"` // full member ids: host name, "/", incarnation
	// Stopped is the operator's confirmation that these processes no longer run.
	// A member that still runs could keep sending until its lease ends.
	Stopped bool `json:"stopped"`
}

// Forget removes members. Errors are of kind BadRequest if Stopped is not set,
// and of kind NotFound for an unknown member.
func (s *Service) Forget(ctx context.Context, c Forget) (Result, error) {
	if err := c.normalize(); err != nil {
		return Result{}, err
	}
	if !c.Stopped {
		return Result{}, fault.New(fault.BadRequest, "confirm with --stopped that the processes have stopped permanently")
	}
	state, err := s.control.State(ctx)
	if err != nil {
		return Result{}, err
	}
	record := ownership.Record{
		ID: c.ID, Author: ownership.MemberID(c.Author), Cause: c.Reason, Kind: ownership.RemoveRecord, Forced: true,
	}
	for _, id := range c.Members {
		member := ownership.MemberID(id)
		if _, ok := state.Members[member]; !ok {
			return Result{}, fault.Newf(fault.NotFound, "there is no member %q", id)
		}
		if member == s.control.Snapshot().View.Self {
			return Result{}, fault.Newf(fault.BadRequest, "member %q is the host that handles this command; it has not stopped", id)
		}
		record.Remove = append(record.Remove, member)
	}
	if len(record.Remove) == 0 {
		return Result{}, fault.New(fault.BadRequest, "name at least one member")
	}
	subject := fmt.Sprint(c.Members)
	if c.DryRun {
		return Result{ID: c.ID, Stream: tlog.OwnershipStream(s.cell), Subject: subject, State: DryRun}, nil
	}
	result, err := s.submitOwnership(ctx, record)
	result.Subject = subject
	return result, err
}
