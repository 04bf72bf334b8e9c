package planner

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

const benchShards = 100_000

var benchSizes = []int{9, 100, 1000, 6800}

func benchInput(servers int) Input {
	in := Input{Servers: testServers(servers, 12), Successors: 2, Policy: testPolicy()}
	if servers < 12 {
		in.Servers = testServers(servers, 3)
	}
	in.Placements = Initial(in.Servers, benchShards, 2)
	return in
}

func BenchmarkFirst(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			servers := testServers(n, 12)
			for b.Loop() {
				Initial(servers, benchShards, 2)
			}
		})
	}
}

func BenchmarkLoss(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			in := benchInput(n)
			in.Servers[0].State = Lost
			for b.Loop() {
				Make(in)
			}
		})
	}
}

func BenchmarkAtRest(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			in := benchInput(n)
			for b.Loop() {
				Make(in)
			}
		})
	}
}

// ringOwners places shards by plain consistent hashing, with 100 points per server
// and no regard to earlier placements.
func ringOwners(servers []Server, shards int) []Placement {
	points := map[uint64]int{}
	h := newRing(servers, points)
	out := make([]Placement, shards)
	for i := range out {
		out[i].Owner = points[h.after(xxhash.Sum64String(fmt.Sprintf("shard %d", i)))]
	}
	return out
}

// BenchmarkChurn compares the planner with two simpler strategies: the number of
// moves when a server is lost and when it returns, and the imbalance after each.
func BenchmarkChurn(b *testing.B) {
	for _, n := range []int{6, 20, 23} {
		b.Run(fmt.Sprintf("servers=%d/minimal", n), func(b *testing.B) {
			reportChurn(b, n, func(in Input) []Placement { return applyPlan(in, Make(in)) })
		})
		b.Run(fmt.Sprintf("servers=%d/ring", n), func(b *testing.B) {
			reportChurn(b, n, func(in Input) []Placement { return ringOwners(in.Servers, len(in.Placements)) })
		})
		b.Run(fmt.Sprintf("servers=%d/move-back", n), func(b *testing.B) {
			first := Initial(testServers(n, 3), 1024, 2)
			reportChurn(b, n, func(in Input) []Placement {
				if in.Servers[0].State == Up {
					return first
				}
				return applyPlan(in, Make(in))
			})
		})
	}
}

func reportChurn(b *testing.B, n int, next func(Input) []Placement) {
	var lossMoves, returnMoves int
	var steady, afterLoss, afterReturn float64
	for b.Loop() {
		in := Input{Servers: testServers(n, 3), Successors: 2, Policy: testPolicy(), Budget: 1 << 20}
		in.Placements = Initial(in.Servers, 1024, 2)
		before := next(in)
		steady = imbalance(in.Servers, before)
		in.Placements = before
		in.Servers[0].State = Lost
		lost := next(in)
		lossMoves, afterLoss = churn(before, lost), imbalance(in.Servers, lost)
		in.Placements = lost
		in.Servers[0].State = Up
		back := next(in)
		returnMoves, afterReturn = churn(lost, back), imbalance(in.Servers, back)
	}
	b.ReportMetric(float64(lossMoves), "loss-moves")
	b.ReportMetric(float64(returnMoves), "return-moves")
	b.ReportMetric(steady, "steady-max/mean")
	b.ReportMetric(afterLoss, "loss-max/mean")
	b.ReportMetric(afterReturn, "return-max/mean")
}

func churn(before, after []Placement) int {
	n := 0
	for i := range before {
		if before[i].Owner != after[i].Owner {
			n++
		}
	}
	return n
}

// ring holds the sorted hash points of the servers that accept shards.
type ring []uint64

func newRing(servers []Server, points map[uint64]int) ring {
	var r ring
	for i, s := range servers {
		for v := 0; s.acceptsShards() && v < 100; v++ {
			p := xxhash.Sum64String(fmt.Sprintf("%s/%d", s.ID, v))
			points[p] = i
			r = append(r, p)
		}
	}
	slices.Sort(r)
	return r
}

// after returns the first point at or after p, wrapping around.
func (r ring) after(p uint64) uint64 {
	i, _ := slices.BinarySearch(r, p)
	return r[i%len(r)]
}
