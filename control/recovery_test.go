package control

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/internal/fake"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// replace crashes a host's process and starts a new incarnation in its place.
func (c *cluster) replace(i int) *Loop {
	old := c.loops[i]
	c.crash(i)
	c.loops = append(c.loops[:i:i], c.loops[i+1:]...)
	number := int(old.cfg.Machine.Self.Host[len("host-")] - '0')
	domain := int(old.cfg.Machine.Self.Domain[0] - '0')
	c.restarts++
	return c.start(number, domain, 1+c.restarts)
}

func TestStartsAfterRecordsExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 3, 6, 4*time.Millisecond, 1)
		c.waitUntilServing(10*time.Second, c.loops...)
		time.Sleep(testRetention)
		stream := tlog.OwnershipStream("main")
		for _, name := range []string{stream, tlog.ProfileStream} {
			records := c.log.Records(name)
			c.log.Expire(name, records[len(records)-1].Offset)
		}
		want := c.loops[1].Snapshot().Catalog
		fresh := c.replace(0)
		c.waitUntilServing(10*time.Second, c.loops...)
		require.Equal(t, want.Services, fresh.Snapshot().Catalog.Services)
		require.Equal(t, want.Profiles, fresh.Snapshot().Catalog.Profiles)
		c.stop()
	})
}

func TestCheckpointsOfAnIdleStreamAreRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 3, 3, 4*time.Millisecond, 1)
		c.waitUntilServing(10*time.Second, c.loops...)
		stream := tlog.OwnershipStream("main")
		before := len(c.log.Records(stream))
		const periods = 3
		time.Sleep(periods * testRetention)
		grown := len(c.log.Records(stream)) - before
		require.GreaterOrEqual(t, grown, periods, "at least one for each retention")
		require.LessOrEqual(t, grown, 2*periods*checkpointDivisor, "no host writes again what another wrote")
		c.stop()
	})
}

func TestHostCutOffFromTheLogCatchesUpFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 3, 6, 4*time.Millisecond, 1)
		c.waitUntilServing(10*time.Second, c.loops...)
		cut := c.loops[0]
		c.severed.sever(cut)
		r := ownership.Record{
			ID:   "operator#1",
			Kind: ownership.DrainRecord, Drain: &ownership.Drain{Service: testService, Server: "server-0"},
		}
		verdict, err := c.loops[1].Submit(t.Context(), r)
		require.NoError(t, err)
		require.NoError(t, verdict.Void)
		time.Sleep(5 * time.Second)
		state, err := cut.State(t.Context())
		require.NoError(t, err)
		require.GreaterOrEqual(t, state.Applied, verdict.Offset)
		require.True(t, serves(cut))
		c.stop()
	})
}

func TestRemovedIncarnationJoinsAfresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 3, 6, 4*time.Millisecond, 1)
		c.waitUntilServing(10*time.Second, c.loops...)
		old := c.loops[0].cfg.Machine.Self.ID
		r := ownership.Record{ID: "operator#1", Kind: ownership.RemoveRecord, Remove: []ownership.MemberID{old}}
		verdict, err := c.loops[1].Submit(t.Context(), r)
		require.NoError(t, err)
		require.NoError(t, verdict.Void)
		time.Sleep(2 * time.Second)
		c.waitUntilServing(10*time.Second, c.loops...)
		require.NotEqual(t, old, c.loops[0].Snapshot().View.Self)
		c.stop()
	})
}

func TestRollingReplacementInALogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 3, 3, 4*time.Millisecond, 1)
		c.waitUntilServing(10*time.Second, c.loops...)
		c.log.SetOutage(true)
		time.Sleep(time.Second)
		for range len(c.loops) {
			require.NoError(t, c.loops[0].Leave(t.Context()))
			require.False(t, c.loops[0].Snapshot().View.MayRoute(c.loops[0].Now()))
			c.replace(0)
			c.waitUntilServing(10*time.Second, c.loops...)
		}
		c.log.SetOutage(false)
		time.Sleep(30 * time.Second)
		c.waitUntilServing(time.Second, c.loops...)
		c.stop()
	})
}

func TestUnplannedRestartInALogOutageDoesNotRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 3, 3, 4*time.Millisecond, 1)
		c.waitUntilServing(10*time.Second, c.loops...)
		c.log.SetOutage(true)
		fresh := c.replace(0)
		for range 1000 {
			time.Sleep(testInterval)
			require.False(t, fresh.Snapshot().View.MayRoute(fresh.Now()))
		}
		require.NotEmpty(t, fresh.Snapshot().View.Members, "it must know whom to forward to")
		require.NotEmpty(t, fresh.Snapshot().Catalog.Services)
		c.log.SetOutage(false)
		c.waitUntilServing(20*time.Second, c.loops...)
		c.stop()
	})
}

