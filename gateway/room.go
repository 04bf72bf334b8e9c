package gateway

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// smallestRoom is the least number of requests that a host keeps at a server.
	smallestRoom = 1.0
	// roomShrink is applied when an answer took longer than its latency target,
	// roomShed when the server shed a request.
	roomShrink = 0.93
	roomShed   = 0.7
	// lateShare is the part of the latency target that an answer may take.
	lateShare = 0.85
)

// room bounds the requests that this host keeps at one server. It answers
// overload: a server that is full answers late or sheds, and its hosts each
// keep less there until answers come in time again. Requests beyond wait here,
// the most urgent first, where they can still be sent elsewhere or refused.
type room struct {
	mu      sync.Mutex
	limit   float64
	most    float64 // the host's share of connections
	used    int
	waiting []*waiter // the next to be let in first
}

type waiter struct {
	priority int
	admitted chan struct{}
}

func newRoom(most int) *room {
	return &room{limit: float64(most), most: float64(most)}
}

// setMost sets the host's share of the server's connections.
func (r *room) setMost(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.most == float64(n) {
		return
	}
	r.most = float64(n)
	r.limit = min(r.limit, r.most)
}

// enter waits for room for at most wait. Errors are of kind QueueTimeout, or
// NotSent when ctx ended.
func (r *room) enter(ctx context.Context, priority int, wait time.Duration) error {
	r.mu.Lock()
	if len(r.waiting) == 0 && float64(r.used) < r.limit {
		r.used++
		r.mu.Unlock()
		return nil
	}
	if wait <= 0 {
		r.mu.Unlock()
		return fault.New(fault.QueueTimeout, "the server has no room")
	}
	w := &waiter{priority: priority, admitted: make(chan struct{})}
	r.queue(w)
	r.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-w.admitted:
		return nil
	case <-t.C:
		return r.abandon(w, fault.New(fault.QueueTimeout, "the server had no room in time"))
	case <-ctx.Done():
		return r.abandon(w, fault.New(fault.NotSent, "the request ended while it waited for room"))
	}
}

// state returns the number of requests that this host has at the server and their
// limit.
func (r *room) state() (used, limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used, int(r.limit)
}

// queue adds w behind those that are as urgent.
func (r *room) queue(w *waiter) {
	i := sort.Search(len(r.waiting), func(i int) bool { return r.waiting[i].priority > w.priority })
	r.waiting = append(r.waiting, nil)
	copy(r.waiting[i+1:], r.waiting[i:])
	r.waiting[i] = w
}

// abandon takes w out of the queue. When it was admitted meanwhile, it goes on.
func (r *room) abandon(w *waiter, err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, v := range r.waiting {
		if v == w {
			r.waiting = append(r.waiting[:i], r.waiting[i+1:]...)
			return err
		}
	}
	return nil
}

// leave gives the room back and learns from how long the answer took.
func (r *room) leave(took, target time.Duration, shed, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learn(took, target, shed, failed)
	r.used--
	r.admit()
}

func (r *room) learn(took, target time.Duration, shed, failed bool) {
	switch {
	case shed:
		r.limit = max(r.limit*roomShed, smallestRoom)
	case took > time.Duration(lateShare*float64(target)):
		r.limit = max(r.limit*roomShrink, smallestRoom)
	case !failed && float64(r.used) >= r.limit-1:
		r.limit = min(r.limit+1/r.limit, r.most)
	}
}

func (r *room) admit() {
	for len(r.waiting) > 0 && float64(r.used) < r.limit {
		w := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.used++
		close(w.admitted)
	}
}
