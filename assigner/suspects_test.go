package assigner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// runWithRefusals runs the machine for d while hosts report that they found no
// process at some servers, as they do after each probe and with each request. It
// returns the probe requests.
func (c *testLeader) runWithRefusals(d time.Duration, hosts []string, suspects func() []keyrange.Holder) [][]Suspect {
	var out [][]Suspect
	for end := c.now + d; c.now < end; c.now += time.Millisecond {
		for _, h := range hosts {
			c.m.AddReport(c.now, h, Report{Refused: suspects()})
		}
		c.m.Tick(c.now)
		for _, a := range c.m.Ready() {
			switch a := a.(type) {
			case ProbeSuspects:
				out = append(out, a.Suspects)
			case Confirm:
				c.m.StepConfirmed(c.now, Confirmed{Start: c.now, End: c.end})
			}
		}
	}
	return out
}

func holders(ids ...string) []keyrange.Holder {
	out := make([]keyrange.Holder, 0, len(ids))
	for _, id := range ids {
		out = append(out, keyrange.Holder{ID: id, StartedMS: 1})
	}
	return out
}

// A server refuses connections, and every request for its keys causes a report of
// that. Probes are requested at a bounded rate, whatever the rate of the reports.
func TestSuspectsAreAskedAboutAtABoundedRate(t *testing.T) {
	c := newTestLeader(4, equalSlots)
	c.run(time.Second)
	c.m.SetHostCount(3)
	c.m.AddReport(c.now, "entry-3", Report{}) // has reported, and can reach the server
	asked := c.runWithRefusals(500*time.Millisecond, []string{"entry-2"}, func() []keyrange.Holder { return holders("s001") })
	require.NotEmpty(t, asked)
	require.LessOrEqual(t, len(asked), 6, "every 100 ms at most")
}

// A new suspect is probed at once.
func TestNewSuspectIsAskedAboutAtOnce(t *testing.T) {
	c := newTestLeader(4, equalSlots)
	c.run(time.Second)
	c.m.SetHostCount(3)
	c.m.AddReport(c.now, "entry-3", Report{})
	first := c.runWithRefusals(5*time.Millisecond, []string{"entry-2"}, func() []keyrange.Holder { return holders("s001") })
	require.Len(t, first, 1)
	second := c.runWithRefusals(5*time.Millisecond, []string{"entry-2"}, func() []keyrange.Holder { return holders("s001", "s002") })
	require.Len(t, second, 1)
	require.Equal(t, []Suspect{
		{Holder: keyrange.Holder{ID: "s001", StartedMS: 1}, Address: "s001"},
		{Holder: keyrange.Holder{ID: "s002", StartedMS: 1}, Address: "s002"},
	}, second[0], "in the order of their ids")
}
