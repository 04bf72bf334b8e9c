package detect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silentAfterAnswers returns a detector whose server 0 answered often and then
// fell silent at the returned time.
func silentAfterAnswers() (*Detector, Key, time.Duration) {
	k := Key{Service: "s", Server: "x0"}
	other := Key{Service: "s", Server: "x1"}
	d := NewDetector()
	now := time.Second
	targets := []Target{{Key: k, Interval: time.Second, FailoverAfter: limit}, {Key: other, Interval: time.Second, FailoverAfter: limit}}
	d.SetTargets(now, targets)
	for range 200 {
		now += step
		d.Observe(now, Observation{Service: k.Service, Server: k.Server, Latency: rtt})
	}
	return d, k, now
}

// runSilent runs the detector from one time to another while only server 1 answers.
func runSilent(d *Detector, from, to time.Duration) []Change {
	var out []Change
	for now := from; now <= to; now += step {
		d.Observe(now, Observation{Service: "s", Server: "x1", Latency: rtt})
		d.Judge(now)
		d.NextProbes(now, 1)
		out = append(out, d.Changes()...)
	}
	return out
}

func TestAlertedServerIsProbedAtOnceAndJudgedWithTheOtherObserver(t *testing.T) {
	d, k, now := silentAfterAnswers()
	alert := now + 2*step + limit/doubtDivisor
	lost := alert + limit - limit/doubtDivisor
	runSilent(d, now+step, alert-step)
	d.Alert(alert, k)
	changes := runSilent(d, alert, lost-step)
	require.False(t, d.Judgement(k).IsLost(), "not before failover_after: %v", changes)
	require.NotEmpty(t, changes, "the server should be doubtful")
	runSilent(d, lost, lost+3*step)
	require.True(t, d.Judgement(k).IsLost())
}

func TestServerThatFellSilentAfterAnswersStaysLost(t *testing.T) {
	d, k, now := silentAfterAnswers()
	d.Alert(now+step, k)
	changes := runSilent(d, now+step, now+5*time.Second)
	losses := 0
	for _, c := range changes {
		if c.To.IsLost() {
			losses++
		}
	}
	require.True(t, d.Judgement(k).IsLost())
	require.Equal(t, 1, losses, "%v", changes)
}

func TestAlertOnAServerThatAnswersChangesNothing(t *testing.T) {
	d, k, now := silentAfterAnswers()
	d.Alert(now+step, k)
	for at := now + step; at <= now+2*time.Second; at += step {
		d.Observe(at, Observation{Service: k.Service, Server: k.Server, Latency: rtt})
		d.Observe(at, Observation{Service: k.Service, Server: "x1", Latency: rtt})
		d.Judge(at)
		d.NextProbes(at, 1)
	}
	require.Empty(t, d.Changes())
}

func TestServerThatNeverAnsweredIsGivenMoreTime(t *testing.T) {
	k := Key{Service: "s", Server: "x0"}
	d := NewDetector()
	now := time.Second
	d.SetTargets(now, []Target{
		{Key: k, Interval: time.Second, FailoverAfter: limit},
		{Key: Key{Service: "s", Server: "x1"}, Interval: time.Second, FailoverAfter: limit},
	})
	d.Alert(now, k)
	runSilent(d, now+step, now+2*limit-step)
	require.False(t, d.Judgement(k).IsLost())
	runSilent(d, now+2*limit, now+3*limit)
	require.True(t, d.Judgement(k).IsLost())
}
