package control

import "github.com/lacewingsaddle/lacewingsaddle/ownership"

// AddHolder registers a tracker of work that may be outstanding with backend
// servers. Call it before Start.
func (l *Loop) AddHolder(t ownership.OutstandingTracker) { l.trackers = append(l.trackers, t) }

// reportOutstanding reports to the machine until when the work that it asked about
// is outstanding, and returns whether it had asked. It runs after publish, so that
// no request starts under a withdrawn route in the meantime.
func (l *Loop) reportOutstanding() bool {
	queries := l.machine.OutstandingQueries()
	now := l.Now()
	for _, q := range queries {
		l.machine.ReportOutstanding(now, q, l.outstandingUntil(q))
	}
	return len(queries) > 0
}

// AddRequestHolder registers a tracker of the requests in flight; see
// outstandingUntil. Call it before Start.
func (l *Loop) AddRequestHolder(t ownership.OutstandingTracker) {
	l.requestTrackers = append(l.requestTrackers, t)
}

// outstandingUntil returns when everything that a query asks for has ended. Where
// the query says that only grants count, requests in flight are left out: requests
// that a lost server never answers would otherwise keep its keys from being
// served until they time out.
func (l *Loop) outstandingUntil(q ownership.OutstandingQuery) ownership.Instant {
	until := latest(l.trackers, q)
	if q.GrantsOnly {
		return until
	}
	return max(until, latest(l.requestTrackers, q))
}

// latest returns the latest instant that any of the trackers reports for a query.
func latest(trackers []ownership.OutstandingTracker, q ownership.OutstandingQuery) ownership.Instant {
	var until ownership.Instant
	for _, t := range trackers {
		until = max(until, t.OutstandingUntil(q.Service, q.Shard, q.Below))
	}
	return until
}
