package routing

import (
	"sync"

	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

// inFlightStripes is the number of separately locked parts of an InFlight. It is
// a power of two.
const inFlightStripes = 256

// InFlight is the registry of keyed requests that this host may have outstanding
// at backend servers. A key's move to another server waits for them. It
// implements ownership.OutstandingTracker and is safe for concurrent use.
type InFlight struct {
	stripes [inFlightStripes]inFlightStripe
}

type inFlightStripe struct {
	mu    sync.Mutex
	first *inFlightRequest
	_     [40]byte // pads to a cache line, against false sharing
}

// inFlightRequest is one request that may be outstanding. It is a node of its
// stripe's doubly linked list.
type inFlightRequest struct {
	service string
	shard   ownership.Shard
	token   ownership.Token
	until   ownership.Instant // deadline; the server has ended the request by then
	prev    *inFlightRequest
	next    *inFlightRequest
}

var _ ownership.OutstandingTracker = (*InFlight)(nil)

// NewInFlight returns an empty registry.
func NewInFlight() *InFlight { return &InFlight{} }

func (f *InFlight) stripe(shard ownership.Shard) *inFlightStripe {
	return &f.stripes[uint32(shard)%inFlightStripes]
}

// add registers h and removes the expired requests of its stripe.
func (f *InFlight) add(now ownership.Instant, h *inFlightRequest) {
	s := f.stripe(h.shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	h.prev, h.next = nil, s.first
	if s.first != nil {
		s.first.prev = h
	}
	s.first = h
}

func (s *inFlightStripe) dropExpired(now ownership.Instant) {
	for h := s.first; h != nil; {
		next := h.next
		if h.until < now {
			s.unlink(h)
		}
		h = next
	}
}

// remove removes h. It does nothing when h is not registered.
func (f *InFlight) remove(h *inFlightRequest) {
	s := f.stripe(h.shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unlink(h)
}

func (s *inFlightStripe) unlink(h *inFlightRequest) {
	if h.prev == nil && s.first != h {
		return
	}
	if h.prev != nil {
		h.prev.next = h.next
	} else {
		s.first = h.next
	}
	if h.next != nil {
		h.next.prev = h.prev
	}
	h.prev, h.next = nil, nil
}

// OutstandingUntil implements ownership.OutstandingTracker.
func (f *InFlight) OutstandingUntil(service string, shard ownership.Shard, below ownership.Token) ownership.Instant {
	s := f.stripe(shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	var until ownership.Instant
	for h := s.first; h != nil; h = h.next {
		if h.shard == shard && h.token < below && h.service == service {
			until = max(until, h.until)
		}
	}
	return until
}
