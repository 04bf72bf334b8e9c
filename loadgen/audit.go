package loadgen

import (
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/standin/keyserver"
)

// Violations counts how often a promise broke. Each must be 0.
type Violations struct {
	Duplicated    int `json:"doubled"`         // orders and uploads that ran more than once
	Lost          int `json:"lost"`            // told as answered and never run
	WronglyNotRun int `json:"wrongly_not_run"` // told as not run, and run
	Mismatched    int `json:"mixed_answers"`   // answers that belong to another request
	StaleOwner    int `json:"two_owners"`      // runs that began under a token older than one already in use elsewhere
}

// Any reports whether any promise broke.
func (p Violations) Any() bool { return p != Violations{} }

// Sample is one request as its caller saw it at last.
type Sample struct {
	Request
	Outcome    fault.Outcome
	Attempts   int  // 1 plus the resubmissions
	Mismatched bool // the answer belongs to another request
}

// Ledger is every run of one service.
type Ledger struct {
	Keyed bool
	Runs  []keyserver.Run
}

// Audit compares what callers were told with what ran.
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

// highestToken is the run with the highest token of a key. Keys are compared and not
// shards, since pinned keys have tokens of their own.
type highestToken struct {
	token  uint64
	server string
}

// staleRuns counts the runs that began under an older token than one under
// which another server had already begun a run for the same key.
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

// KeyMoves returns when a key was first run by another server than before.
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
