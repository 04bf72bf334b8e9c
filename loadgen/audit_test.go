package loadgen

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/standin/keyserver"
)

// TestAudit checks that the audit detects a violation of each guarantee, and that
// permitted histories are not reported as violations.
func TestAudit(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	run := func(path, key, server string, token uint64, ms int) keyserver.Run {
		return keyserver.Run{Path: path, Key: key, Server: server, Token: token, Start: at(ms)}
	}
	order := func(path string, outcome fault.Outcome) Sample {
		return Sample{Request: Request{Kind: profile.Order, Path: path}, Outcome: outcome}
	}
	lookup := Request{Kind: profile.Lookup, Path: "/a"}
	cases := []struct {
		name    string
		samples []Sample
		runs    []keyserver.Run
		want    Violations
	}{
		{"all well", []Sample{order("/a", fault.Answered), order("/b", fault.NotRun), order("/c", fault.Unknown)}, []keyserver.Run{run("/a", "k", "s1", 1, 1)}, Violations{}},
		{"unknown that ran", []Sample{order("/a", fault.Unknown)}, []keyserver.Run{run("/a", "k", "s1", 1, 1)}, Violations{}},
		{"doubled", []Sample{order("/a", fault.Answered)}, []keyserver.Run{run("/a", "k", "s1", 1, 1), run("/a", "k", "s1", 1, 2)}, Violations{Duplicated: 1}},
		{"lost", []Sample{order("/a", fault.Answered)}, nil, Violations{Lost: 1}},
		{"wrongly not run", []Sample{order("/a", fault.NotRun)}, []keyserver.Run{run("/a", "k", "s1", 1, 1)}, Violations{WronglyNotRun: 1}},
		{"mixed", []Sample{{Request: lookup, Outcome: fault.Answered, Mismatched: true}}, nil, Violations{Mismatched: 1}},
		{"a lookup may run twice", []Sample{{Request: lookup, Outcome: fault.Answered}}, []keyserver.Run{run("/a", "k", "s1", 1, 1), run("/a", "k", "s1", 1, 2)}, Violations{}},
		{"moved in order", nil, []keyserver.Run{run("/a", "k", "s1", 1, 1), run("/b", "k", "s2", 2, 2)}, Violations{}},
		{"former owner", nil, []keyserver.Run{run("/a", "k", "s2", 2, 1), run("/b", "k", "s1", 1, 2)}, Violations{StaleOwner: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, Audit(c.samples, []Ledger{{Keyed: true, Runs: c.runs}}))
		})
	}
}
