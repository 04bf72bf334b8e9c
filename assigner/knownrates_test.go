package assigner

import (
	"cmp"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// keyRates holds the rate of each key; the rates add up to 1.
type keyRates []float64

// ratesWith returns rates of which share is spread evenly over count neighbouring keys
// and the rest over all keys.
func ratesWith(share float64, count int) keyRates {
	const first = 30000
	out := make(keyRates, keyrange.KeyCount)
	for i := range out {
		out[i] = (1 - share) / float64(keyrange.KeyCount)
	}
	for i := range count {
		out[first+i] += share / float64(count)
	}
	return out
}

// place assigns each key to a server, the busiest keys first, each to the server with the
// least load (longest processing time first). It returns the server of each key.
func (k keyRates) place(servers int) []int {
	keys := make([]int, len(k))
	for i := range keys {
		keys[i] = i
	}
	slices.SortStableFunc(keys, func(a, b int) int { return cmp.Compare(k[b], k[a]) })
	load := make([]float64, servers)
	out := make([]int, len(k))
	for _, key := range keys {
		least := 0
		for i := range load {
			if load[i] < load[least] {
				least = i
			}
		}
		load[least] += k[key]
		out[key] = least
	}
	return out
}

// The target of TestBusiestServerTarget, counted in the same requests, for a placement that
// knows the rate of every key and moves nothing later. A key has one owner, so with 752
// servers the owner of any of the 60 hot keys carries over five times the mean whatever is
// decided.
func TestTargetWithKnownRates(t *testing.T) {
	const target, draws = 1.3, 20000
	for _, test := range []struct {
		servers int
		reached bool
	}{{20, true}, {140, true}, {752, false}} {
		rates := ratesWith(0.43, 60)
		owner := rates.place(test.servers)
		hot := hotNeighbours(1)
		for range 20 * (test.servers * 7 / 10) { // as loaded there before it counts
			hot()
		}
		count := make([]int, test.servers)
		for range draws {
			count[owner[hot()]]++
		}
		most := float64(slices.Max(count)) * float64(test.servers) / draws
		bound := max(slices.Max(rates)*float64(test.servers), 1)
		t.Logf("%d servers: busiest over mean %.2f as counted, %.2f by the rates", test.servers, most, bound)
		require.Equal(t, test.reached, most < target, "%d servers", test.servers)
		require.Equal(t, test.reached, bound < target, "%d servers", test.servers)
	}
}