// fakeHolder is an ownership.Holder whose end of outstanding work is settable.
type fakeHolder struct{ until atomic.Int64 }

func (o *fakeHolder) OutstandingUntil(string, ownership.Shard, ownership.Token) ownership.Instant {
	return ownership.Instant(o.until.Load())
}

func TestLeavingHostWaitsForWhatIsOutstanding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 3, 6, 4*time.Millisecond, 1)
		c.waitUntilServing(10*time.Second, c.loops...)
		leaver := c.loops[0]
		work := &fakeHolder{}
		work.until.Store(int64(leaver.Now() + 500*time.Millisecond))
		_, err := call(t.Context(), leaver, func(ownership.Instant) bool {
			leaver.AddHolder(work)
			return true
		})
		require.NoError(t, err)
		start := time.Now()
		require.NoError(t, leaver.Leave(t.Context()))
		require.GreaterOrEqual(t, time.Since(start), 500*time.Millisecond)
		require.False(t, leaver.Snapshot().View.MayRoute(leaver.Now()))
		records := c.log.Records(tlog.OwnershipStream("main"))
		last, err := ownership.DecodeRecord(records[len(records)-1].Data)
		require.NoError(t, err)
		require.Equal(t, ownership.LeaveRecord, last.Kind)
		require.True(t, last.Idle)
		c.waitUntilServing(time.Second, c.loops[1:]...)
		c.stop()
	})
}

// countRecords returns how many records of a kind the ownership stream holds.
func (c *cluster) countRecords(kind ownership.RecordKind) int {
	n := 0
	for _, r := range c.log.Records(tlog.OwnershipStream("main")) {
		record, err := ownership.DecodeRecord(r.Data)
		require.NoError(c.t, err)
		if record.Kind == kind {
			n++
		}
	}
	return n
}

func TestCrashedHostsAreRemovedInOneRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 9, 3, 6, 4*time.Millisecond, 1)
		c.waitUntilServing(10*time.Second, c.loops...)
		crashed := []int{0, 3, 6} // a whole failure domain
		for _, i := range crashed {
			c.crash(i)
		}
		time.Sleep(30 * time.Second)
		left := []*Loop{c.loops[1], c.loops[2], c.loops[4], c.loops[5], c.loops[7], c.loops[8]}
		c.waitUntilServing(time.Second, left...)
		for _, l := range left {
			require.Len(t, l.Snapshot().View.Members, len(left))
		}
		require.Equal(t, 1, c.countRecords(ownership.RemoveRecord))
		c.stop()
	})
}

// Crashed hosts are removed from the membership in time, so that sequential
// crashes of three out of five hosts do not cost the majority.
func TestSequentialCrashesKeepAMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 3, 6, 4*time.Millisecond, 1)
		c.waitUntilServing(10*time.Second, c.loops...)
		for i := range 3 {
			c.crash(i)
			time.Sleep(20 * time.Second)
			c.waitUntilServing(time.Second, c.loops[i+1:]...)
		}
		c.stop()
	})
}

func TestOneBrokenLinkRemovesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 3, 6, 4*time.Millisecond, 1)
		c.waitUntilServing(10*time.Second, c.loops...)
		a, b := c.loops[0].cfg.Machine.Self.PeerAddr, c.loops[1].cfg.Machine.Self.PeerAddr
		c.net.SetBlocked(a, b, true)
		c.net.SetBlocked(b, a, true)
		time.Sleep(time.Minute)
		c.waitUntilServing(time.Second, c.loops...)
		require.Len(t, c.loops[2].Snapshot().View.Members, len(c.loops))
		c.stop()
	})
}

// Requests in flight delay a move of keys unless the query says that only grants
// count. When that is so is decided by package ownership and tested there by
// TestOnlyGrantsCountWhereTheyEnd.
func TestRequestsInFlightCountUnlessGrantsLapse(t *testing.T) {
	for _, lapses := range []bool{false, true} {
		l := New(Config{Cell: "main"}, fake.NewLog(0), nil, zap.NewNop())
		grants, requests := &fakeHolder{}, &fakeHolder{}
		grants.until.Store(int64(time.Second))
		requests.until.Store(int64(time.Minute))
		l.AddHolder(grants)
		l.AddRequestHolder(requests)
		want := time.Minute
		if lapses {
			want = time.Second
		}
		require.Equal(t, want, l.heldUntil(ownership.OutstandingQuery{Service: testService, GrantsOnly: lapses}))
		requests.until.Store(0)
		require.Equal(t, time.Second, l.heldUntil(ownership.OutstandingQuery{Service: testService, GrantsOnly: lapses}))
	}
}
