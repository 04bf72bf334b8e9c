package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
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
	var routes []string
	for v := 1; v <= n; v++ {
		for _, r := range []struct{ name, kind string }{{"look", "idempotent"}, {"book", "non_idempotent"}} {
			const route = `{"name":"%s-v%d","host":%q,"path_prefix":"/%s/v%d/","kind":%q,"timeout_s":3,"target_latency_s":0.6,"service":"stock","max_attempts":2}`
			routes = append(routes, fmt.Sprintf(route, r.name, v, callersHost, r.name, v, r.kind))
		}
	}
	const text = `{"config_version":%d,"routes":[%s],"services":[{"name":"stock","sharded":true,"max_conns":100}],"limits":{"idle_timeout_s":15,"header_timeout_s":3}}`
	o.w.store.Put("keyed.op", "config", fmt.Appendf(nil, text, n, strings.Join(routes, ",")))
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
