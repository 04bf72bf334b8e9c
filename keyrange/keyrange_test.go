package keyrange

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestFind(t *testing.T) {
	table := Table{Ranges: []Range{{From: 0, To: 9, Fence: 1}, {From: 20, To: MaxKey, Fence: 2}}}
	require.Equal(t, Fence(1), table.Find(9).Fence)
	require.Nil(t, table.Find(10))
	require.Equal(t, Fence(2), table.Find(MaxKey).Fence)
}

func TestVersionsAreOrdered(t *testing.T) {
	require.True(t, Version{1, 9}.Less(Version{2, 0}))
	require.True(t, Version{2, 0}.Less(Version{2, 1}))
	require.False(t, Version{2, 1}.Less(Version{2, 1}))
}

// A host that applies changes ends up with the same ranges as the assigner, however
// ranges were split and reassigned in between.
func TestChangesLeadToTheSameMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lead := &Map{Version: Version{1, 1}, Tables: []Table{{Service: "s", Ranges: []Range{{From: 0, To: MaxKey, LastChange: 1}}}}}
		follow := lead.Clone()
		for change := uint64(2); change < 30; change++ {
			lead = lead.Clone()
			lead.Version.Change = change
			ranges := lead.Tables[0].Ranges
			i := rapid.IntRange(0, len(ranges)-1).Draw(rt, "range")
			r := &ranges[i]
			if r.Width() > 1 && rapid.Bool().Draw(rt, "cut") {
				at := r.From + Key(rapid.IntRange(0, r.Width()-2).Draw(rt, "at"))
				tail := *r
				tail.From, tail.LastChange = at+1, change
				tail.Fence = Fence(change)
				r.To, r.LastChange = at, change
				ranges = append(ranges[:i+1], append([]Range{tail}, ranges[i+1:]...)...)
				lead.Tables[0].Ranges = ranges
			} else {
				r.Fence, r.LastChange = Fence(change), change
			}
			if rapid.Bool().Draw(rt, "tell") {
				follow = follow.Apply(lead.Since(follow.Version))
				require.Equal(rt, lead.Version, follow.Version)
				require.Equal(rt, lead.Tables, follow.Tables)
			}
		}
	})
}

func TestSinceAnotherEpochIsTheWhole(t *testing.T) {
	m := &Map{Version: Version{3, 4}}
	require.Nil(t, m.Since(Version{2, 9}).Base)
	require.NotNil(t, m.Since(Version{3, 2}).Base)
}

func TestKeepGranted(t *testing.T) {
	table := func(owner string, f Fence, granted bool) *Map {
		r := Range{To: MaxKey, Owner: Holder{ID: owner, StartedMS: 1}, Fence: f, Granted: granted}
		return &Map{Tables: []Table{{Service: "s", Ranges: []Range{r}}}}
	}
	same, other := table("a", 2, false), table("b", 2, false)
	same.KeepGranted(table("a", 1, true))
	other.KeepGranted(table("a", 1, true))
	require.True(t, same.Tables[0].Ranges[0].Granted)
	require.False(t, other.Tables[0].Ranges[0].Granted)
}
