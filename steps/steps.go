// Package steps records what an entry host did with recent requests, so that
// an operator can ask by request id. The memory it takes is bounded.
package steps

import (
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// Name names one step of a request's way.
type Name string

// The steps.
const (
	Sent      Name = "sent"     // goes to a backend server
	Failed    Name = "failed"   // one attempt ended without an answer
	Forwarded Name = "handed"   // goes to another entry host
	Finished  Name = "finished" // the caller was answered
)

// Step is one step of a request. Fields that do not apply are empty.
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

// Recorder takes in the steps of requests. It is safe for concurrent use and
// does not block on I/O.
type Recorder interface {
	Record(requestID string, s Step)
}

// maxSteps bounds the steps kept of one request; later ones replace the last.
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

// Steps returns the steps of a request, and false when none are kept.
func (r *Ring) Steps(id string) ([]Step, bool) {
	st := r.stripeOf(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	list, ok := st.byID[id]
	return append([]Step(nil), list...), ok
}
