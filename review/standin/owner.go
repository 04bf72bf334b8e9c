package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// overlapAllowed is how long two upstreams may hold the same keys (OWNER).
	overlapAllowed = 500 * time.Millisecond
	sampleInterval = 5 * time.Millisecond
	// observed is how long a case is watched after its disruption.
	observed = 12 * time.Second
)

// overlaps finds keys that two upstreams hold at the same time.
type overlaps struct {
	w       *world
	stopped chan struct{}
	done    sync.WaitGroup
	since   map[string]time.Time // by pair of upstreams
	longest time.Duration
	text    string
}

func (w *world) watchOverlaps() *overlaps {
	o := &overlaps{w: w, stopped: make(chan struct{}), since: map[string]time.Time{}}
	o.done.Add(1)
	go func() {
		defer o.done.Done()
		t := time.NewTicker(sampleInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				o.sample(time.Now())
			case <-o.stopped:
				return
			}
		}
	}()
	return o
}

// sample looks at all pairs of upstreams.
func (o *overlaps) sample(now time.Time) {
	for i, a := range o.w.upstreams {
		held := a.held(now)
		for _, b := range o.w.upstreams[i+1:] {
			o.samplePair(now, a, b, common(held, b.held(now)))
		}
	}
}

func (o *overlaps) samplePair(now time.Time, a, b *upstream, both *span) {
	pair := a.id + " and " + b.id
	begin, known := o.since[pair]
	switch {
	case both == nil:
		if known {
			o.w.record.add("%s no longer hold the same keys, after %.3f s", pair, now.Sub(begin).Seconds())
		}
		delete(o.since, pair)
	case !known:
		o.since[pair] = now
		o.w.record.add("%s both hold the keys %d-%d", pair, both.from, both.to)
	case now.Sub(begin) > o.longest:
		o.longest = now.Sub(begin)
		o.text = fmt.Sprintf("%s both held the keys %d-%d for %.3f s", pair, both.from, both.to, o.longest.Seconds())
	}
}

// common returns keys that are in both lists, or nil.
func common(a, b []span) *span {
	for _, x := range a {
		for _, y := range b {
			if x.from <= y.to && y.from <= x.to {
				return &span{from: max(x.from, y.from), to: min(x.to, y.to)}
			}
		}
	}
	return nil
}

func (o *overlaps) end() verdict {
	close(o.stopped)
	o.done.Wait()
	if o.longest > overlapAllowed {
		return verdict{true, "OWNER broken: " + o.text}
	}
	return verdict{false, fmt.Sprintf("OWNER held: the longest overlap is %.3f s", o.longest.Seconds())}
}

// runOwner has another writer put an entry without slots and seq under the id of an upstream.
func runOwner(w *world, trouble bool) (verdict, error) {
	w.putConfig(`{"config_version":7,"routes":[` + lookupRoute + "," + reserveRoute + "," + orderRoute + `],` + services + "," + limits + `}`)
	for i := range 5 {
		u := &upstream{id: fmt.Sprintf("i-7f3a91c%d", i), service: "grower-portal", sharded: true, slots: 6, work: workOf(200 * time.Millisecond)}
		if err := w.addUpstream(u); err != nil {
			return verdict{}, err
		}
	}
	u := &upstream{id: "i-02d9e6b4", service: "mill-scheduler", slots: 6, work: workOf(180 * time.Millisecond)}
	if err := w.addUpstream(u); err != nil {
		return verdict{}, err
	}
	if err := w.startHosts(3); err != nil {
		return verdict{}, err
	}
	l := w.startMixedLoad(25, nil)
	time.Sleep(settle)
	o := w.watchOverlaps()
	if trouble {
		const form = `{"address":"127.0.0.1:1","born":%d,"info":{"service":"grower-portal","config_version":"v1","zone":"amarillo"},` +
			`"status":{"state":"ready","cold_remaining_s":0}}`
		w.record.add("another writer puts an entry without slots and seq")
		w.putEntry(w.upstreams[0].id, fmt.Appendf(nil, form, time.Now().UnixMilli()))
	}
	time.Sleep(observed)
	v := o.end()
	l.end()
	return v, nil
}
