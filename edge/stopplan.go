package edge

import "time"

const (
	// stopMargin is the time that a planned stop leaves before the platform kills the
	// process.
	stopMargin = 400 * time.Millisecond
	// answerTime is the time, before the margin, in which the requests that are given up
	// are answered.
	answerTime = 100 * time.Millisecond
	// balancerDelay is how long the load balancer may still send new connections to a
	// host after its readiness check fails.
	balancerDelay = 2300 * time.Millisecond
	// lateArrivals is how long after balancerDelay requests on connections that callers
	// kept open are still accepted.
	lateArrivals = 500 * time.Millisecond
	// quietTime is how long no accepted request must be active before the stop ends.
	quietTime = 100 * time.Millisecond
)

// stopPlan decides what a stopping host does with callers' requests. Times are counted
// from the stop signal.
//
// The load that it answers: the hosts of a failure domain stop one soon after another.
// Fewer than half of them are ready then, so the load balancer sends to stopping hosts,
// too, and requests arrive all through the stop. An accepted request must end within the
// grace period, also at a slow backend server, and one that is refused can be sent to
// another host at once. So a host accepts none after refuseAfter, whether or not it had a
// moment without requests before; such a moment only ends the stop sooner.
type stopPlan struct {
	settleAfter time.Duration // until then the host goes on as before
	refuseAfter time.Duration // from then on new requests are refused
	end         time.Duration // requests that are active then are given up
}

// planStop returns the plan of a stop that must end within grace.
func planStop(grace time.Duration) stopPlan {
	settle := min(balancerDelay, grace/2)
	return stopPlan{
		settleAfter: settle,
		refuseAfter: settle + lateArrivals,
		end:         max(grace-stopMargin-answerTime, settle),
	}
}

// stopState is what a decision is based on.
type stopState struct {
	Spent time.Duration // since the stop signal
	Quiet time.Duration // since an accepted request was active
}

// stopAction is what the host does from now on.
type stopAction struct {
	CloseIdle bool // close connections without a request
	Refuse    bool // refuse new requests
	End       bool // accept no new connections; the stop ends
}

// next returns the action for a state. An action that was taken is never taken back, as
// long as Spent grows.
func (p stopPlan) next(s stopState) stopAction {
	quiet := s.Spent >= p.settleAfter+quietTime && s.Quiet >= quietTime
	refuse := quiet || s.Spent >= min(p.refuseAfter, p.end)
	return stopAction{
		CloseIdle: s.Spent >= p.settleAfter,
		Refuse:    refuse,
		End:       quiet || s.Spent >= p.end,
	}
}
