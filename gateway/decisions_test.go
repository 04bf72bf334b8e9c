package gateway

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
	"github.com/lacewingsaddle/lacewingsaddle/routetable"
)

func TestBudgetCountsASlidingWindow(t *testing.T) {
	b := newBudget(BudgetRule{Ratio: 0.2, Extra: 8, Window: 10 * time.Second})
	for range 100 {
		b.countRequest(0)
	}
	allowed := 0
	for b.takeRetry(time.Second, 2) {
		allowed++
	}
	require.Equal(t, int(budgetUsableShare*(0.2*100+8/2)), allowed)
	require.False(t, b.takeRetry(9*time.Second, 2))
	require.True(t, b.takeRetry(12*time.Second, 2), "the retries have left the window")
	allowed = 1
	for b.takeRetry(12*time.Second, 2) {
		allowed++
	}
	require.Equal(t, int(budgetUsableShare*8/2), allowed, "the requests have left the window too")
}

func TestSplitFollowsWeights(t *testing.T) {
	r := &routetable.Route{Name: "r", Split: []routetable.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	s := newSplitter()
	count := map[string]int{}
	for range 100 {
		count[s.pick(r)]++
	}
	require.Equal(t, map[string]int{"a": 90, "b": 10}, count)
	r2 := &routetable.Route{Name: "r", Split: []routetable.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	clear(count)
	for range 10 {
		count[s.pick(r2)]++
	}
	require.Equal(t, map[string]int{"a": 5, "b": 5}, count)
}

// alwaysEligible is the check of a request that no judgement keeps from its server.
func alwaysEligible() error { return nil }

func TestLimiterAdmitsByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(1)
		ctx := context.Background()
		require.NoError(t, l.acquire(ctx, 1, 0, alwaysEligible))
		var order []int
		for _, priority := range []int{2, 0, 1} {
			go func() {
				if l.acquire(ctx, priority, time.Second, alwaysEligible) == nil {
					order = append(order, priority)
					l.release(time.Millisecond, time.Second, nil)
				}
			}()
			synctest.Wait()
		}
		l.release(time.Millisecond, time.Second, nil)
		synctest.Wait()
		require.Equal(t, []int{0, 1, 2}, order)
	})
}

func TestLimiterWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(1)
		require.NoError(t, l.acquire(context.Background(), 0, 0, alwaysEligible))
		start := time.Now()
		err := l.acquire(context.Background(), 0, 70*time.Millisecond, alwaysEligible)
		require.Equal(t, fault.QueueTimeout, fault.KindOf(err))
		require.Equal(t, 70*time.Millisecond, time.Since(start))
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		require.Equal(t, fault.NotSent, fault.KindOf(l.acquire(ctx, 0, time.Second, alwaysEligible)))
		require.Empty(t, l.waiters)
	})
}

// Late responses and shedding lower the limit; responses in time raise it again.
func TestLimiterAdaptsToLatency(t *testing.T) {
	l := newLimiter(8)
	late := func(n int) {
		for range n {
			l.inFlight++
			l.release(time.Second, 600*time.Millisecond, nil)
		}
	}
	late(20)
	require.Less(t, l.limit, 2.5)
	late(100)
	require.Equal(t, minLimit, l.limit)
	for range 40 {
		l.inFlight = int(l.limit)
		l.release(100*time.Millisecond, 600*time.Millisecond, nil)
	}
	require.Greater(t, l.limit, 6.0)
	l.inFlight = 1
	l.release(0, time.Second, fault.New(fault.NotAccepted, "shed"))
	require.Less(t, l.limit, 6.0)
}

func testServer(id, domain string, average time.Duration) *server {
	return &server{
		Server:         directory.Server{Holder: keyrange.Holder{ID: id}, Domain: domain, Slots: 3},
		averageLatency: average,
	}
}

// Load goes to servers that answer soon. A failing server still gets a little of
// it, so that its recovery is noticed.
func TestChoiceAvoidsSlowAndFailingServers(t *testing.T) {
	slow := testServer("slow", "a", 2*time.Second)
	bad := testServer("bad", "a", 250*time.Millisecond)
	bad.failures = 0.9
	list := []*server{slow, bad}
	for range 6 {
		list = append(list, testServer("good", "a", 250*time.Millisecond))
	}
	r := rand.New(rand.NewPCG(1, 2))
	count := map[string]int{}
	for range 2000 {
		count[choose(list, time.Now(), origin{domain: "a"}, r.IntN).Holder.ID]++
	}
	require.Less(t, count["slow"], 40)
	require.Less(t, count["bad"], 40)
	require.Positive(t, count["slow"]+count["bad"])
	require.Nil(t, choose(nil, time.Now(), origin{domain: "a"}, r.IntN))
}

func TestChoicePrefersTheOwnDomain(t *testing.T) {
	list := []*server{testServer("here", "a", 250*time.Millisecond), testServer("there", "b", 250*time.Millisecond)}
	r := rand.New(rand.NewPCG(1, 2))
	here := 0
	for range 1000 {
		if choose(list, time.Now(), origin{domain: "a"}, r.IntN).Holder.ID == "here" {
			here++
		}
	}
	require.Greater(t, here, 800)
}

// Budgets reports what the requests allow less the retries that were taken.
func TestBudgetsLeft(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		g := b.gateway
		require.Empty(t, g.Budgets())
		for range 10 {
			g.countRequest("stock")
		}
		require.True(t, g.budgetAllowsRetry("stock"))
		allowed := budgetUsableShare * (0.2*10 + 10) // Ratio and Extra of the test gateway's budget
		require.Equal(t, []BudgetLeft{{Service: "stock", Left: int64(allowed) - 1}}, g.Budgets())
		time.Sleep(11 * time.Second) // longer than the window
		require.Equal(t, int64(7), g.Budgets()[0].Left, "budgetUsableShare of Extra")
	})
}
