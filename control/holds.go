package control

import "github.com/lacewingsaddle/lacewingsaddle/ownership"

// AddHolder registers a source of work that may be outstanding with backend
// servers. Call it before Start.
func (l *Loop) AddHolder(h ownership.OutstandingTracker) { l.holders = append(l.holders, h) }

// reportHolds tells the machine what is still outstanding with backend servers
// and reports whether it had asked. It runs after publish, so that no request
// starts under a withdrawn route in the meantime.
func (l *Loop) reportHolds() bool {
	queries := l.machine.OutstandingQueries()
	now := l.Now()
	for _, q := range queries {
		l.machine.ReportOutstanding(now, q, l.heldUntil(q))
	}
	return len(queries) > 0
}

// AddRequestHolder registers a holder that tracks the requests in flight; see
// heldUntil. Call it before Start.
func (l *Loop) AddRequestHolder(h ownership.OutstandingTracker) {
	l.requestHolders = append(l.requestHolders, h)
}

// heldUntil returns when everything that a query asks for has ended. Where the
// query says that only grants count, requests in flight are left out: requests
// that a lost server never answers would otherwise keep its keys from being
// served until they time out.
func (l *Loop) heldUntil(q ownership.OutstandingQuery) ownership.Instant {
	until := latest(l.holders, q)
	if q.GrantsOnly {
		return until
	}
	return max(until, latest(l.requestHolders, q))
}

// latest returns the latest HeldUntil among the holders.
func latest(holders []ownership.OutstandingTracker, q ownership.OutstandingQuery) ownership.Instant {
	var until ownership.Instant
	for _, h := range holders {
		until = max(until, h.OutstandingUntil(q.Service, q.Shard, q.Below))
	}
	return until
}
