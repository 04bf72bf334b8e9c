// Package steps records how an entry host processed recent requests, so that an
// operator can look up a request by its id. Its memory use is bounded.
package steps

import (
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// Name names a step in the processing of a request.
type Name string

// The steps.
const (
	Sent      Name = "sent"     // sent to a backend server
	Failed    Name = "failed"   // an attempt ended without an answer
	Forwarded Name = "handed"   // forwarded to another entry host
	Finished  Name = "finished" // the caller was answered
)

// Step is one step of a request. Fields that do not apply are zero.
type Step struct {
	At      time.Time     `json:"at"`
	Name    Name          `json:"name"`
	Service string        `json:"service,omitempty"`
	Key     string        `json:"key,omitempty"`
	Shard   uint32        `json:"shard,omitempty"`
	Token   uint64        `json:"token,omitempty"`
	Server  string        `json:"server,omitempty"`
	Outcome fault.Outcome `json:"outcome,omitempty"`
	Kind    fault.Kind    `json:"kind,omitempty"`
	Note    string        `json:"note,omitempty"`
}

// Recorder records the steps of requests. It is safe for concurrent use and does
// not block on I/O.
type Recorder interface {
	Record(requestID string, s Step)
}

// maxSteps bounds the steps kept per request. Once it is reached, each new step
// replaces the last one.
const maxSteps = 16

// stripes is the number of locks of a Ring.
const stripes = 16

// Ring is a Recorder that keeps the newest requests.
type Ring struct {
	stripe [stripes]stripe
}

type stripe struct {
	mu    sync.Mutex
	byID  map[string][]Step
	order []string // a circular buffer of ids, oldest at next
	next  int
}

// NewRing returns a Ring that keeps about n requests.
func NewRing(n int) *Ring {
	r := &Ring{}
	for i := range r.stripe {
		r.stripe[i] = stripe{byID: map[string][]Step{}, order: make([]string, max(n/stripes, 1))}
	}
	return r
}

func (r *Ring) stripeOf(id string) *stripe {
	var h uint32
	for i := range len(id) {
		h = h*31 + uint32(id[i])
	}
	return &r.stripe[h%stripes]
}

// Record implements Recorder.
func (r *Ring) Record(id string, s Step) {
	if s.At.IsZero() {
		s.At = time.Now()
	}
	st := r.stripeOf(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	list, known := st.byID[id]
	if !known {
		delete(st.byID, st.order[st.next])
		st.order[st.next] = id
		st.next = (st.next + 1) % len(st.order)
	}
	if len(list) == maxSteps {
		list[maxSteps-1] = s
		return
	}
	st.byID[id] = append(list, s)
}

// Steps returns the steps kept for a request, and false when there are none.
func (r *Ring) Steps(id string) ([]Step, bool) {
	st := r.stripeOf(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	list, ok := st.byID[id]
	return append([]Step(nil), list...), ok
}
