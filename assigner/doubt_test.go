package assigner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
)

// leaderInDoubt returns a leader whose last append got no answer and which could not
// read the store until its lease had ended, and the record of that append.
func leaderInDoubt(t *testing.T) (*testLeader, Record) {
	c := newTestLeader(4, equalSlots)
	c.run(time.Second)
	servers := &directory.Snapshot{Servers: c.m.servers.Servers[1:]}
	c.m.SetServers(c.now, Servers{Snapshot: servers, Sharded: []string{"stock"}})
	var appended Record
	for end := c.now + 3*time.Second; c.now < end; c.now += 10 * time.Millisecond {
		c.m.Tick(c.now)
		for _, a := range c.m.Ready() {
			switch a := a.(type) {
			case Append:
				appended = a.Record
				c.m.StepAppended(c.now, Appended{Result: StoreInDoubt, Start: c.now})
			case Load:
				c.m.StepLoaded(c.now, Loaded{Result: StoreFailed, Start: c.now})
			case Confirm:
				c.m.StepConfirmed(c.now, Confirmed{Result: StoreFailed, Start: c.now})
			}
		}
	}
	require.NotZero(t, appended.Change)
	require.False(t, c.m.Leads(c.now))
	return c, appended
}

// runWithStore runs the machine for a second with a store that responds, and that
// ends with rec at end.
func (c *testLeader) runWithStore(rec Record, end uint64) {
	for until := c.now + time.Second; c.now < until; c.now += 10 * time.Millisecond {
		c.m.Tick(c.now)
		for _, a := range c.m.Ready() {
			switch a := a.(type) {
			case Append:
				if a.At == end {
					rec, end = a.Record, end+1
					c.m.StepAppended(c.now, Appended{Start: c.now, End: end})
				} else {
					c.m.StepAppended(c.now, Appended{Result: StoreConflict, Start: c.now})
				}
			case Load:
				shown := rec
				c.m.StepLoaded(c.now, Loaded{Start: c.now, End: end, Record: &shown})
			case Confirm:
				c.m.StepConfirmed(c.now, Confirmed{Start: c.now, End: end})
			}
		}
	}
}

// An append without an answer is resolved even after the lease has ended: the host
// then follows the assigner that claimed meanwhile, or continues to lead.
func TestAppendInDoubtIsSettledAfterTheLease(t *testing.T) {
	t.Run("another host has claimed", func(t *testing.T) {
		c, rec := leaderInDoubt(t)
		rec.Epoch, rec.Change, rec.Assigner = rec.Epoch+1, 0, Host{Name: "other"}
		c.runWithStore(rec, c.m.End()+1)
		require.False(t, c.m.Leads(c.now))
		require.Equal(t, "other", c.m.Assigner().Name)
	})
	t.Run("the append was done", func(t *testing.T) {
		c, rec := leaderInDoubt(t)
		c.runWithStore(rec, c.m.End()+1)
		require.True(t, c.m.Leads(c.now))
	})
	t.Run("the append was not done", func(t *testing.T) {
		c, _ := leaderInDoubt(t)
		c.runWithStore(c.m.known, c.m.End())
		require.True(t, c.m.Leads(c.now))
	})
}
