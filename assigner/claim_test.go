package assigner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// A claim that lost to another host's claim is not appended again, even if this host
// hears of the winner before it reads the winner's record. The winner's map would
// then look like the one that the lost claim was built on.
func TestLostClaimIsNotAppendedAgain(t *testing.T) {
	for _, epoch := range []uint64{1, 2} {
		c := newTestLeader(4, equalSlots)
		var claim Append
		for claim.Record.Epoch == 0 {
			c.now += 10 * time.Millisecond
			c.m.Tick(c.now)
			for _, a := range c.m.Ready() {
				switch a := a.(type) {
				case Load:
					c.m.StepLoaded(c.now, Loaded{Start: c.now})
				case Append:
					claim = a
				}
			}
		}
		winner := Record{Epoch: epoch, Assigner: Host{Name: "other"}, Fences: keyrange.Fence(epoch << fenceBits)}
		c.m.StepAppended(c.now, Appended{Result: StoreConflict, Start: c.now})
		require.Equal(t, []Action{Load{}}, c.m.Ready())
		c.m.LearnAssigner(c.now, winner.Epoch, winner.Assigner)
		c.m.StepLoaded(c.now, Loaded{Start: c.now, Record: &winner, End: 1})
		for _, a := range c.m.Ready() {
			_, appends := a.(Append)
			require.False(t, appends, "the claim of epoch %d after the record of epoch %d", claim.Record.Epoch, epoch)
		}
		require.Equal(t, "other", c.m.Assigner().Name)
	}
}
