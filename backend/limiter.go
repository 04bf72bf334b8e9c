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
	shedDecrease     = 0.7 // factor on the limit when the server sheds a request
	lookupQueueShare = 0.5 // lookups may fill this part of the queue
)

// Limiter bounds the requests that this host has outstanding at one backend
// server. The limit rises by one per limit's worth of answers, up to the
// server's slots, and falls when the server sheds a request (additive increase,
// multiplicative decrease). Requests over the limit wait in a bounded queue,
// orders before lookups. It is safe for concurrent use.
type Limiter struct {
	mu          sync.Mutex
	slots       float64
	queue       int
	members     int
	limit       float64
	used        int
	pausedUntil time.Time // no request is let through before; zero when none
	orders      list.List // of *waiter
	lookups     list.List // of *waiter
}

// waiter is a queued request.
type waiter struct {
	ready chan error // receives nil with a slot, or the reason for shedding
}

// NewLimiter returns a limiter for a server with slots and a queue of at most
// queue requests.
func NewLimiter(slots, queue int) *Limiter {
	s := float64(max(1, slots))
	return &Limiter{slots: s, queue: queue, limit: s, members: 1}
}

// SetMembers starts the limit at this host's part among n entry hosts and
// reports whether n is new. The limit moves on from there.
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

// Acquire takes a slot, waiting until ctx ends. Errors are of kind Overloaded
// or QueueTimeout. The caller calls Release after a nil error.
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

// available reports whether a request may go out at now.
func (l *Limiter) available(now time.Time) bool {
	return float64(l.used) < math.Max(1, math.Floor(l.limit)) && !now.Before(l.pausedUntil)
}

// enqueue adds a waiter. An order takes the place of the newest lookup when
// the queue is full.
func (l *Limiter) enqueue(order bool) (*waiter, *list.Element, error) {
	waiting := l.orders.Len() + l.lookups.Len()
	if !order && l.lookups.Len() >= l.maxQueuedLookups() {
		return nil, nil, fault.New(fault.Overloaded, "the queue for lookups is full")
	}
	if waiting >= l.queue {
		newest := l.lookups.Back()
		if !order || newest == nil {
			return nil, nil, fault.New(fault.Overloaded, "the queue is full")
		}
		l.lookups.Remove(newest)
		newest.Value.(*waiter).ready <- fault.New(fault.Overloaded, "shed in favour of an order")
	}
	w := &waiter{ready: make(chan error, 1)}
	if order {
		return w, l.orders.PushBack(w), nil
	}
	return w, l.lookups.PushBack(w), nil
}

func (l *Limiter) maxQueuedLookups() int {
	return max(1, int(float64(l.queue)*lookupQueueShare))
}

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

// Release gives a slot back.
func (l *Limiter) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
	l.grantSlots(time.Now())
}

// grantSlots passes free slots to waiters.
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

// RecordShed lowers the limit after the server shed a request, and holds requests
// back for the server's Retry-After; 0 means none.
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

// Outstanding returns the number of slots in use and of queued requests.
func (l *Limiter) Outstanding() (used, queued int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used, l.orders.Len() + l.lookups.Len()
}
