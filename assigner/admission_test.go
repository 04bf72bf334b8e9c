package assigner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// hotKey is the key of the replays.
var hotKey = HotKey{Service: "stock", Key: 7}

// hotOwner replays a key with more requests than its owner can serve: hosts send what
// they admit, the owner runs slots requests, queues a few and sheds the rest, and what
// the hosts saw reaches the admission late.
type hotOwner struct {
	slots, queue int
	service      time.Duration
	perSecond    float64 // requests for the key at all hosts together
	estimate     float64 // requests per second that the owner is thought to serve
	limited      bool    // the admission decides; otherwise everything is admitted
}

// replayed is the outcome of a replay, after settling.
type replayed struct {
	served, shed, refused int
	share                 float64 // the last share
}

const (
	replayStep   = 5 * time.Millisecond
	replayTime   = 5 * time.Second
	replaySettle = time.Second
	// reportDelay is the time from an outcome to its report, and from a decision to the
	// hosts.
	reportDelay = 200 * time.Millisecond
)

// report is what hosts saw in one step.
type report struct{ offered, answered, rejected int }

func (h hotOwner) replay(rng *rand.Rand) replayed {
	a := newAdmission()
	steps := int(replayTime / replayStep)
	delay := int(reportDelay / replayStep)
	reports := make([]report, 2*steps)
	shares := make([]float64, steps+delay+1)
	for i := range shares {
		shares[i] = 1
	}
	var out replayed
	var ends []time.Duration // when the running and queued requests end, in order
	for i := range steps {
		now := time.Duration(i) * replayStep
		for len(ends) > 0 && ends[0] <= now {
			ends = ends[1:]
		}
		settled := now >= replaySettle
		for range poisson(rng, h.perSecond*replayStep.Seconds()) {
			reports[i+delay].offered++
			switch {
			case h.limited && rng.Float64() >= shares[i]:
				out.refused += count(settled)
			case len(ends) >= h.slots+h.queue:
				reports[i+delay].rejected++
				out.shed += count(settled)
			default:
				begin := now
				if n := len(ends); n >= h.slots {
					begin = ends[n-h.slots]
				}
				ends = append(ends, begin+h.service)
				if at := int((begin+h.service)/replayStep) + delay; at < len(reports) {
					reports[at].answered++
				}
				out.served += count(settled)
			}
		}
		if n := reports[i].offered; n > 0 {
			a.offered(hotKey, "owner", n)
		}
		f := a.server("owner")
		f.answered += float64(reports[i].answered)
		f.rejected += float64(reports[i].rejected)
		a.decide(Time(now), func(string) float64 { return h.estimate })
		share := 1.0
		for _, l := range a.limits() {
			share = l.Share
		}
		out.share = share
		for j := i + delay; j < len(shares); j++ {
			shares[j] = share
		}
	}
	return out
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// poisson draws the number of arrivals in a step with a small mean.
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for t := rng.ExpFloat64(); t < mean; t += rng.ExpFloat64() {
		n++
	}
	return n
}

// A key with up to 40 times the requests that its owner can serve: with the admission
// the owner keeps its slots busy and sheds little, where it would shed most of the
// requests without. The estimate of its room may be wrong either way.
func TestAdmissionKeepsAHotOwnerBusy(t *testing.T) {
	const settled = replayTime - replaySettle
	for _, load := range []float64{1.5, 4, 10, 40} {
		for _, estimate := range []float64{0.5, 1, 2} {
			h := hotOwner{slots: 4, queue: 4, service: 200 * time.Millisecond}
			room := float64(h.slots) / h.service.Seconds()
			h.perSecond, h.estimate = load*room, estimate*room
			plain := h.replay(rand.New(rand.NewPCG(1, 2)))
			h.limited = true
			limited := h.replay(rand.New(rand.NewPCG(1, 2)))
			t.Logf("load %.1f, estimate %.1f: %+v without, %+v with", load, estimate, plain, limited)
			most := room * settled.Seconds()
			require.Greater(t, float64(limited.served), 0.75*most)
			if load < overloadRatio*estimate {
				continue // as far as is known, the owner has room
			}
			require.Less(t, limited.shed, plain.shed)
			if load >= 4 {
				require.Less(t, limited.shed, plain.shed/2)
			}
		}
	}
}

// A key whose owner rejects nothing is not limited, whatever the estimate of its room; nor
// is one whose owner rejects requests although few are sent to it.
func TestAdmissionNeedsRejectionsAndLoad(t *testing.T) {
	a := newAdmission()
	a.offered(HotKey{"stock", 1}, "busy", 1000)
	a.offered(HotKey{"stock", 2}, "failing", 5)
	a.server("failing").rejected = 5
	a.decide(admissionInterval, func(string) float64 { return 20 })
	require.Empty(t, a.limits())
}

// With few hosts for each slot, the hosts' own limiters learn a server's room, and let
// callers wait for it.
func TestFewHostsAreNotLimited(t *testing.T) {
	for _, c := range []struct {
		hosts   int
		limited bool
	}{{8, false}, {66, true}, {295, true}} {
		m := New(Config{Self: Host{Name: "h"}}, 0)
		m.SetServers(0, Servers{Snapshot: &directory.Snapshot{Servers: []directory.Server{
			{Holder: keyrange.Holder{ID: "owner"}, Service: "stock", Address: "a", Slots: 4, State: directory.Ready},
		}}})
		m.SetHostCount(c.hosts)
		m.admission.offered(hotKey, "owner", 1000)
		m.admission.server("owner").rejected = 900
		m.decideAdmission(admissionInterval)
		require.Equal(t, c.limited, len(m.admitted.Limits) == 1, "%d hosts", c.hosts)
	}
}

// Once the load has passed, every request is admitted again.
func TestAdmissionEndsWithTheLoad(t *testing.T) {
	a := newAdmission()
	a.offered(hotKey, "owner", 400)
	a.server("owner").rejected = 300
	room := func(string) float64 { return 20 }
	now := admissionInterval
	a.decide(now, room)
	require.Len(t, a.limits(), 1)
	for range 25 {
		now += admissionInterval
		a.decide(now, room)
	}
	require.Empty(t, a.limits())
}

// While an owner is full, few rejections do not raise the admitted rate.
func TestAdmissionDoesNotRiseWhileTheOwnerIsFull(t *testing.T) {
	for _, full := range []bool{false, true} {
		a := newAdmission()
		a.server("owner").rejected = 300
		room := func(string) float64 { return 20 }
		offer := func() { a.offered(hotKey, "owner", 400) }
		offer()
		now := admissionInterval
		a.decide(now, room)
		first := a.keys[hotKey].rate
		require.Positive(t, first)
		for range 10 {
			offer()
			now += admissionInterval
			a.setFull(func(string) bool { return full })
			a.decide(now, room)
		}
		require.Equal(t, !full, a.keys[hotKey].rate > first)
	}
}

// Hosts are told of a limit when it begins, ends or changes much.
func TestSmallChangesAreNotTold(t *testing.T) {
	limit := func(share float64) []AdmissionLimit { return []AdmissionLimit{{HotKey: hotKey, Share: share}} }
	require.True(t, sameLimits(nil, nil))
	require.False(t, sameLimits(nil, limit(0.5)))
	require.True(t, sameLimits(limit(0.5), limit(0.52)))
	require.False(t, sameLimits(limit(0.5), limit(0.3)))
	require.False(t, sameLimits(limit(0.5), []AdmissionLimit{{HotKey: HotKey{"stock", 9}, Share: 0.5}}))
}
