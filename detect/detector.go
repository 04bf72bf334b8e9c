package detect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A server becomes doubtful after it has been silent for
	// FailoverAfter/doubtDivisor.
	doubtDivisor = 3
	// FailoverAfter/probeDivisor is the time between two probes of a doubtful
	// server, and the time after which an unanswered probe counts as a failed
	// contact.
	probeDivisor = 4
	// maxProbes is the maximum number of unanswered probes of one server.
	maxProbes = 3
	// freshFailures is the number of requests that must fail before failed requests
	// alone count as a loss. Only requests that began after an earlier failure was
	// reported are counted: failures on connections opened before that may be due to
	// the connections rather than the server.
	freshFailures = 2
	// A lost server is fine again after recoverAnswers answers over at least
	// recoverAfter without a failure. Each further loss within flapWindow doubles
	// the time, up to maxRecoverAfter, so that a flapping server stays lost longer.
	recoverAnswers  = 3
	recoverAfter    = time.Second
	maxRecoverAfter = 30 * time.Second
	flapWindow      = 5 * time.Minute
	// A failed request counts against a server whose probes are answered for
	// failureExpiryFactor times FailoverAfter.
	failureExpiryFactor = 20
)

// record is the state that a Detector keeps of one server. Points in time are 0 when
// unset.
type record struct {
	target     Target
	judgement  Judgement
	lastAnswer time.Duration // last answer of any kind
	// failedSince is the start of the earliest failed contact since lastAnswer.
	failedSince      time.Duration
	failures         int
	probeFails       int           // failed probes, included in failures
	refusedSince     time.Duration // first refusal since the last answer
	refusals         int
	requestFailedAt  time.Duration   // when the first failed request since the last answered one was reported
	requestFailStart time.Duration   // start of that request
	freshFails       int             // failed requests begun after requestFailedAt
	lastRequestFail  time.Duration   // when the last failed request was reported
	pendingSince     time.Duration   // since when requests have been outstanding without any answer
	pauseEnd         time.Duration   // when this host was last found to have been paused itself
	slow             bool            // a probe was answered while a request is outstanding
	openProbes       []time.Duration // starts of unanswered probes
	lastProbe        time.Duration   // start of the last probe
	jitter           time.Duration   // added to the time between regular probes
	lostAt           time.Duration
	lossCount        int
	okSince          time.Duration
	okCount          int
	listed           bool          // the host list has contained it as live
	unlisted         bool          // listed before, but now missing from the host list or leaving
	alertedAt        time.Duration // when another observer reported it as doubtful
}

// Detector judges servers. It reads no clock: the caller passes the time, which must
// be above 0 and must never decrease. It is not safe for concurrent use.
type Detector struct {
	records map[Key]*record
	order   []Key
	changes []Change
	// judgedAt is the time of the last call of Judge.
	judgedAt time.Duration
}

// NewDetector returns a detector that watches nothing.
func NewDetector() *Detector { return &Detector{records: map[Key]*record{}} }

// SetTargets replaces the servers to watch. Servers that are no longer watched are
// reported as fine.
func (d *Detector) SetTargets(now time.Duration, targets []Target) {
	old := d.records
	d.records = make(map[Key]*record, len(targets))
	d.order = d.order[:0]
	for _, t := range targets {
		r := old[t.Key]
		if r == nil {
			r = &record{}
		}
		r.target = t
		d.records[t.Key] = r
		d.order = append(d.order, t.Key)
		delete(old, t.Key)
	}
	slices.SortFunc(d.order, compareKeys)
	for _, r := range old {
		d.setJudgement(now, r, Fine, "no longer declared")
	}
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
}

// Observe records a contact that ended at now.
func (d *Detector) Observe(now time.Duration, o Observation) {
	r := d.records[Key{Service: o.Service, Server: o.Server}]
	if r == nil {
		return
	}
	start := max(now-o.Latency, 1)
	if o.Probe {
		r.endProbe(start)
	}
	if o.Result == Answered {
		r.recordAnswer(now, start, o.Probe)
		return
	}
	r.recordFailure(now, start, o)
}

