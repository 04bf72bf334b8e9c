// Package planner chooses owners and successors for shards. It is a pure
// function: the same input gives the same plan, and no shard moves unless its
// owner is unusable or the load is out of balance.
//
// Shards are spread over owners with bounded loads (Mirrokni, Thorup, Zadimoghaddam,
// "Consistent Hashing with Bounded Loads", 2016), but over recorded placements
// rather than over a hash ring, so that only the shards of a lost server move.
package planner

import "time"

// Policy trades churn of ownership off against imbalance and unavailability.
type Policy struct {
	MaxImbalance   float64       // allowed ratio of largest to mean load
	MovesPerMinute int           // rate limit of planned moves
	MinRest        time.Duration // minimum time between planned moves of one shard
	SlowStart      time.Duration // time over which a new server's share grows
	MaxPins        int           // maximum number of hot keys pinned to an owner of their own
}

// ServerState says whether the planner may assign shards to a server.
type ServerState int

// The server states.
const (
	Up       ServerState = iota // accepts shards
	Starting                    // accepts shards up to Share of its weight
	Draining                    // all its shards are moved away
	Lost                        // owns no shards
)

// Server is a backend server as the planner sees it.
type Server struct {
	ID     string
	Domain string
	State  ServerState
	Weight float64 // capacity relative to other servers; 0 means 1
	Share  float64 // fraction of Weight that counts while Starting, 0 to 1
}

// acceptsShards reports whether shards may be assigned to the server.
func (s Server) acceptsShards() bool { return s.State == Up || s.State == Starting }

// capacity returns the effective weight: 0 for a server that accepts no shards.
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

// Unowned is the Owner of a shard without an owner.
const Unowned = -1

// Placement is the owner and the ordered successors of a shard, as indexes into
// Input.Servers.
type Placement struct {
	Owner      int
	Successors []int
}

// Input is everything that a plan depends on.
type Input struct {
	Servers    []Server
	Placements []Placement
	// FailedOver marks shards whose requests were failed over to their first
	// successor already; their owner is treated as lost. nil means none.
	FailedOver []bool
	// Load is the load of each shard in any unit; nil means that all loads are equal.
	Load []float64
	// SinceMove is the time since each shard's last move; nil means that every shard may move.
	SinceMove  []time.Duration
	Successors int // wanted successors per shard
	Policy     Policy
	// Budget is the maximum number of rebalancing moves in the plan. Moves away
	// from lost and draining servers do not count.
	Budget int
}

// Cause says why the placement of a shard changes.
type Cause int

// The causes.
const (
	FirstOwner        Cause = iota // the shard had no owner
	ServerLost                     // its owner is lost
	Drained                        // its owner is draining
	Balance                        // its owner's load exceeded the allowed imbalance
	SuccessorReplaced              // the owner stays; a successor was replaced
)

var causeText = [...]string{
	FirstOwner:        "first owner",
	ServerLost:        "server lost",
	Drained:           "server draining",
	Balance:           "imbalance",
	SuccessorReplaced: "successors replaced",
}

// String returns the cause as it is shown to people.
func (c Cause) String() string { return causeText[c] }

// Move is the new placement of one shard.
type Move struct {
	Shard int
	Placement
	Cause Cause
}

// Plan is a batch of moves that is recorded as one change, ordered by shard number.
type Plan struct {
	Moves []Move
	Cause string // summary for people: what moves and why
}

const (
	minShare            = 0.05
	defaultMaxImbalance = 1.15
	// goalFactor is the fraction of the allowed imbalance to which measured loads
	// are reduced once they exceed it. The gap is hysteresis: without it, noise in
	// the measurement would start new moves.
	goalFactor = 0.7
)

// Initial returns the first placement of shards that have none yet.
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
