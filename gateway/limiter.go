package gateway

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// minLimit is the least number of requests that a host keeps at a server.
	minLimit = 1.0
	// lateDecrease is applied when an answer took longer than its latency target,
	// roomShed when the server shed a request.
	lateDecrease = 0.93
	shedDecrease = 0.7
	// lateShare is the part of the latency target that an answer may take.
	lateShare = 0.85
)

// limiter bounds the requests that this host keeps at one server. It answers
// overload: a server that is full answers late or sheds, and its hosts each
// keep less there until answers come in time again. Requests beyond wait here,
// the most urgent first, where they can still be sent elsewhere or refused.
type limiter struct {
	mu       sync.Mutex
	limit    float64
	ceiling  float64 // the host's share of connections
	inFlight int
	waiters  []*waiter // the next to be let in first
}

type waiter struct {
	priority int
	admitted chan struct{}
}

func newLimiter(most int) *limiter {
	return &limiter{limit: float64(most), ceiling: float64(most)}
}

// setCeiling sets the host's share of the server's connections.
func (r *limiter) setCeiling(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ceiling == float64(n) {
		return
	}
	r.ceiling = float64(n)
	r.limit = min(r.limit, r.ceiling)
}

// acquire waits for room for at most wait. Errors are of kind QueueTimeout, or
// NotSent when ctx ended.
func (r *limiter) acquire(ctx context.Context, priority int, wait time.Duration) error {
	r.mu.Lock()
	if len(r.waiters) == 0 && float64(r.inFlight) < r.limit {
		r.inFlight++
		r.mu.Unlock()
		return nil
	}
	if wait <= 0 {
		r.mu.Unlock()
		return fault.New(fault.QueueTimeout, "the server has no room")
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
		return r.cancel(w, fault.New(fault.QueueTimeout, "the server had no room in time"))
	case <-ctx.Done():
		return r.cancel(w, fault.New(fault.NotSent, "the request ended while it waited for room"))
	}
}

// state returns the number of requests that this host has at the server and their
// limit.
func (r *limiter) state() (used, limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inFlight, int(r.limit)
}

// enqueue adds w behind those that are as urgent.
func (r *limiter) enqueue(w *waiter) {
	i := sort.Search(len(r.waiters), func(i int) bool { return r.waiters[i].priority > w.priority })
	r.waiters = append(r.waiters, nil)
	copy(r.waiters[i+1:], r.waiters[i:])
	r.waiters[i] = w
}

// cancel takes w out of the queue. When it was admitted meanwhile, it goes on.
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

// release gives the room back and learns from how long the answer took.
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
