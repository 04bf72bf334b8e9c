package hotkeys

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxServices is the maximum number of services that are counted. It bounds
	// the memory: each service takes about 300 KB.
	maxServices = 32
	// DecayInterval is the interval at which Run halves the counts.
	DecayInterval = 20 * time.Second
)

// Counter counts the requests of one host. It implements Recorder and is safe
// for concurrent use.
type Counter struct {
	mu       sync.Mutex // serialises writes to sketches
	random   func() uint32
	sketches atomic.Pointer[map[string]*sketch]
}

// NewCounter returns a counter without any counts.
func NewCounter() *Counter {
	c := &Counter{random: rand.Uint32}
	c.sketches.Store(&map[string]*sketch{})
	return c
}

// Record implements Recorder. Services beyond the first maxServices are not
// counted.
func (c *Counter) Record(service, key string) {
	s := (*c.sketches.Load())[service]
	if s == nil {
		s = c.add(service)
	}
	if s != nil {
		s.record(key)
	}
}

func (c *Counter) add(service string) *sketch {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.sketches.Load()
	if s := old[service]; s != nil || len(old) >= maxServices {
		return s
	}
	next := maps.Clone(old)
	next[service] = newSketch(c.random)
	c.sketches.Store(&next)
	return next[service]
}

// Top returns the n most requested keys of a service.
func (c *Counter) Top(service string, n int) Summary {
	s := (*c.sketches.Load())[service]
	if s == nil {
		return Summary{}
	}
	return s.top(n)
}

// Decay halves every count.
func (c *Counter) Decay() {
	for _, s := range *c.sketches.Load() {
		s.decay()
	}
}

// Run calls Decay every DecayInterval until done is closed.
func (c *Counter) Run(done <-chan struct{}) {
	ticker := time.NewTicker(DecayInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			c.Decay()
		}
	}
}
