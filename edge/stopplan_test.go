package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// acceptTime is how long after the stop signal a host may accept requests that it might not
// complete within the grace period.
const acceptTime = 3 * time.Second

// A stopping host accepts requests until the load balancer sends none any more, and
// refuses them soon after that.
func TestStoppingHostRefusesLateRequests(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		p := planStop(grace)
		require.LessOrEqual(t, p.refuseAfter, acceptTime)
		require.GreaterOrEqual(t, p.refuseAfter, min(balancerDelay, grace/2))
	}
}

func TestStopPlan(t *testing.T) {
	p := planStop(6 * time.Second)
	cases := []struct {
		name  string
		state stopState
		want  stopAction
	}{
		{"as before at first", stopState{Spent: time.Second}, stopAction{}},
		{"quiet, but the load balancer may still send", stopState{Spent: 2 * time.Second, Quiet: 2 * time.Second}, stopAction{}},
		{"idle connections are closed", stopState{Spent: balancerDelay, Quiet: 50 * time.Millisecond}, stopAction{CloseIdle: true}},
		{"quiet: the stop ends", stopState{Spent: 2500 * time.Millisecond, Quiet: quietTime}, stopAction{true, true, true}},
		{"busy: new requests are refused", stopState{Spent: 2800 * time.Millisecond}, stopAction{true, true, false}},
		{"busy to the end", stopState{Spent: 5500 * time.Millisecond}, stopAction{true, true, true}},
	}
	for _, c := range cases {
		require.Equal(t, c.want, p.next(c.state), c.name)
	}
}

// Whatever the load, an action is never taken back, requests are refused before the end,
// and the end leaves the margin.
func TestStopPlanNeverGoesBack(t *testing.T) {
	for _, grace := range []time.Duration{200 * time.Millisecond, time.Second, 6 * time.Second, time.Minute} {
		p := planStop(grace)
		for _, period := range []time.Duration{0, 30 * time.Millisecond, 70 * time.Millisecond, 700 * time.Millisecond} {
			var last stopAction
			for spent := time.Duration(0); spent < 2*grace && !last.End; spent += stopPollInterval {
				quiet := time.Duration(0)
				if period > 0 {
					quiet = spent % period
				}
				a := p.next(stopState{Spent: spent, Quiet: quiet})
				require.False(t, a.End && !a.Refuse)
				require.False(t, last.CloseIdle && !a.CloseIdle)
				require.False(t, last.Refuse && !a.Refuse)
				last = a
			}
			require.True(t, last.End)
		}
	}
}
