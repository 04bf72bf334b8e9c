package backend

import (
	"container/list"
	"context"
	"math"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	shedDecrease     = 0.7 // factor applied to the limit when the server sheds a request
	lookupQueueShare = 0.5 // lookups may fill this share of the queue
)

// Limiter is the concurrency limit of this host at one backend server. The limit
// rises by one for every limit's number of answers, up to the server's slots, and
// falls by a factor when the server sheds a request (additive increase,
// multiplicative decrease). Requests over the limit wait in a bounded queue,
// orders before lookups. It is safe for concurrent use.
type Limiter struct {
	mu          sync.Mutex
	slots       float64
	maxQueue    int
	members     int
	limit       float64
	used        int
	pausedUntil time.Time // no request is admitted before; zero means no pause
	orders      list.List // of *waiter
	lookups     list.List // of *waiter
}

// waiter is a queued request.
type waiter struct {
	ready chan error // receives nil when it has a slot, or the error when it is shed
}

// NewLimiter returns a limiter for a server with the given number of slots and a
// queue of at most maxQueue requests.
func NewLimiter(slots, maxQueue int) *Limiter {
	s := float64(max(1, slots))
	return &Limiter{slots: s, maxQueue: maxQueue, limit: s, members: 1}
}

// SetMembers sets the number of entry hosts and reports whether it changed. A
// change resets the limit to this host's share of the slots; answers and shed
// requests adapt it from there.
func (l *Limiter) SetMembers(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n == l.members || n < 1 {
		return false
	}
	l.members = n
	l.limit = math.Max(1, l.slots/float64(n))
	return true
}

// Acquire takes a slot, waiting for one until ctx ends. Errors are of kind
// Overloaded or QueueTimeout. After a nil error the caller must call Release.
func (l *Limiter) Acquire(ctx context.Context, order bool) error {
	l.mu.Lock()
	if l.available(time.Now()) && l.orders.Len()+l.lookups.Len() == 0 {
		l.used++
		l.mu.Unlock()
		return nil
	}
	w, element, err := l.enqueue(order)
	l.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case err := <-w.ready:
		return err
	case <-ctx.Done():
		return l.leaveQueue(w, element, order)
	}
}

// available reports whether a request may be admitted at now: a slot is free and
// the limiter is not paused.
func (l *Limiter) available(now time.Time) bool {
	return float64(l.used) < math.Max(1, math.Floor(l.limit)) && !now.Before(l.pausedUntil)
}

// enqueue adds a waiter. When the queue is full, an order displaces the newest
// lookup.
func (l *Limiter) enqueue(order bool) (*waiter, *list.Element, error) {
	waiting := l.orders.Len() + l.lookups.Len()
	if !order && l.lookups.Len() >= l.maxQueuedLookups() {
		return nil, nil, fault.New(fault.Overloaded, "the queue for lookups is full")
	}
	if waiting >= l.maxQueue {
		newest := l.lookups.Back()
		if !order || newest == nil {
			return nil, nil, fault.New(fault.Overloaded, "the queue is full")
		}
		l.lookups.Remove(newest)
		newest.Value.(*waiter).ready <- fault.New(fault.Overloaded, "displaced from the full queue by an order")
	}
	w := &waiter{ready: make(chan error, 1)}
	if order {
		return w, l.orders.PushBack(w), nil
	}
	return w, l.lookups.PushBack(w), nil
}

func (l *Limiter) maxQueuedLookups() int {
	return max(1, int(float64(l.maxQueue)*lookupQueueShare))
}

// leaveQueue removes a waiter whose context has ended. It passes on a slot that
// was granted meanwhile.
func (l *Limiter) leaveQueue(w *waiter, element *list.Element, order bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case err := <-w.ready:
		if err == nil {
			l.used--
			l.grantSlots(time.Now())
		}
	default:
		if order {
			l.orders.Remove(element)
		} else {
			l.lookups.Remove(element)
		}
	}
	return fault.New(fault.QueueTimeout, "no slot became free in time")
}

// Release frees a slot.
func (l *Limiter) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
	l.grantSlots(time.Now())
}

// grantSlots gives free slots to waiters, orders first.
func (l *Limiter) grantSlots(now time.Time) {
	for l.available(now) {
		next := l.orders.Front()
		from := &l.orders
		if next == nil {
			next, from = l.lookups.Front(), &l.lookups
		}
		if next == nil {
			return
		}
		from.Remove(next)
		l.used++
		next.Value.(*waiter).ready <- nil
	}
}

// RecordAnswer raises the limit after an answer.
func (l *Limiter) RecordAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit < l.slots {
		l.limit = math.Min(l.slots, l.limit+1/l.limit)
		l.grantSlots(time.Now())
	}
}

// RecordShed lowers the limit after the server shed a request and admits no
// request for the server's Retry-After; 0 means no pause.
func (l *Limiter) RecordShed(retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = math.Max(1, l.limit*shedDecrease)
	if retryAfter <= 0 {
		return
	}
	until := time.Now().Add(retryAfter)
	if until.After(l.pausedUntil) {
		l.pausedUntil = until
		time.AfterFunc(retryAfter, l.endPause)
	}
}

func (l *Limiter) endPause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantSlots(time.Now())
}

// Outstanding returns the numbers of slots in use and of queued requests.
func (l *Limiter) Outstanding() (used, queued int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used, l.orders.Len() + l.lookups.Len()
}
