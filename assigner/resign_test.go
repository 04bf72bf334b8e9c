package assigner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
)

// An assigner that is to stop while one of its appends is outstanding gives up its epoch
// once that has ended, with the appended changes.
func TestResignationDuringAnAppendIsRecorded(t *testing.T) {
	results := map[string]StoreResult{"the append is done": StoreOK, "the append fails": StoreFailed}
	for name, result := range results {
		t.Run(name, func(t *testing.T) {
			c := newTestLeader(4, equalSlots)
			c.run(time.Second)
			servers := &directory.Snapshot{Servers: c.m.servers.Servers[1:]}
			c.m.SetServers(c.now, Servers{Snapshot: servers, Sharded: []string{"stock"}})
			var before, after []Record
			for end := c.now + 3*time.Second; c.now < end; c.now += 10 * time.Millisecond {
				c.m.Tick(c.now)
				for _, a := range c.m.Ready() {
					switch a := a.(type) {
					case Append:
						if c.m.resigned {
							after = append(after, a.Record)
							c.end++
							c.m.StepAppended(c.now, Appended{Start: c.now, End: c.end})
							continue
						}
						before = append(before, a.Record)
						c.m.Resign(c.now)
						if result == StoreOK {
							c.end++
						}
						c.m.StepAppended(c.now, Appended{Result: result, Start: c.now, End: c.end})
					case Confirm:
						c.m.StepConfirmed(c.now, Confirmed{Start: c.now, End: c.end})
					}
				}
			}
			require.Len(t, before, 1)
			require.Len(t, after, 1)
			require.Equal(t, Host{}, after[0].Assigner)
			require.False(t, c.m.Leads(c.now))
			if result == StoreOK {
				require.Equal(t, before[0].Change+1, after[0].Change)
				require.Equal(t, len(before[0].Tables[0].Ranges), len(after[0].Tables[0].Ranges))
			}
		})
	}
}
