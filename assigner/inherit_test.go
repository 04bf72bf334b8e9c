package assigner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// Guards against two owners: keys were moved away from a server, back to it, and away again
// while it held them under its first grant. The grant in between was not sent, since a full
// server resets connections, and its first hold was forgotten.
func TestHoldOfAServerThatGotItsKeysBackIsKept(t *testing.T) {
	const end = Time(10 * time.Second)
	first, second, third := keyrange.Holder{ID: "a"}, keyrange.Holder{ID: "b"}, keyrange.Holder{ID: "c"}
	recorded := func(fence keyrange.Fence, owner keyrange.Holder, prior ...keyrange.Holder) keyrange.Range {
		return keyrange.Range{To: 9, Owner: owner, Fence: fence, Prior: prior}
	}
	next := func(s *rangeState, r keyrange.Range) *rangeState {
		return inherit(0, []*rangeState{s}, "stock", r)
	}
	held := newRangeState("stock", recorded(1, first), 0, 0)
	held.heldUntil = end

	away := next(held, recorded(2, second, first))
	require.Equal(t, end, away.freeAt)
	require.Zero(t, away.heldUntil, "the second server has no grant")

	back := next(away, recorded(3, first, second))
	require.Equal(t, end, back.heldUntil, "the first server still holds the keys")
	back.removePrior(second) // it was released

	again := next(back, recorded(4, third, first))
	require.Equal(t, end, again.freeAt)
	require.Zero(t, again.heldUntil)
}

// Replays plans that follow each other while overloaded servers still finish the requests
// for keys that were moved away from them: each server is asked once to release a range.
// Every repeat would occupy a connection until these requests have ended.
func TestReleaseIsNotRepeatedWithEachRecord(t *testing.T) {
	const finishing = 2 * time.Second
	c := newTestLeader(20, equalSlots)
	c.run(time.Second)

	asked := map[string]int{}
	c.answers = func(a Release) bool {
		asked[fmt.Sprint(a.Holder.ID, a.Range.From, a.Range.To, a.Range.Fence)]++
		return false
	}
	records := c.end
	c.load(finishing, 140, hotNeighbours(1))
	require.Greater(t, c.end, records+3, "records were appended meanwhile")
	require.NotEmpty(t, asked)
	for call, n := range asked {
		require.Equal(t, 1, n, call)
	}
}
