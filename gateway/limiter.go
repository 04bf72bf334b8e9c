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
	// after a rejection.
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

// waiter is a request that waits for admission.
type waiter struct {
	priority int
	admitted chan struct{} // closed when the wait is over
	evicted  error         // why the request must be placed anew; set before admitted is closed
}

func newLimiter(ceiling int) *limiter {
	return &limiter{limit: float64(ceiling), ceiling: float64(ceiling)}
}

// setCeiling sets the upper bound of the limit.
func (l *limiter) setCeiling(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ceiling == float64(n) {
		return
	}
	l.ceiling = float64(n)
	l.limit = min(l.limit, l.ceiling)
}

// acquire waits for admission for at most wait. Errors are of kind QueueTimeout, or
// NotSent if ctx ended or the request was evicted.
//
// A request that begins to wait just after the others were evicted would miss that. So
// check, which returns the error to evict it with or nil, is called when it waits already.
func (l *limiter) acquire(ctx context.Context, priority int, wait time.Duration, check func() error) error {
	l.mu.Lock()
	if len(l.waiters) == 0 && float64(l.inFlight) < l.limit {
		l.inFlight++
		l.mu.Unlock()
		return nil
	}
	if wait <= 0 {
		l.mu.Unlock()
		return fault.New(fault.QueueTimeout, "the concurrency limit of the server is reached and no time is left to wait")
	}
	w := &waiter{priority: priority, admitted: make(chan struct{})}
	l.enqueue(w)
	l.mu.Unlock()
	if err := check(); err != nil {
		return l.cancel(w, evictedError(err))
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-w.admitted:
		return w.result()
	case <-t.C:
		return l.cancel(w, fault.New(fault.QueueTimeout, "the concurrency limit of the server did not admit the request in time"))
	case <-ctx.Done():
		return l.cancel(w, fault.New(fault.NotSent, "the request ended while it waited for the concurrency limit of the server"))
	}
}

// state returns the number of requests in flight and their limit.
func (l *limiter) state() (inFlight, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight, int(l.limit)
}

// isIdle reports whether no request is admitted and none waits.
func (l *limiter) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight == 0 && len(l.waiters) == 0
}

// enqueue inserts w behind the waiters of the same priority.
func (l *limiter) enqueue(w *waiter) {
	i := sort.Search(len(l.waiters), func(i int) bool { return l.waiters[i].priority > w.priority })
	l.waiters = append(l.waiters, nil)
	copy(l.waiters[i+1:], l.waiters[i:])
	l.waiters[i] = w
}

// cancel removes w from the queue and returns err. It returns nil if w has been
// admitted meanwhile; the request then proceeds.
func (l *limiter) cancel(w *waiter, err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, v := range l.waiters {
		if v == w {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			return err
		}
	}
	return w.result()
}

// result returns the error of a waiter whose wait is over.
func (w *waiter) result() error {
	if w.evicted == nil {
		return nil
	}
	return evictedError(w.evicted)
}

// evictedError returns the error of a request that was evicted with err.
func evictedError(err error) error {
	return fault.Wrap(fault.NotSent, err, "the request was waiting for the server")
}

// evict ends the wait of every waiter with an error.
func (l *limiter) evict(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.waiters {
		w.evicted = err
		close(w.admitted)
	}
	l.waiters = nil
}

// release ends an admitted request, adjusts the limit to its outcome and admits
// the next waiters. err is the error of its send, or nil.
func (l *limiter) release(took, target time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adjust(took, target, err)
	l.inFlight--
	l.admit()
}

// adjust changes the limit after a request. l.mu must be held.
func (l *limiter) adjust(took, target time.Duration, err error) {
	switch {
	case isRejection(err):
		l.limit = max(l.limit*shedDecrease, minLimit)
	case took > time.Duration(lateShare*float64(target)):
		l.limit = max(l.limit*lateDecrease, minLimit)
	case err == nil && float64(l.inFlight) >= l.limit-1:
		l.limit = min(l.limit+1/l.limit, l.ceiling)
	}
}

// admit admits waiters while the limit allows. l.mu must be held.
func (l *limiter) admit() {
	for len(l.waiters) > 0 && float64(l.inFlight) < l.limit {
		w := l.waiters[0]
		l.waiters = l.waiters[1:]
		l.inFlight++
		close(w.admitted)
	}
}
