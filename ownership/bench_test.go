package ownership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFold applies moves of one shard each to a State, without a Machine.
func BenchmarkFold(b *testing.B) {
	const records = 1_000_000
	const shards = 1024
	for b.Loop() {
		s := NewState()
		for i := range records {
			a := &Assignments{Service: "s", Shards: shards, Servers: []string{"a", "b", "c"}}
			if i > 0 {
				a.Base = Offset(i)
			}
			a.Moves = []Assignment{{Shard: Shard(i % shards), Owner: i % 3, Successors: []int{(i + 1) % 3}}}
			data, err := Record{ID: "x", Author: "h/1", Cause: "load", Kind: AssignRecord, Assign: a}.Encode()
			if err != nil {
				b.Fatal(err)
			}
			s, _, err = s.Apply(Offset(i+1), data)
			if err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*records), "ns/record")
}

// BenchmarkView builds a view after a lease renewal and after a change of a service.
func BenchmarkView(b *testing.B) {
	c := newCell(b, 5, true)
	m := c.hosts[0].m
	table := m.state.Tables["s"]
	wide := &Table{Version: table.Version, Shards: make([]Placement, 1024)}
	for i := range wide.Shards {
		wide.Shards[i] = table.Shards[i%cellShards]
	}
	m.state.Tables["s"] = wide
	b.Run("lease", func(b *testing.B) {
		for b.Loop() {
			m.lease++
			m.View()
		}
	})
	b.Run("1024 routes", func(b *testing.B) {
		for b.Loop() {
			m.dirty["s"] = true
			m.View()
		}
	})
}

// BenchmarkQuietCell runs a cluster without changes in virtual time. The CPU time
// includes that of the simulated network.
func BenchmarkQuietCell(b *testing.B) {
	for _, hosts := range []int{3, 5, 9} {
		b.Run(fmt.Sprintf("%d members", hosts), func(b *testing.B) {
			c := newCell(b, hosts, true)
			clear(c.sent)
			seconds := 0
			for b.Loop() {
				c.run(time.Second)
				seconds++
			}
			sent := 0
			for _, n := range c.sent {
				sent += n
			}
			each := float64(seconds * hosts)
			b.ReportMetric(float64(sent)/each, "messages/s/host")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/each, "µs/s/host")
		})
	}
}
