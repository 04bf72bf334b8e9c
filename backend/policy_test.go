package backend

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// Parameters of the load model: hosts share one server that runs a few requests
// concurrently and either sheds requests beyond a short queue or queues all.
const (
	modelHosts     = 9
	modelSlots     = 3
	modelQueue     = 64
	serviceTime    = 10 * time.Millisecond // mean of an exponential distribution
	oneWay         = 2 * time.Millisecond
	modelDeadline  = 300 * time.Millisecond
	modelDuration  = 10 * time.Second
	orderShare     = 0.3
	retryShare     = 0.2
	divideInterval = 150 * time.Millisecond
	maxPause       = 20 * time.Millisecond
)

// policy is how a host limits its requests to the server.
type policy string

const (
	policyNone   policy = "no limit"
	policySlots  policy = "the server's slots at each host"
	policyStatic policy = "static split"
	policyAIMD   policy = "additive increase, multiplicative decrease"
	policyDemand policy = "shares by demand"
	// policyPaced is policyAIMD with a random pause after each shed request.
	policyPaced policy = "additive increase, multiplicative decrease, pause"
)

var policies = []policy{policyNone, policySlots, policyStatic, policyAIMD, policyDemand, policyPaced}

func (p policy) limiter() *Limiter {
	switch p {
	case policyNone:
		return NewLimiter(math.MaxInt32, modelQueue)
	case policyStatic, policyDemand:
		return NewLimiter(modelSlots/modelHosts, modelQueue)
	case policyAIMD, policyPaced:
		l := NewLimiter(modelSlots, modelQueue)
		l.SetMembers(modelHosts)
		return l
	}
	return NewLimiter(modelSlots, modelQueue)
}

// modelServer runs requests in virtual time.
type modelServer struct {
	mu       sync.Mutex
	slots    chan struct{}
	queue    int
	maxQueue int // longest queue before it sheds
	rnd      *rand.Rand
	ran      int
}

// run serves one request and reports false when it was shed.
func (s *modelServer) run() bool {
	s.mu.Lock()
	if s.queue >= s.maxQueue {
		s.mu.Unlock()
		return false
	}
	s.queue++
	took := time.Duration(s.rnd.ExpFloat64() * float64(serviceTime))
	s.mu.Unlock()
	s.slots <- struct{}{}
	s.mu.Lock()
	s.queue--
	s.ran++
	s.mu.Unlock()
	time.Sleep(took)
	<-s.slots
	return true
}

// results are the figures of one run of the model.
type results struct {
	mu        sync.Mutex
	sent      int // requests of callers
	attempts  int // sent to the server
	answered  [2]int
	failed    [2]int // by class: lookups, orders
	latencies [2][]time.Duration
}

func class(order bool) int {
	if order {
		return 1
	}
	return 0
}

// model is one run of the load model under a policy.
type model struct {
	policy  policy
	server  *modelServer
	hosts   []*Limiter
	demand  []int
	budgets []float64
	results results
	rnd     *rand.Rand // of the arrivals
	mu      sync.Mutex
	jitter  *rand.Rand // of the delays; guarded by mu
}

func newModel(p policy, sheds bool, seed uint64) *model {
	maxQueue := math.MaxInt32
	if sheds {
		maxQueue = modelSlots
	}
	m := &model{
		policy: p,
		server: &modelServer{slots: make(chan struct{}, modelSlots), maxQueue: maxQueue, rnd: rand.New(rand.NewPCG(seed, 1))},
		demand: make([]int, modelHosts), budgets: make([]float64, modelHosts),
		rnd:    rand.New(rand.NewPCG(seed, 2)),
		jitter: rand.New(rand.NewPCG(seed, 3)),
	}
	for range modelHosts {
		m.hosts = append(m.hosts, p.limiter())
	}
	return m
}

// host picks the host of a request: evenly, or host 0 for four in five.
func (m *model) host(skewed bool) int {
	if skewed && m.rnd.Float64() < 0.8 {
		return 0
	}
	return m.rnd.IntN(modelHosts)
}

// load sends requests at load times the server's capacity.
func (m *model) load(load float64, skewed bool) {
	var wait sync.WaitGroup
	rate := load * modelSlots / serviceTime.Seconds()
	end := time.Now().Add(modelDuration)
	nextDivision := time.Now().Add(divideInterval)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(m.rnd.ExpFloat64() / rate * float64(time.Second)))
		host, order := m.host(skewed), m.rnd.Float64() < orderShare
		m.mu.Lock()
		m.demand[host]++
		m.mu.Unlock()
		wait.Go(func() { m.request(host, order) })
		if m.policy == policyDemand && time.Now().After(nextDivision) {
			m.divideSlots()
			nextDivision = time.Now().Add(divideInterval)
		}
	}
	wait.Wait()
}

// divideSlots divides the slots among the hosts in proportion to their demand.
func (m *model) divideSlots() {
	total := 0
	for _, d := range m.demand {
		total += d
	}
	for i, d := range m.demand {
		l := m.hosts[i]
		l.mu.Lock()
		l.limit = math.Max(1, math.Round(modelSlots*float64(d)/float64(max(1, total))))
		l.grantSlots(time.Now())
		l.mu.Unlock()
		m.demand[i] = 0
	}
}

