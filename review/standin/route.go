package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// plainServices are two services that are not divided by key.
const plainServices = `"services":[{"name":"grower-portal","health_path":"/health","max_conns":60,"protocol":"h1","tls":false},` +
	`{"name":"mill-scheduler","health_path":"/health","max_conns":60,"protocol":"h1","tls":false}]`

// serviceOf is the only service to which any desired state of the case sends a path.
func serviceOf(path string) string {
	if strings.HasPrefix(path, "/pule252/") {
		return "mill-scheduler"
	}
	return "grower-portal"
}

// misrouted returns the number of requests that a service ran to which no desired state
// allows them to go, and describes the first.
func (w *world) misrouted() (n int, first string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var at time.Time
	for id, list := range w.runs {
		for _, r := range list {
			if r.upstream.service == serviceOf(r.path) {
				continue
			}
			n++
			if at.IsZero() || r.at.Before(at) {
				at = r.at
				first = fmt.Sprintf("%s (%s) ran %s %s, which goes to %s", r.upstream.id, r.upstream.service, id, r.path, serviceOf(r.path))
			}
		}
	}
	return n, first
}

// runRoute has another writer put an entry without slots and seq, and with another service,
// under the id of an upstream.
func runRoute(w *world, trouble bool) (verdict, error) {
	w.putConfig(`{"config_version":7,"routes":[` + lookupRoute + "," + reserveRoute + "," + orderRoute + `],` + plainServices + "," + limits + `}`)
	for i := range 5 {
		u := &upstream{id: fmt.Sprintf("i-7f3a91c%d", i), service: "grower-portal", slots: 6, work: workOf(200 * time.Millisecond)}
		if err := w.addUpstream(u); err != nil {
			return verdict{}, err
		}
	}
	for i := range 3 {
		u := &upstream{id: fmt.Sprintf("i-02d9e6b%d", i), service: "mill-scheduler", slots: 6, work: workOf(190 * time.Millisecond)}
		if err := w.addUpstream(u); err != nil {
			return verdict{}, err
		}
	}
	if err := w.startHosts(3); err != nil {
		return verdict{}, err
	}
	l := w.startLoad(120, func() request {
		if rand.IntN(2) == 0 {
			return order(anyKey())
		}
		return reserve(anyKey())
	}, nil)
	time.Sleep(settle)
	if trouble {
		u := w.upstreams[rand.IntN(5)]
		const form = `{"address":%q,"born":%d,"info":{"service":"mill-scheduler","config_version":"v1","zone":"amarillo"},` +
			`"status":{"state":"ready","cold_remaining_s":0}}`
		w.record.add("another writer puts an entry without slots and seq under the id of %s", u.id)
		w.putEntry(u.id, fmt.Appendf(nil, form, u.address, time.Now().UnixMilli()))
	}
	time.Sleep(observed)
	l.end()
	n, first := w.misrouted()
	if n > 0 {
		return verdict{true, fmt.Sprintf("ROUTE broken: %d requests were run by a service that is not theirs; first: %s", n, first)}, nil
	}
	return verdict{false, "ROUTE held: every request was run by its service"}, nil
}
