// Package planner chooses owners and successors for shards. It is pure: the
// same input gives the same plan, and nothing moves without need.
//
// Owners are spread by bounded load (Mirrokni, Thorup, Zadimoghaddam,
// "Consistent Hashing with Bounded Loads", 2016), but over recorded placements
// rather than over a hash ring, so that only the shards of a lost server move.
package planner

import "time"

// Policy weighs churn of ownership against imbalance and unavailable time.
type Policy struct {
	MaxImbalance   float64       // allowed ratio of largest to mean load
	MovesPerMinute int           // budget of planned moves
	MinRest        time.Duration // minimum time between planned moves of one shard
	SlowStart      time.Duration // time over which a new server's share grows
	MaxPins        int           // most hot keys with an owner of their own
}

// ServerState says what the planner may do with a server.
type ServerState int

// The server states.
const (
	Up       ServerState = iota // takes shards
	Starting                    // takes shards up to Share of its weight
	Draining                    // gives every shard away
	Lost                        // owns nothing any more
)

// Server is a backend server as the planner sees it.
type Server struct {
	ID     string
	Domain string
	State  ServerState
	Weight float64 // capacity relative to other servers; 0 means 1
	Share  float64 // part of its weight that a starting server may use, 0 to 1
}

// acceptsShards reports whether the server may be given shards.
func (s Server) acceptsShards() bool { return s.State == Up || s.State == Starting }

// capacity returns the effective weight.
func (s Server) capacity() float64 {
	w := s.Weight
	if w <= 0 {
		w = 1
	}
	switch s.State {
	case Up:
		return w
	case Starting:
		return w * min(max(s.Share, minShare), 1)
	default:
		return 0
	}
}

// Unowned is the owner of a shard that has none.
const Unowned = -1

// Placement is an owner with ordered successors, as indexes into the servers.
type Placement struct {
	Owner      int
	Successors []int
}

// Input is everything a plan depends on.
type Input struct {
	Servers    []Server
	Placements []Placement
	// FailedOver marks shards whose requests were failed over to their first
	// successor already; their owner counts as lost. nil means none.
	FailedOver []bool
	// Load is the load of each shard in any unit; nil means that all are equal.
	Load []float64
	// SinceMove is the time since each shard's last move; nil means long ago.
	SinceMove  []time.Duration
	Successors int // wanted successors per shard
	Policy     Policy
	// Budget is the number of moves for balance that the plan may hold. Moves
	// away from lost and draining servers are not counted.
	Budget int
}

// Cause says why a shard is placed anew.
type Cause int

// The causes.
const (
	FirstOwner        Cause = iota // the shard had no owner
	ServerLost                     // its owner is lost
	Drained                        // its owner is draining
	Balance                        // its owner carried more than the allowed imbalance
	SuccessorReplaced              // the owner stays; a successor was replaced
)

var causeText = [...]string{
	FirstOwner:        "first owner",
	ServerLost:        "server lost",
	Drained:           "server draining",
	Balance:           "imbalance",
	SuccessorReplaced: "successors replaced",
}

// String returns the cause for people.
func (c Cause) String() string { return causeText[c] }

// Move places one shard anew.
type Move struct {
	Shard int
	Placement
	Cause Cause
}

// Plan is a batch of moves for one record, by shard number.
type Plan struct {
	Moves []Move
	Cause string // for people: what moves and why
}

const (
	minShare            = 0.05
	defaultMaxImbalance = 1.15
	// goalFactor is the part of the allowed imbalance down to which measured
	// loads are levelled once they exceed it, so that noise starts no new moves.
	goalFactor = 0.7
)

// Initial spreads shards over the servers with no earlier placement.
func Initial(servers []Server, shards, successors int) []Placement {
	out := make([]Placement, shards)
	for i := range out {
		out[i].Owner = Unowned
	}
	plan := Make(Input{Servers: servers, Placements: out, Successors: successors})
	for _, m := range plan.Moves {
		out[m.Shard] = m.Placement
	}
	return out
}
