package detect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// doubtDivisor is the part of FailoverAfter after which silence is doubtful.
	doubtDivisor = 3
	// probeDivisor is the part of FailoverAfter between two probes of a doubtful
	// server, and after which an unanswered probe is one contact more.
	probeDivisor = 4
	// maxProbes bounds the unanswered probes of one server.
	maxProbes = 3
	// freshFailures is how many requests must fail that were begun after an
	// earlier failure was known, before requests alone show a loss. Failures on
	// connections opened earlier may be due to the connections.
	freshFailures = 2
	// recoverAnswers and recoverAfter say how often and for how long a lost
	// server must answer to be fine again. Each further loss within flapWindow
	// doubles the time, up to recoverMost.
	recoverAnswers  = 3
	recoverAfter    = time.Second
	maxRecoverAfter = 30 * time.Second
	flapWindow      = 5 * time.Minute
	// failureExpiryFactor is how many times FailoverAfter a failed request counts
	// against a server whose probes are answered.
	failureExpiryFactor = 20
)

// record is what a Detector knows of one server. Instants are 0 when unset.
type record struct {
	target     Target
	judgement  Judgement
	lastAnswer time.Duration // last answer of any kind
	// failedSince is the start of the first contact without an answer since then.
	failedSince      time.Duration
	failures         int
	probeFails       int           // failed probes among them
	refusedSince     time.Duration // first refusal since the last answer
	refusals         int
	requestFailedAt  time.Duration   // when the first failed request since the last answered one was reported
	requestFailStart time.Duration   // its start
	freshFails       int             // failed requests begun after requestFail
	lastRequestFail  time.Duration   // when the last failed request was reported
	pendingSince     time.Duration   // since when requests are outstanding with no answer
	pauseEnd         time.Duration   // when this host was last found to have been paused
	slow             bool            // a probe was answered while a request waits
	openProbes       []time.Duration // starts of unanswered probes
	lastProbe        time.Duration   // start of the last probe
	jitter           time.Duration   // added to the time between regular probes
	lostAt           time.Duration
	lossCount        int
	okSince          time.Duration
	okCount          int
	listed           bool          // the host list named it live at some time
	unlisted         bool          // the host list has dropped it or says that it leaves
	alertedAt        time.Duration // when another observer began to doubt it
}

// Detector judges servers. It is pure: the caller passes the time, which must
// be above 0 and never fall. It is not safe for concurrent use.
type Detector struct {
	records map[Key]*record
	order   []Key
	changes []Change
	// judgedAt is when Judge was called last.
	judgedAt time.Duration
}

// NewDetector returns a detector that watches nothing.
func NewDetector() *Detector { return &Detector{records: map[Key]*record{}} }

// SetTargets sets the servers to watch. Servers no longer declared count as fine.
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

// Observe takes in a contact that ended at now.
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

// endProbe forgets the probe begun at start and any older one.
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
	// A health endpoint may answer though requests fail, so a probe does not
	// clear failed requests before they are old.
	old := now >= r.lastRequestFail+failureExpiryFactor*r.target.FailoverAfter
	if !probe && start > r.requestFailStart || old {
		r.requestFailedAt, r.requestFailStart, r.freshFails = 0, 0, 0
	}
}

func (r *record) recordFailure(now, start time.Duration, o Observation) {
	if start < r.pauseEnd {
		return // its answer may have come while this host was paused
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

// SetOutstanding notes how many requests wait for an answer of the server.
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

// Alert says that another observer began to doubt the server. It is probed at
// once, and until it answers the silence counts from where the other observer's
// began: so both judge at the same time, and neither before FailoverAfter.
func (d *Detector) Alert(now time.Duration, k Key) {
	if r := d.records[k]; r != nil {
		r.alertedAt = now
	}
}

// SetHosts takes in the platform's host list. It lags, so it proves nothing: a
// server that it has dropped is merely doubted sooner.
func (d *Detector) SetHosts(live map[string]bool) {
	for _, r := range d.records {
		if live[r.target.Server] {
			r.listed = true
		}
		r.unlisted = r.listed && !live[r.target.Server]
	}
}

// Changes returns the changes since the last call.
func (d *Detector) Changes() []Change {
	out := d.changes
	d.changes = nil
	return out
}

// Judgement returns the present judgement of a server.
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
		// Only answers from now on count for its return.
		r.okSince, r.okCount = 0, 0
	}
	d.changes = append(d.changes, Change{Key: r.target.Key, From: r.judgement, To: to, Cause: cause})
	r.judgement = to
}
