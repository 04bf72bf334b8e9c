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

// serverState is the state that a Detector keeps of one server. Points in time are 0
// when unset.
type serverState struct {
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
	servers map[Key]*serverState
	order   []Key
	changes []Change
	// judgedAt is the time of the last call of Judge.
	judgedAt time.Duration
}

// NewDetector returns a detector that watches nothing.
func NewDetector() *Detector { return &Detector{servers: map[Key]*serverState{}} }

// SetTargets replaces the servers to watch. Servers that are no longer watched are
// reported as fine.
func (d *Detector) SetTargets(now time.Duration, targets []Target) {
	old := d.servers
	d.servers = make(map[Key]*serverState, len(targets))
	d.order = d.order[:0]
	for _, t := range targets {
		s := old[t.Key]
		if s == nil {
			s = &serverState{}
		}
		s.target = t
		d.servers[t.Key] = s
		d.order = append(d.order, t.Key)
		delete(old, t.Key)
	}
	slices.SortFunc(d.order, compareKeys)
	for _, s := range old {
		d.setJudgement(now, s, Fine, "no longer declared")
	}
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
}

// Observe records a contact that ended at now.
func (d *Detector) Observe(now time.Duration, o Observation) {
	s := d.servers[Key{Service: o.Service, Server: o.Server}]
	if s == nil {
		return
	}
	start := max(now-o.Latency, 1)
	if o.Probe {
		s.endProbe(start)
	}
	if o.Result == Answered {
		s.recordAnswer(now, start, o.Probe)
		return
	}
	s.recordFailure(now, start, o)
}

// endProbe removes the probe begun at start and all older ones.
func (s *serverState) endProbe(start time.Duration) {
	s.openProbes = slices.DeleteFunc(s.openProbes, func(at time.Duration) bool { return at <= start })
}

func (s *serverState) recordAnswer(now, start time.Duration, probe bool) {
	s.lastAnswer = now
	s.okCount++
	if s.okSince == 0 {
		s.okSince = now
	}
	s.failedSince, s.failures, s.probeFails, s.refusedSince, s.refusals = 0, 0, 0, 0, 0
	s.openProbes = s.openProbes[:0]
	s.slow = probe && s.pendingSince != 0
	if s.pendingSince != 0 {
		s.pendingSince = now
	}
	// A health endpoint may answer although requests fail, so an answered probe
	// clears failed requests only once they have expired.
	expired := now >= s.lastRequestFail+failureExpiryFactor*s.target.FailoverAfter
	if !probe && start > s.requestFailStart || expired {
		s.requestFailedAt, s.requestFailStart, s.freshFails = 0, 0, 0
	}
}

func (s *serverState) recordFailure(now, start time.Duration, o Observation) {
	if start < s.pauseEnd {
		return // the answer may have arrived while this host was paused
	}
	s.okSince, s.okCount = 0, 0
	if o.Result == Refused {
		s.refusals++
		if s.refusedSince == 0 {
			s.refusedSince = now
		}
	}
	s.failures++
	if s.failedSince == 0 || start < s.failedSince {
		s.failedSince = max(start, s.lastAnswer)
	}
	if o.Probe {
		s.probeFails++
		return
	}
	s.lastRequestFail = now
	switch {
	case s.requestFailedAt == 0:
		s.requestFailedAt, s.requestFailStart = now, start
	case start >= s.requestFailedAt:
		s.freshFails++
	}
}

// SetOutstanding sets the number of requests that wait for an answer of the server.
func (d *Detector) SetOutstanding(now time.Duration, k Key, n int64) {
	s := d.servers[k]
	switch {
	case s == nil:
	case n == 0:
		s.pendingSince = 0
	case s.pendingSince == 0:
		s.pendingSince = now
	}
}

// Alert records that another observer has found the server doubtful. The server is
// probed at once, and until it answers its silence is counted from when the other
// observer's began, so that both observers judge it lost at the same time and
// neither does so before FailoverAfter.
func (d *Detector) Alert(now time.Duration, k Key) {
	if s := d.servers[k]; s != nil {
		s.alertedAt = now
	}
}

// SetHosts sets the platform's list of live hosts. The list lags behind, so it is no
// proof of a loss: a server that is no longer listed only becomes doubtful.
func (d *Detector) SetHosts(live map[string]bool) {
	for _, s := range d.servers {
		if live[s.target.Server] {
			s.listed = true
		}
		s.unlisted = s.listed && !live[s.target.Server]
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
	if s := d.servers[k]; s != nil {
		return s.judgement
	}
	return Fine
}

func (d *Detector) setJudgement(now time.Duration, s *serverState, to Judgement, cause string) {
	if s.judgement == to {
		return
	}
	if to.IsLost() && !s.judgement.IsLost() {
		if s.lossCount > 0 && now > s.lostAt+flapWindow {
			s.lossCount = 0
		}
		s.lossCount++
		s.lostAt = now
		// Only later answers count towards recovery.
		s.okSince, s.okCount = 0, 0
	}
	d.changes = append(d.changes, Change{Key: s.target.Key, From: s.judgement, To: to, Cause: cause})
	s.judgement = to
}
