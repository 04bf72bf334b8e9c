package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

// changeEvery is the mean pause between configurations.
const changeEvery = 4 * time.Second

// operator publishes configurations, each with a path more than the one before.
type operator struct {
	w     *world
	mu    sync.Mutex
	acked []time.Time // when the store took each version, from 1 on
}

func newOperator(w *world) *operator { return &operator{w: w} }

// publish writes the next version.
func (o *operator) publish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acked = append(o.acked, time.Time{})
	n := len(o.acked)
	var routes []platformtest.Route
	for v := 1; v <= n; v++ {
		routes = append(routes,
			platformtest.Route{Name: fmt.Sprintf("look-v%d", v), Host: callersHost, Prefix: fmt.Sprintf("/look/v%d/", v), Idempotent: true},
			platformtest.Route{Name: fmt.Sprintf("book-v%d", v), Host: callersHost, Prefix: fmt.Sprintf("/book/v%d/", v)},
		)
	}
	if err := o.w.store.PutConfig(n, stock, routes); err != nil {
		o.w.violate("SOAK", "publish a configuration: %v", err)
	}
	o.acked[n-1] = time.Now()
}

// run publishes until ctx ends.
func (o *operator) run(ctx context.Context) {
	r := rand.New(rand.NewPCG(o.w.cfg.Seed, 7))
	for {
		pause := changeEvery/4 + time.Duration(r.Int64N(int64(changeEvery*3/2)))
		select {
		case <-time.After(pause):
			o.publish()
			o.w.note("configuration %d", o.newest())
		case <-ctx.Done():
			return
		}
	}
}

// newest returns the newest version.
func (o *operator) newest() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.acked)
}

// anyVersion returns a version, often the newest.
func (o *operator) anyVersion(r *rand.Rand) int {
	n := o.newest()
	if r.IntN(2) == 0 {
		return n
	}
	return 1 + r.IntN(n)
}

// appliedBefore returns the newest version that must be in force at t.
func (o *operator) appliedBefore(t time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for i, at := range o.acked {
		if t.Sub(at) > applyTime {
			n = i + 1
		}
	}
	return n
}
