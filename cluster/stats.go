package cluster

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// Stats holds the counters of the control loop.
type Stats struct {
	StoreCalls metrics.Counter
	StoreFails metrics.Counter
	Grants     metrics.Counter
	GrantFails metrics.Counter
	Releases   metrics.Counter
	Epochs     metrics.Counter
	MapChanges metrics.Counter
	Moves      metrics.Counter
	// ServersLeaving counts the servers that answered that they leave, ServersFull those
	// that began to count as full while this host was the assigner.
	ServersLeaving metrics.Counter
	ServersFull    metrics.Counter
	// BadMessages counts the messages of other hosts that were rejected, Panics those
	// whose handling panicked.
	BadMessages metrics.Counter
	Panics      metrics.Counter
	// StoreResults counts the calls to the store by result.
	StoreResults metrics.Registry
}

func newStats() *Stats {
	return &Stats{
		StoreCalls:     metrics.NewCounter(),
		StoreFails:     metrics.NewCounter(),
		Grants:         metrics.NewCounter(),
		GrantFails:     metrics.NewCounter(),
		Releases:       metrics.NewCounter(),
		Epochs:         metrics.NewCounter(),
		MapChanges:     metrics.NewCounter(),
		Moves:          metrics.NewCounter(),
		ServersLeaving: metrics.NewCounter(),
		ServersFull:    metrics.NewCounter(),
		BadMessages:    metrics.NewCounter(),
		Panics:         metrics.NewCounter(),
		StoreResults:   metrics.NewRegistry(),
	}
}

// countStoreCall counts a call to the store and its result.
func (s *Stats) countStoreCall(err error) {
	s.StoreCalls.Inc(1)
	result := "done"
	if err != nil {
		result = string(fault.KindOf(err))
	}
	metrics.GetOrRegisterCounter("store_calls."+result, s.StoreResults).Inc(1)
}
