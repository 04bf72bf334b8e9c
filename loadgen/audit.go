package loadgen

import (
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/standin/keyserver"
)

// Violations counts the violations of each guarantee. Each must be 0.
type Violations struct {
	Duplicated    int `json:"doubled"`         // orders and uploads that were executed more than once
	Lost          int `json:"lost"`            // orders and uploads that were answered but never executed
	WronglyNotRun int `json:"wrongly_not_run"` // orders and uploads that were reported as not run but were executed
	Mismatched    int `json:"mixed_answers"`   // answers that belong to another request
	StaleOwner    int `json:"two_owners"`      // requests executed under a fencing token older than one already used by another server
}

// Any reports whether any guarantee was violated.
func (p Violations) Any() bool { return p != Violations{} }

// Sample is one request with the final outcome that its caller saw.
type Sample struct {
	Request
	Outcome    fault.Outcome
	Attempts   int  // 1 plus the number of resubmissions
	Mismatched bool // the answer belongs to another request
}

// Ledger holds every request that the backend servers of one service executed.
type Ledger struct {
	Keyed bool
	Runs  []keyserver.Run
}

// Audit compares the outcomes that callers saw with the requests that the backend
// servers executed.
func Audit(samples []Sample, ledgers []Ledger) Violations {
	var p Violations
	runs := map[string]int{}
	for _, l := range ledgers {
		for _, r := range l.Runs {
			runs[r.Path]++
		}
		if l.Keyed {
			p.StaleOwner += staleRuns(l.Runs)
		}
	}
	for _, s := range samples {
		if s.Mismatched {
			p.Mismatched++
		}
		if s.Kind != profile.Lookup {
			p.check(s, runs[s.Path])
		}
	}
	return p
}

func (p *Violations) check(s Sample, runs int) {
	switch {
	case runs > 1:
		p.Duplicated++
	case runs == 0 && s.Outcome == fault.Answered:
		p.Lost++
	case runs > 0 && s.Outcome == fault.NotRun:
		p.WronglyNotRun++
	}
}

// highestToken is the highest fencing token seen for a key, and the server that
// used it. Tokens are compared by key and not by shard, because pinned keys have
// their own tokens.
type highestToken struct {
	token  uint64
	server string
}

// staleRuns counts the requests that were executed under an older token than one
// under which another server had already started a request for the same key.
func staleRuns(runs []keyserver.Run) int {
	seen := map[string]highestToken{}
	stale := 0
	for _, r := range sortedByStart(runs) {
		last := seen[r.Key]
		if r.Token < last.token && r.Server != last.server {
			stale++
		}
		if r.Token >= last.token {
			seen[r.Key] = highestToken{token: r.Token, server: r.Server}
		}
	}
	return stale
}

// KeyMoves returns the times at which a key moved: the start of each request that
// was executed by a different server than the previous request for the key.
func KeyMoves(runs []keyserver.Run) []time.Time {
	owners := map[string]string{}
	var moves []time.Time
	for _, r := range sortedByStart(runs) {
		owner, known := owners[r.Key]
		if known && owner != r.Server {
			moves = append(moves, r.Start)
		}
		owners[r.Key] = r.Server
	}
	return moves
}

func sortedByStart(runs []keyserver.Run) []keyserver.Run {
	ordered := slices.Clone(runs)
	slices.SortStableFunc(ordered, func(a, b keyserver.Run) int { return a.Start.Compare(b.Start) })
	return ordered
}
