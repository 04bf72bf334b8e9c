package gateway

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// minLimit is the lower bound of a limiter's limit.
	minLimit = 1.0
	// lateDecrease is the factor that is applied to the limit after a response
	// that took longer than lateShare of the latency target, shedDecrease the one
	// after the server shed a request.
	lateDecrease = 0.93
	shedDecrease = 0.7
	// lateShare is the share of the latency target that a response may take.
	lateShare = 0.85
)

// limiter is an adaptive concurrency limit on this host's requests to one server.
// It reacts to overload: an overloaded server answers late or sheds load, and each
// host lowers its limit until responses arrive in time again. Further requests
// wait here in order of priority, where they can still be sent to another server
// or refused.
type limiter struct {
	mu       sync.Mutex
	limit    float64
	ceiling  float64 // upper bound of limit: the host's share of connections
	inFlight int
	waiters  []*waiter // in the order in which they are admitted
}

type waiter struct {
	priority int
	admitted chan struct{}
}

func newLimiter(ceiling int) *limiter {
	return &limiter{limit: float64(ceiling), ceiling: float64(ceiling)}
}

// setCeiling sets the upper bound of the limit.
func (r *limiter) setCeiling(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ceiling == float64(n) {
		return
	}
	r.ceiling = float64(n)
	r.limit = min(r.limit, r.ceiling)
}

// acquire waits for admission for at most wait. Errors are of kind QueueTimeout,
// or NotSent if ctx ended.
func (r *limiter) acquire(ctx context.Context, priority int, wait time.Duration) error {
	r.mu.Lock()
	if len(r.waiters) == 0 && float64(r.inFlight) < r.limit {
		r.inFlight++
		r.mu.Unlock()
		return nil
	}
	if wait <= 0 {
		r.mu.Unlock()
		return fault.New(fault.QueueTimeout, "the concurrency limit of the server is reached and no time is left to wait")
	}
	w := &waiter{priority: priority, admitted: make(chan struct{})}
	r.enqueue(w)
	r.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-w.admitted:
		return nil
	case <-t.C:
		return r.cancel(w, fault.New(fault.QueueTimeout, "the concurrency limit of the server did not admit the request in time"))
	case <-ctx.Done():
		return r.cancel(w, fault.New(fault.NotSent, "the request ended while it waited for the concurrency limit of the server"))
	}
}

// state returns the number of requests in flight and their limit.
func (r *limiter) state() (used, limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inFlight, int(r.limit)
}

// enqueue inserts w behind the waiters of the same priority.
func (r *limiter) enqueue(w *waiter) {
	i := sort.Search(len(r.waiters), func(i int) bool { return r.waiters[i].priority > w.priority })
	r.waiters = append(r.waiters, nil)
	copy(r.waiters[i+1:], r.waiters[i:])
	r.waiters[i] = w
}

// cancel removes w from the queue and returns err. It returns nil if w has been
// admitted meanwhile; the request then proceeds.
func (r *limiter) cancel(w *waiter, err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, v := range r.waiters {
		if v == w {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			return err
		}
	}
	return nil
}

// release ends an admitted request, adjusts the limit to its outcome and admits
// the next waiters.
func (r *limiter) release(took, target time.Duration, shed, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adjust(took, target, shed, failed)
	r.inFlight--
	r.admit()
}

func (r *limiter) adjust(took, target time.Duration, shed, failed bool) {
	switch {
	case shed:
		r.limit = max(r.limit*shedDecrease, minLimit)
	case took > time.Duration(lateShare*float64(target)):
		r.limit = max(r.limit*lateDecrease, minLimit)
	case !failed && float64(r.inFlight) >= r.limit-1:
		r.limit = min(r.limit+1/r.limit, r.ceiling)
	}
}

func (r *limiter) admit() {
	for len(r.waiters) > 0 && float64(r.inFlight) < r.limit {
		w := r.waiters[0]
		r.waiters = r.waiters[1:]
		r.inFlight++
		close(w.admitted)
	}
}
