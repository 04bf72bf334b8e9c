package assigner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// lossAfterTakeover is a new assigner whose first grants are answered, and which then
// loses a server that answers no release.
type lossAfterTakeover struct {
	*testLeader
	lost       keyrange.Holder
	attributed bool // the responses to grants are certainly to these grants
	calls      []Grant
}

// movedAfter returns how long after the takeover keys of the lost server are granted to
// another one.
func (l *lossAfterTakeover) movedAfter() time.Duration {
	start := l.now
	keys := l.keysOfLost()
	l.m.startEpoch(start, start)
	for ; l.now < start+time.Minute; l.now += 10 * time.Millisecond {
		if l.now == start+time.Second {
			l.remove()
		}
		l.m.Tick(l.now)
		for _, a := range l.m.Ready() {
			if g, ok := a.(Grant); ok && g.Range.Owner != l.lost && keys.Contains(g.Range.From) {
				return l.now - start
			}
			l.answer(a)
		}
	}
	return time.Minute
}

// keysOfLost returns the range that the lost server owns.
func (l *lossAfterTakeover) keysOfLost() keyrange.Range {
	for _, r := range l.m.ranges {
		if r.Owner == l.lost {
			return r.Range
		}
	}
	return keyrange.Range{}
}

func (l *lossAfterTakeover) remove() {
	s := &directory.Snapshot{Servers: l.m.servers.Servers[1:]}
	l.m.SetServers(l.now, Servers{Snapshot: s, Sharded: []string{"stock"}})
}

func (l *lossAfterTakeover) answer(a Action) {
	switch a := a.(type) {
	case Load:
		l.m.StepLoaded(l.now, Loaded{Start: l.now, End: l.end})
	case Confirm:
		l.m.StepConfirmed(l.now, Confirmed{Start: l.now, End: l.end})
	case Append:
		l.end++
		l.m.StepAppended(l.now, Appended{Start: l.now, End: l.end})
	case Grant:
		l.calls = append(l.calls, a)
		l.m.StepGranted(l.now, Granted{Service: a.Service, Range: a.Range, Attributed: l.attributed})
	case Release:
		l.m.StepReleased(l.now, Released{Service: a.Service, Range: a.Range, Holder: a.Holder, Result: CallFailed})
	}
}

func newLossAfterTakeover(attributed bool) *lossAfterTakeover {
	c := newTestLeader(4, equalSlots)
	c.run(time.Second)
	return &lossAfterTakeover{testLeader: c, lost: c.m.servers.Servers[0].Holder, attributed: attributed}
}

// Guards against two owners after a takeover: a server fails the grant of the new assigner
// and repeats its response to an earlier one. Its keys move only when no grant of the
// earlier assigner can last any longer.
func TestRepeatedResponseEndsNoWaitForAnEarlierAssigner(t *testing.T) {
	l := newLossAfterTakeover(false)
	longest := l.m.cfg.Lease + l.m.holdEnd(l.m.cfg.HoldMax) + MaxGrantDelay
	require.GreaterOrEqual(t, l.movedAfter(), longest)
	for _, g := range l.calls {
		if g.Range.Owner == l.lost {
			require.True(t, g.Decisive, "a later grant may end the wait")
		}
	}
}

// A response that is certainly to the grant ends that wait: the server's hold under the new
// token is the only one. Renewals need no such response.
func TestAttributedResponseEndsTheWaitForAnEarlierAssigner(t *testing.T) {
	l := newLossAfterTakeover(true)
	require.Less(t, l.movedAfter(), time.Second+l.m.holdEnd(l.m.cfg.Hold)+MaxGrantDelay)
	decisive := map[keyrange.Holder]int{}
	for _, g := range l.calls {
		if g.Decisive && g.Range.Owner == l.lost {
			decisive[g.Range.Owner]++
		}
	}
	require.Equal(t, map[keyrange.Holder]int{l.lost: 1}, decisive)
}
