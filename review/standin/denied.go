package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// headerBytes is the size of the long header that some clients send: above the first
	// limit, below the second.
	headerBytes = 24 << 10
	// applyTime is config_apply_s, with a margin for the sending of the last request.
	applyTime = 3 * time.Second
	// deniedAllowed and deniedShare are what DENIED allows.
	deniedAllowed = 5
	deniedShare   = 1.0 / 500
)

// runDenied raises max_header_bytes by a change of the desired state.
func runDenied(w *world, trouble bool) (verdict, error) {
	state := func(version, headers int) string {
		l := strings.Replace(limits, "16384", fmt.Sprint(headers), 1)
		return fmt.Sprintf(`{"config_version":%d,"routes":[%s,%s,%s],%s,%s}`, version, lookupRoute, reserveRoute, orderRoute, plainServices, l)
	}
	before, after := 16384, 65536
	if !trouble {
		before = after // the limit is in force from the start, and nothing changes
	}
	w.putConfig(state(7, before))
	for i, service := range []string{"grower-portal", "grower-portal", "grower-portal", "mill-scheduler", "mill-scheduler"} {
		u := &upstream{id: fmt.Sprintf("i-7f3a91c%d", i), service: service, slots: 6, work: workOf(100 * time.Millisecond)}
		if err := w.addUpstream(u); err != nil {
			return verdict{}, err
		}
	}
	if err := w.startHosts(3); err != nil {
		return verdict{}, err
	}
	var sent, denied atomic.Int64
	count := func(_ request, a answer) {
		sent.Add(1)
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
			denied.Add(1)
		}
	}
	l := w.startMixedLoad(25, count)
	time.Sleep(settle)
	if trouble {
		w.putConfig(state(9, after))
	}
	time.Sleep(applyTime)
	long := http.Header{"X-Permissions": {strings.Repeat("depot-amarillo;", headerBytes/13)}}
	withHeader := w.startLoad(5, func() request {
		q := reserve(anyKey())
		q.header = long
		return q
	}, count)
	time.Sleep(observed)
	withHeader.end()
	l.end()
	allowed := deniedAllowed + deniedShare*float64(sent.Load())
	text := fmt.Sprintf("%d of %d proper requests were ended with a 4xx of the hosts; allowed are %.1f", denied.Load(), sent.Load(), allowed)
	if float64(denied.Load()) > allowed {
		return verdict{true, "DENIED broken: " + text}, nil
	}
	return verdict{false, "DENIED held: " + text}, nil
}
