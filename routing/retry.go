package routing

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

const (
	baseRetryDelay      = 5 * time.Millisecond
	maxRetryDelay       = 250 * time.Millisecond
	budgetReserve       = 10.0 // most retries that the budget may save up
	highPriorityReserve = 5.0  // part of the reserve for high-priority requests
)

// retryBudget limits retries to a share of the requests. It starts with a small
// reserve, so that a few retries are possible when requests are rare. It is safe
// for concurrent use.
type retryBudget struct {
	mu          sync.Mutex
	initialized bool
	balance     float64
}

// deposit adds the share of a retry that one request earns.
func (b *retryBudget) deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.initialized {
		b.initialized, b.balance = true, budgetReserve
	}
	b.balance = min(budgetReserve, b.balance+share)
}

// withdraw takes one retry and reports whether the budget had one. High-priority
// requests may use up the budget, others leave highPriorityReserve to them.
func (b *retryBudget) withdraw(highPriority bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	minBalance := 1.0
	if !highPriority {
		minBalance += highPriorityReserve
	}
	if b.balance < minBalance {
		return false
	}
	b.balance--
	return true
}

// retryDelay returns the delay before retry n, counted from 1: exponential backoff
// with full jitter, on top of the server's Retry-After if it gave one.
func retryDelay(n int, err error) time.Duration {
	ceiling := min(baseRetryDelay<<min(n, 10), maxRetryDelay)
	d := rand.N(ceiling)
	var e *fault.Error
	if errors.As(err, &e) {
		d += e.RetryAfter
	}
	return d
}

// attemptHedged makes one attempt and, for lookups whose rule allows hedging, a
// second one when the first has taken longer than the 95th percentile. The first
// answer is used; the other attempt is canceled.
func (r *Router) attemptHedged(ctx context.Context, q *request) (*reply, error) {
	if q.rule.Kind != profile.Lookup || !q.rule.Hedge {
		return r.attempt(ctx, q)
	}
	start := time.Now()
	h := &hedge{router: r, q: q, results: make(chan hedgeResult, 2)}
	h.start(ctx)
	a, err := h.wait(ctx, q.target.latency.estimate())
	if err == nil {
		q.target.latency.add(time.Since(start))
	}
	return a, err
}

// hedge runs up to two attempts of one lookup.
type hedge struct {
	router  *Router
	q       *request
	results chan hedgeResult
	cancels []context.CancelFunc
}

type hedgeResult struct {
	n     int
	reply *reply
	err   error
}

func (h *hedge) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	n := len(h.cancels)
	h.cancels = append(h.cancels, cancel)
	go func() {
		a, err := h.router.attempt(ctx, h.q)
		h.results <- hedgeResult{n: n, reply: a, err: err}
	}()
}

// wait returns the first answer, or an error when every attempt failed.
func (h *hedge) wait(ctx context.Context, after time.Duration) (*reply, error) {
	timer := time.NewTimer(after)
	defer timer.Stop()
	var failed attemptErrors
	for pending := 1; ; {
		select {
		case <-timer.C:
			if h.q.target.budget.withdraw(false) {
				h.start(ctx)
				pending++
			}
		case result := <-h.results:
			pending--
			if result.err == nil {
				h.cancelOthers(result, pending)
				return result.reply, nil
			}
			err := failed.add(result.err)
			if pending == 0 {
				h.cancelOthers(result, 0)
				return nil, err
			}
		}
	}
}

// cancelOthers cancels the other attempts and closes a late answer of theirs in
// the background. The winner's context is canceled once its reply is finished.
func (h *hedge) cancelOthers(winner hedgeResult, pending int) {
	for n, cancel := range h.cancels {
		if n != winner.n || winner.reply == nil || winner.reply.buffered() {
			cancel()
		}
	}
	if winner.reply != nil && !winner.reply.buffered() {
		done := winner.reply.done
		winner.reply.done = func() { done(); h.cancels[winner.n]() }
	}
	if pending == 0 {
		return
	}
	go func() {
		if late := <-h.results; late.reply != nil {
			late.reply.finish()
		}
	}()
}

const (
	latencyBuckets    = 64
	bucketsPerPower   = 4
	decayInterval     = 1024 // answers after which every count is halved, so that old ones lose weight
	hedgeQuantile     = 0.95
	initialHedgeDelay = 50 * time.Millisecond // until minHedgeAnswers were seen
	minHedgeAnswers   = 20
)

// latencyQuantile estimates the hedgeQuantile of latencies from a histogram with
// four buckets for each power of two. It is safe for concurrent use.
type latencyQuantile struct {
	counts [latencyBuckets]atomic.Int64
	total  atomic.Int64
}

func (q *latencyQuantile) add(d time.Duration) {
	q.counts[latencyBucket(d)].Add(1)
	if q.total.Add(1)%decayInterval != 0 {
		return
	}
	for i := range q.counts {
		half := q.counts[i].Load() / 2
		q.counts[i].Add(-half)
	}
}

// estimate returns the upper bound of the bucket that holds the quantile.
func (q *latencyQuantile) estimate() time.Duration {
	var counts [latencyBuckets]int64
	var total int64
	for i := range q.counts {
		counts[i] = q.counts[i].Load()
		total += counts[i]
	}
	if total < minHedgeAnswers {
		return initialHedgeDelay
	}
	rest := int64(float64(total) * (1 - hedgeQuantile))
	for i := latencyBuckets - 1; i > 0; i-- {
		rest -= counts[i]
		if rest < 0 {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(0)
}

// latencyBucket returns the first bucket whose upper bound is not below d, or the
// last bucket.
func latencyBucket(d time.Duration) int {
	for i := range latencyBuckets - 1 {
		if d <= bucketUpperBound(i) {
			return i
		}
	}
	return latencyBuckets - 1
}

// bucketUpperBound returns the upper bound of bucket i. The intervals between
// powers of two times 100 µs are divided into four buckets each.
func bucketUpperBound(i int) time.Duration {
	power := time.Duration(1) << (i / bucketsPerPower)
	step := time.Duration(i%bucketsPerPower + 1)
	return 100 * time.Microsecond * power * (bucketsPerPower + step) / bucketsPerPower
}
