package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

// configInterval is the mean pause between configurations.
const configInterval = 4 * time.Second

// operator publishes configurations. Each version keeps the routes of the version
// before and adds two of its own.
type operator struct {
	w       *world
	mu      sync.Mutex
	ackedAt []time.Time // when the store accepted each version, from 1 on
}

func newOperator(w *world) *operator { return &operator{w: w} }

// publish writes the next version.
func (o *operator) publish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ackedAt = append(o.ackedAt, time.Time{})
	n := len(o.ackedAt)
	var routes []platformtest.Route
	for v := 1; v <= n; v++ {
		routes = append(routes,
			platformtest.Route{Name: fmt.Sprintf("look-v%d", v), Host: requestHost, Prefix: fmt.Sprintf("/look/v%d/", v), Idempotent: true},
			platformtest.Route{Name: fmt.Sprintf("book-v%d", v), Host: requestHost, Prefix: fmt.Sprintf("/book/v%d/", v)},
		)
	}
	if err := o.w.store.PutConfig(n, serviceName, routes); err != nil {
		o.w.addViolation(ruleSoak, "cannot publish a configuration: %v", err)
	}
	o.ackedAt[n-1] = time.Now()
}

// publishConfig publishes the next version as an event of the run.
func (w *world) publishConfig() {
	w.operator.publish()
	w.logEvent("configuration %d", w.operator.newestVersion())
}

// run publishes until ctx ends.
func (o *operator) run(ctx context.Context) {
	r := rand.New(rand.NewPCG(o.w.cfg.Seed, 7))
	for {
		pause := configInterval/4 + time.Duration(r.Int64N(int64(configInterval*3/2)))
		select {
		case <-time.After(pause):
			o.w.publishConfig()
		case <-ctx.Done():
			return
		}
	}
}

// newestVersion returns the version published last.
func (o *operator) newestVersion() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.ackedAt)
}

// randomVersion returns the newest version in half of the cases, otherwise any.
func (o *operator) randomVersion(r *rand.Rand) int {
	n := o.newestVersion()
	if r.IntN(2) == 0 {
		return n
	}
	return 1 + r.IntN(n)
}

// requiredVersion returns the newest version that must be in force at t.
func (o *operator) requiredVersion(t time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for i, at := range o.ackedAt {
		if t.Sub(at) > applyTime {
			n = i + 1
		}
	}
	return n
}