// endProbe removes the probe begun at start and all older ones.
func (r *record) endProbe(start time.Duration) {
	r.openProbes = slices.DeleteFunc(r.openProbes, func(at time.Duration) bool { return at <= start })
}

func (r *record) recordAnswer(now, start time.Duration, probe bool) {
	r.lastAnswer = now
	r.okCount++
	if r.okSince == 0 {
		r.okSince = now
	}
	r.failedSince, r.failures, r.probeFails, r.refusedSince, r.refusals = 0, 0, 0, 0, 0
	r.openProbes = r.openProbes[:0]
	r.slow = probe && r.pendingSince != 0
	if r.pendingSince != 0 {
		r.pendingSince = now
	}
	// A health endpoint may answer although requests fail, so an answered probe
	// clears failed requests only once they have expired.
	expired := now >= r.lastRequestFail+failureExpiryFactor*r.target.FailoverAfter
	if !probe && start > r.requestFailStart || expired {
		r.requestFailedAt, r.requestFailStart, r.freshFails = 0, 0, 0
	}
}

func (r *record) recordFailure(now, start time.Duration, o Observation) {
	if start < r.pauseEnd {
		return // the answer may have arrived while this host was paused
	}
	r.okSince, r.okCount = 0, 0
	if o.Result == Refused {
		r.refusals++
		if r.refusedSince == 0 {
			r.refusedSince = now
		}
	}
	r.failures++
	if r.failedSince == 0 || start < r.failedSince {
		r.failedSince = max(start, r.lastAnswer)
	}
	if o.Probe {
		r.probeFails++
		return
	}
	r.lastRequestFail = now
	switch {
	case r.requestFailedAt == 0:
		r.requestFailedAt, r.requestFailStart = now, start
	case start >= r.requestFailedAt:
		r.freshFails++
	}
}

// SetOutstanding sets the number of requests that wait for an answer of the server.
func (d *Detector) SetOutstanding(now time.Duration, k Key, n int64) {
	r := d.records[k]
	switch {
	case r == nil:
	case n == 0:
		r.pendingSince = 0
	case r.pendingSince == 0:
		r.pendingSince = now
	}
}

// Alert records that another observer has found the server doubtful. The server is
// probed at once, and until it answers its silence is counted from when the other
// observer's began, so that both observers judge it lost at the same time and
// neither does so before FailoverAfter.
func (d *Detector) Alert(now time.Duration, k Key) {
	if r := d.records[k]; r != nil {
		r.alertedAt = now
	}
}

// SetHosts sets the platform's list of live hosts. The list lags behind, so it is no
// proof of a loss: a server that is no longer listed only becomes doubtful.
func (d *Detector) SetHosts(live map[string]bool) {
	for _, r := range d.records {
		if live[r.target.Server] {
			r.listed = true
		}
		r.unlisted = r.listed && !live[r.target.Server]
	}
}

// Changes returns the changes of judgement since the last call.
func (d *Detector) Changes() []Change {
	out := d.changes
	d.changes = nil
	return out
}

// Judgement returns the current judgement of a server, Fine if it is not watched.
func (d *Detector) Judgement(k Key) Judgement {
	if r := d.records[k]; r != nil {
		return r.judgement
	}
	return Fine
}

func (d *Detector) setJudgement(now time.Duration, r *record, to Judgement, cause string) {
	if r.judgement == to {
		return
	}
	if to.IsLost() && !r.judgement.IsLost() {
		if r.lossCount > 0 && now > r.lostAt+flapWindow {
			r.lossCount = 0
		}
		r.lossCount++
		r.lostAt = now
		// Only later answers count towards recovery.
		r.okSince, r.okCount = 0, 0
	}
	d.changes = append(d.changes, Change{Key: r.target.Key, From: r.judgement, To: to, Cause: cause})
	r.judgement = to
}
