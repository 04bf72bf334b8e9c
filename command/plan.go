package command

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/planner"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

// planMoves returns the moves that the planner would make if this version of
// service were in force and, unless drained is nil, that server were draining.
// The plan ignores load, so hosts that measure load may choose other shards.
func (s *Service) planMoves(ctx context.Context, service profile.Service, drained *ownership.Drain) ([]PlannedMove, error) {
	state, err := s.control.State(ctx)
	if err != nil {
		return nil, err
	}
	table := state.Tables[service.Name]
	p := s.profileOf(service)
	if p.Key == nil || table == nil {
		return nil, nil
	}
	in := planner.Input{Successors: p.Ownership.Successors, Budget: p.Ownership.MovesPerMinute}
	in.Policy = planner.Policy{
		MaxImbalance: p.Ownership.MaxImbalance, MovesPerMinute: p.Ownership.MovesPerMinute,
		MinRest: p.Ownership.MinRest, SlowStart: p.Ownership.SlowStart, MaxPins: p.Ownership.MaxPins,
	}
	index := map[string]int{}
	for i, server := range service.Servers {
		index[server.ID] = i
		d := ownership.Drain{Service: service.Name, Server: server.ID}
		row := planner.Server{ID: server.ID, Domain: server.Domain}
		if _, draining := state.Drains[d]; draining || (drained != nil && *drained == d) {
			row.State = planner.Draining
		}
		in.Servers = append(in.Servers, row)
	}
	for _, placed := range table.Shards {
		in.Placements = append(in.Placements, plannerPlacement(placed, index))
	}
	return countMoves(in, planner.Make(in), table), nil
}

func plannerPlacement(placed ownership.Placement, index map[string]int) planner.Placement {
	out := planner.Placement{Owner: planner.Unowned}
	for rank, id := range placed.Servers {
		i, known := index[id]
		switch {
		case rank == 0 && known:
			out.Owner = i
		case rank > 0 && known:
			out.Successors = append(out.Successors, i)
		}
	}
	return out
}

func countMoves(in planner.Input, plan planner.Plan, table *ownership.Table) []PlannedMove {
	counts := map[PlannedMove]int{}
	for _, m := range plan.Moves {
		from := ""
		if servers := table.Shards[m.Shard].Servers; len(servers) > 0 {
			from = servers[0]
		}
		to := in.Servers[m.Owner].ID
		if from == to {
			continue
		}
		counts[PlannedMove{From: from, To: to, Cause: m.Cause.String()}]++
	}
	out := make([]PlannedMove, 0, len(counts))
	for m, n := range counts {
		m.Count = n
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b PlannedMove) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
	return out
}

// setMoves sets the moves and how long requests for a moved shard wait.
func (e *Effect) setMoves(moves []PlannedMove, service profile.Service, p profile.Profile) {
	e.Moves = moves
	if len(moves) == 0 {
		return
	}
	e.Unavailable = ownership.DefaultRound
	e.UnavailableMax = ownership.DefaultRound + ownership.DefaultTTL
	if service.ChecksGrants {
		return
	}
	var longest time.Duration
	for _, rule := range p.Rules {
		if !rule.Idempotent {
			longest = max(longest, rule.Timeout)
		}
	}
	e.UnavailableMax += longest
}
