package ownership

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOnlyGrantsCountWhereTheyEnd checks the outstanding queries that each kind of
// change adds.
func TestOnlyGrantsCountWhereTheyEnd(t *testing.T) {
	tests := []struct {
		name       string
		checks     bool
		change     func(p *proposers)
		grantsOnly bool
		least      int // minimum number of queries
	}{
		{"loss, servers check grants", true, func(p *proposers) { p.suspect(true, "x2", 0, 1) }, true, 3 * 20},
		{"loss, servers check nothing", false, func(p *proposers) { p.suspect(true, "x2", 0, 1) }, false, 3 * 20},
		{"drain of a server that is well", true, func(p *proposers) {
			drain := Record{ID: "d", Kind: DrainRecord, Drain: &Drain{Service: "s", Server: "x2"}}
			p.stream = append(p.stream, encode(p.t, drain))
		}, false, 3 * 20},
		{"drain, servers check nothing", false, func(p *proposers) {
			drain := Record{ID: "d", Kind: DrainRecord, Drain: &Drain{Service: "s", Server: "x2"}}
			p.stream = append(p.stream, encode(p.t, drain))
		}, false, 3 * 20},
		{"pin away from a server that one host judges lost", true, func(p *proposers) {
			p.suspect(true, "x2", 0)
			p.stream = append(p.stream, encode(p.t, Record{ID: "p", Kind: AssignRecord, Assign: &Assignments{
				Service: "s", Base: p.table(0, "s").Version, Shards: 120, Servers: []string{"x3"},
				Pins: []Pin{{Key: keyOwnedBy(p.table(0, "s"), "x2")}},
			}}))
		}, false, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			spec := testSpec(6)
			spec.ChecksGrants = test.checks
			p := newProposers(t, 3, spec)
			p.run(3 * time.Second)
			before := p.table(0, "s").Shards
			moved := 0
			p.onQuery = func(q OutstandingQuery) {
				if before[q.Shard].Servers[0] == "x2" {
					moved++
					require.Equal(t, test.grantsOnly, q.GrantsOnly)
				}
			}
			test.change(p)
			p.run(3 * time.Second)
			require.GreaterOrEqual(t, moved, test.least)
		})
	}
}

func keyOwnedBy(t *Table, server string) string {
	for i := 0; ; i++ {
		key := strconv.Itoa(i)
		if owner(t.placement(key)) == server {
			return key
		}
	}
}
