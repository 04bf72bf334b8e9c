package main

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// maxAttempts is the max_attempts of the route of the case.
	maxAttempts = 1
	// overrunsAllowed is how many requests may run on more upstreams (BUDGET).
	overrunsAllowed = 3
	// lostShare and lossLasts are the dose of answer_lost in the site file.
	lostShare = 0.4
	lossLasts = 4 * time.Second
	// upstreams is the number of upstreams, of which lossy lose answers (a share of 0.57, at
	// most 0.6), and of which each scale_in drains drained (0.22, at most 0.25).
	upstreams = 23
	lossy     = 13
	drained   = 5
	// lookupsPerSecond is the load.
	lookupsPerSecond = 300
	// drainGap is the pause between the two scale_in of the case.
	drainGap = 1500 * time.Millisecond
)

// overruns returns the number of requests that ran on more upstreams than their route
// allows, and describes one.
func (w *world) overruns() (n int, example string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, list := range w.runs {
		on := map[string]bool{}
		for _, r := range list {
			on[r.upstream.id] = true
		}
		if len(on) > maxAttempts {
			n++
			example = fmt.Sprintf("%s ran on %s at %s and on %s", id, list[0].upstream.id, list[0].at.Format("05.000"), list[len(list)-1].upstream.id)
		}
	}
	return n, example
}

// runBudget drains upstreams while some answers are lost.
func runBudget(w *world, trouble bool) (verdict, error) {
	route := `{"name":"r-lookup","host":"ficu95.example","path_prefix":"/lohu930/","kind":"idempotent","timeout_s":2,"target_latency_s":0.8,"priority":2,"service":"grower-portal","max_attempts":1}`
	w.putConfig(`{"config_version":7,"routes":[` + route + `],` + services + "," + limits + `}`)
	var lossUntil atomic.Int64
	loses := func() bool { return time.Now().UnixNano() < lossUntil.Load() && rand.Float64() < lostShare }
	for i := range upstreams {
		u := &upstream{id: fmt.Sprintf("i-7f3a91%02d", i), service: "grower-portal", sharded: true, slots: 6, work: workOf(160 * time.Millisecond)}
		if i < lossy {
			u.loses = loses
		}
		if err := w.addUpstream(u); err != nil {
			return verdict{}, err
		}
	}
	if err := w.startHosts(3); err != nil {
		return verdict{}, err
	}
	l := w.startLoad(lookupsPerSecond, func() request { return lookup(anyKey()) }, nil)
	time.Sleep(settle)
	if trouble {
		w.record.add("answers are lost from here on")
		lossUntil.Store(time.Now().Add(lossLasts).UnixNano())
	}
	for i := range 2 * drained {
		if i%drained == 0 {
			time.Sleep(drainGap)
		}
		w.record.add("%s drains", w.upstreams[i].id)
		w.upstreams[i].drain()
	}
	time.Sleep(observed)
	l.end()
	n, example := w.overruns()
	if n > overrunsAllowed {
		return verdict{true, fmt.Sprintf("BUDGET broken: %d requests ran on more upstreams than max_attempts (%d); for example %s", n, maxAttempts, example)}, nil
	}
	return verdict{false, fmt.Sprintf("BUDGET held: %d requests ran on more upstreams than max_attempts", n)}, nil
}
