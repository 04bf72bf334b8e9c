package routing

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// baseRetryDelay bounds the delay of the first retry. The bound doubles with each
	// retry, maxDoublings times at most, up to maxRetryDelay.
	baseRetryDelay = 5 * time.Millisecond
	maxRetryDelay  = 250 * time.Millisecond
	maxDoublings   = 10
	// budgetReserve is the most retries that a budget may save up.
	budgetReserve = 10.0
	// highPriorityReserve is the part of the reserve for high-priority requests.
	highPriorityReserve = 5.0
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
	ceiling := min(baseRetryDelay<<min(n, maxDoublings), maxRetryDelay)
	d := rand.N(ceiling)
	var e *fault.Error
	if errors.As(err, &e) {
		d += e.RetryAfter
	}
	return d
}