func (m *model) request(host int, order bool) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), modelDeadline)
	defer cancel()
	ok := m.send(ctx, host, order)
	m.results.mu.Lock()
	defer m.results.mu.Unlock()
	m.results.sent++
	if !ok || time.Since(start) > modelDeadline {
		m.results.failed[class(order)]++
		return
	}
	m.results.answered[class(order)]++
	m.results.latencies[class(order)] = append(m.results.latencies[class(order)], time.Since(start))
}

// send makes attempts within the retry budget, as routing does.
func (m *model) send(ctx context.Context, host int, order bool) bool {
	m.mu.Lock()
	m.budgets[host] = min(10, m.budgets[host]+retryShare)
	m.mu.Unlock()
	for n := 1; ; n++ {
		if m.hosts[host].Acquire(ctx, order) != nil {
			return false
		}
		m.results.mu.Lock()
		m.results.attempts++
		m.results.mu.Unlock()
		time.Sleep(oneWay)
		ran := m.server.run()
		time.Sleep(oneWay)
		m.hosts[host].Release()
		m.adjustLimit(host, ran)
		if ran {
			return true
		}
		if n == 3 || !m.withdraw(host, order) {
			return false
		}
		m.mu.Lock()
		delay := time.Duration(m.jitter.Int64N(int64(5*time.Millisecond) << n))
		m.mu.Unlock()
		time.Sleep(delay)
	}
}

// adjustLimit applies the policy's reaction to an answer or a shed request.
func (m *model) adjustLimit(host int, ran bool) {
	l := m.hosts[host]
	switch {
	case m.policy != policyAIMD && m.policy != policyPaced:
	case ran:
		l.RecordAnswer()
	case m.policy == policyPaced:
		m.mu.Lock()
		pause := time.Duration(1 + m.jitter.Int64N(int64(maxPause)))
		m.mu.Unlock()
		l.RecordShed(pause)
	default:
		l.RecordShed(0)
	}
}

func (m *model) withdraw(host int, order bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budgets[host] < 1 || !order && m.budgets[host] < 6 {
		return false
	}
	m.budgets[host]--
	return true
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))].Round(100 * time.Microsecond)
}

// row formats the run's results: percentages answered, latencies of lookups and
// orders, and attempts per request.
func (f *results) row() string {
	percentAnswered := func(c int) float64 {
		return 100 * float64(f.answered[c]) / float64(max(1, f.answered[c]+f.failed[c]))
	}
	return fmt.Sprintf("%5.1f %% | %5.1f %% | %7s | %7s | %7s | %7s | %.2f", percentAnswered(0), percentAnswered(1),
		quantile(f.latencies[0], 0.5), quantile(f.latencies[0], 0.99),
		quantile(f.latencies[1], 0.5), quantile(f.latencies[1], 0.99),
		float64(f.attempts)/float64(max(1, f.sent)))
}

// TestSlotPolicies logs a comparison of the policies. For the one in use it checks
// that orders are shed last and that retries stay within their budget.
func TestSlotPolicies(t *testing.T) {
	var table strings.Builder
	for _, sheds := range []bool{true, false} {
		for _, load := range []float64{0.5, 0.9, 2} {
			for _, skewed := range []bool{false, true} {
				for _, p := range policies {
					var m *model
					synctest.Test(t, func(*testing.T) {
						m = newModel(p, sheds, 7)
						m.load(load, skewed)
					})
					fmt.Fprintf(&table, "| sheds=%v | %.1fx | skewed=%v | %s | %s |\n", sheds, load, skewed, p, m.results.row())
					if p == policyInUse && load == 2 {
						m.checkOverload(t)
					}
				}
			}
		}
	}
	t.Log("\n" + table.String())
}

const policyInUse = policyAIMD

func (m *model) checkOverload(t *testing.T) {
	lookups := float64(m.results.answered[0]) / float64(m.results.answered[0]+m.results.failed[0])
	orders := float64(m.results.answered[1]) / float64(m.results.answered[1]+m.results.failed[1])
	require.Greater(t, orders, lookups, "orders are shed last")
	require.LessOrEqual(t, float64(m.results.attempts), (1+retryShare)*float64(m.results.sent)+10*modelHosts)
}

func TestLimiterQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(1, 2)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.NoError(t, l.Acquire(ctx, false))
		lookup, order := make(chan error, 1), make(chan error, 2)
		go func() { lookup <- l.Acquire(ctx, false) }()
		synctest.Wait()
		require.Equal(t, fault.Overloaded, fault.KindOf(l.Acquire(ctx, false)), "lookups fill half of the queue")
		go func() { order <- l.Acquire(ctx, true) }()
		synctest.Wait()
		go func() { order <- l.Acquire(ctx, true) }()
		synctest.Wait()
		require.Equal(t, fault.Overloaded, fault.KindOf(<-lookup), "an order displaces the lookup")
		l.Release()
		require.NoError(t, <-order)
		require.Equal(t, fault.QueueTimeout, fault.KindOf(<-order))
		used, queued := l.Outstanding()
		require.Equal(t, [2]int{1, 0}, [2]int{used, queued})
		l.RecordShed(5 * time.Second)
		l.Release()
		start := time.Now()
		require.NoError(t, l.Acquire(context.Background(), true))
		require.Equal(t, 5*time.Second, time.Since(start).Truncate(time.Second), "no request is admitted before Retry-After has passed")
	})
}
