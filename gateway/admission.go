package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// admissionLifetime is the age of the last confirmation by the assigner up to which
	// its limits apply.
	admissionLifetime = 3 * time.Second
	// retryAfterLimited is the Retry-After value, before jitter, for a request that is
	// not admitted.
	retryAfterLimited = time.Second
)

// admitter admits a share of the requests to one server, evenly distributed.
type admitter struct {
	mu     sync.Mutex
	credit float64 // 0 to 1; a request is admitted when it reaches 1
}

// newAdmitter starts at a random point, so that hosts do not all admit at once.
func newAdmitter() *admitter { return &admitter{credit: rand.Float64()} }

// admit reports whether the next request is among the share that is admitted.
func (a *admitter) admit(share float64) bool {
	if share >= 1 {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.credit += share
	if a.credit < 1 {
		return false
	}
	a.credit--
	return true
}

// admit refuses a request at once if the hosts together have more requests for its key
// than the owner can serve. It counts each request once, however often it is sent.
func (g *Gateway) admit(q *request, s *server) error {
	if q.admitted || !q.keyed || g.control.MapAge() > admissionLifetime {
		return nil
	}
	if !s.admitter.admit(g.control.View().Admission.Share(q.service.Name, q.key)) {
		return notRun(fault.Overloaded, "there are more requests for the key than its owner can serve", retryAfterLimited)
	}
	q.admitted = true
	return nil
}
