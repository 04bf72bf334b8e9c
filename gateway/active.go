package gateway

import (
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/event"
)

// activeRequests is the set of the requests that are neither answered nor refused.
type activeRequests struct {
	mu   sync.Mutex
	all  map[*request]struct{}
	last time.Time // when the last of them ended; zero if none has
}

func newActiveRequests() *activeRequests {
	return &activeRequests{all: map[*request]struct{}{}}
}

// add adds a request that has arrived.
func (a *activeRequests) add(q *request) {
	a.mu.Lock()
	a.all[q] = struct{}{}
	a.mu.Unlock()
}

// remove removes a request that was answered or refused.
func (a *activeRequests) remove(q *request) {
	a.mu.Lock()
	delete(a.all, q)
	a.last = time.Now()
	a.mu.Unlock()
}

// lastActive returns now if there are requests, else when the last of them ended.
func (a *activeRequests) lastActive(now time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.all) > 0 {
		return now
	}
	return a.last
}

// count returns the number of requests.
func (a *activeRequests) count() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.all))
}

// cutOff describes the active requests. It reads only fields that don't change while
// a request is active.
func (a *activeRequests) cutOff(now time.Time) []event.RequestCutOff {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]event.RequestCutOff, 0, len(a.all))
	for q := range a.all {
		out = append(out, event.RequestCutOff{Request: q.id, AfterMS: event.Millis(now.Sub(q.arrived))})
	}
	return out
}

// Active returns the number of requests in flight.
func (g *Gateway) Active() int64 { return g.active.count() }

// LastActive returns now if requests are in flight, else when the last one ended, and the
// zero time if there was none.
func (g *Gateway) LastActive(now time.Time) time.Time { return g.active.lastActive(now) }

// CutOff ends the requests in flight: each is answered with what is known of it, that it
// was not run or that its outcome is unknown. New requests must be rejected before.
func (g *Gateway) CutOff() { g.end() }

// LogCutOff logs each request that is in flight, as the process ends without having
// answered it.
func (g *Gateway) LogCutOff() {
	for _, e := range g.active.cutOff(time.Now()) {
		g.Metrics.count("cut_off")
		g.writeEvent(e)
	}
}
