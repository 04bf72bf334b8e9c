package detect

import "time"

// A silent server is judged lost only if at least one probe has failed or has had no
// answer for FailoverAfter/evidenceDivisor, so that a slow probe is not taken for a
// loss.
const evidenceDivisor = 2

// At least one in answeringDivisor of the servers in contact must answer for any to
// be judged lost. When fewer do, this host's own network is the more likely cause.
const answeringDivisor = 4

// pauseThreshold is the time between two calls of Judge above which this host itself
// is taken to have been paused, so that answers may have arrived but not been read.
const pauseThreshold = 150 * time.Millisecond

// firstContactFactor is how many times FailoverAfter a server that has never answered
// this host may be silent: a host that has just started is busy, and its first
// connections take longer.
const firstContactFactor = 2

// Judge updates every judgement. It must be called several times per pauseThreshold,
// else this host is taken to have been paused.
func (d *Detector) Judge(now time.Duration) {
	if d.judgedAt != 0 && now > d.judgedAt+pauseThreshold {
		d.discardFailures(now)
	}
	d.judgedAt = now
	for _, k := range d.order {
		d.judge(now, d.records[k])
	}
}

// discardFailures drops all failures and unanswered probes after this host was paused,
// so that every silence is counted from now.
func (d *Detector) discardFailures(now time.Duration) {
	for _, r := range d.records {
		r.failedSince, r.failures, r.probeFails, r.refusedSince, r.refusals = 0, 0, 0, 0, 0
		r.requestFailedAt, r.requestFailStart, r.freshFails = 0, 0, 0
		r.openProbes = r.openProbes[:0]
		r.pauseEnd = now
		if r.pendingSince != 0 {
			r.pendingSince = now
		}
	}
}

func (d *Detector) judge(now time.Duration, r *record) {
	if r.judgement.IsLost() {
		d.judgeLost(now, r)
		return
	}
	to, cause := r.verdict(now)
	if to.IsLost() && !d.enoughOthersAnswer(now, r, to) {
		to, cause = Doubtful, "too few other servers answer this host"
	}
	d.setJudgement(now, r, to, cause)
}

// silentSince returns the start of the oldest contact without an answer, but no
// earlier than the last answer; 0 when there is no such contact.
func (r *record) silentSince() time.Duration {
	since := r.failedSince
	starts := r.openProbes
	if r.pendingSince != 0 {
		starts = append(starts[:len(starts):len(starts)], r.pendingSince)
	}
	for _, at := range starts {
		if since == 0 || at < since {
			since = at
		}
	}
	return max(since, ifNonZero(since, r.lastAnswer))
}

// ifNonZero returns b, or 0 if a is 0.
func ifNonZero(a, b time.Duration) time.Duration {
	if a == 0 {
		return 0
	}
	return b
}

// verdict returns the judgement of a server that is not lost so far, and its cause.
func (r *record) verdict(now time.Duration) (Judgement, string) {
	limit := r.target.FailoverAfter
	switch {
	case r.refusals >= 2 && now >= r.refusedSince+limit:
		return Gone, "its host refuses connections"
	case r.hasFailingRequests(now):
		return Lost, "requests fail on new connections"
	case r.isSilent(now):
		return Lost, "silent to requests and probes"
	}
	if r.failures > 0 || r.requestFailedAt != 0 {
		return Doubtful, "a contact failed"
	}
	if r.isLate(now) {
		return Doubtful, "an answer is late"
	}
	if r.unlisted {
		return Doubtful, "not in the host list"
	}
	return Fine, "it answers"
}

// isLate reports whether an answer is overdue. A request that is slow while probes are
// answered is given more time.
func (r *record) isLate(now time.Duration) bool {
	wait := r.target.FailoverAfter
	if !r.slow {
		wait /= doubtDivisor
	}
	since := r.silentSince()
	return since != 0 && now >= since+wait
}

// hasFailingRequests reports whether failed requests alone show a loss, even if probes
// are answered.
func (r *record) hasFailingRequests(now time.Duration) bool {
	return r.requestFailedAt != 0 && r.freshFails >= freshFailures && now >= r.requestFailStart+r.target.FailoverAfter
}

// isAlerted reports whether another observer has found the server doubtful and it has
// not answered since.
func (r *record) isAlerted() bool { return r.alertedAt != 0 && r.alertedAt > r.lastAnswer }

// silenceLimit returns how long the server may be silent before it is judged lost.
func (r *record) silenceLimit() time.Duration {
	if r.lastAnswer == 0 {
		return r.target.FailoverAfter * firstContactFactor
	}
	return r.target.FailoverAfter
}

// overdueSince is like silentSince but also considers an alert: another observer's
// doubt means that the silence began FailoverAfter/doubtDivisor before the alert. It
// returns 0 if this host itself has no unanswered contact.
func (r *record) overdueSince() time.Duration {
	since := r.silentSince()
	if since == 0 || r.lastAnswer == 0 || !r.isAlerted() {
		return since
	}
	return min(since, max(r.alertedAt-r.target.FailoverAfter/doubtDivisor, r.lastAnswer))
}

// isSilent reports whether the server has been silent for longer than its limit
// although at least two contacts, one of them a probe, had enough time to be answered.
func (r *record) isSilent(now time.Duration) bool {
	limit := r.target.FailoverAfter
	since := r.overdueSince()
	if since == 0 || now < since+r.silenceLimit() {
		return false
	}
	contacts := r.failures
	if r.pendingSince != 0 {
		contacts++
	}
	probed := r.probeFails > 0
	for _, at := range r.openProbes {
		if now >= at+limit/probeDivisor {
			contacts++
		}
		probed = probed || now >= at+limit/evidenceDivisor
	}
	return probed && contacts >= 2
}

// enoughOthersAnswer reports whether enough other servers have answered since r fell
// silent to exclude a fault of this host's own network. A refusal counts as an answer,
// since it comes from the server's host. It returns true if r is the only server, as
// there is nothing to compare with.
func (d *Detector) enoughOthersAnswer(now time.Duration, r *record, to Judgement) bool {
	if to == Gone || len(d.records) == 1 {
		return true
	}
	since := r.silentSince()
	if since == 0 {
		since = r.requestFailStart
	}
	answering, silent := 0, 1
	for _, other := range d.records {
		switch {
		case other == r || other.judgement.IsLost():
		case other.lastAnswer > since || other.refusedSince > since:
			answering++
		case other.isLate(now):
			silent++
		}
	}
	return answering > 0 && answering*answeringDivisor >= answering+silent
}

// judgeLost judges a lost server: it is fine again once it has answered for long
// enough.
func (d *Detector) judgeLost(now time.Duration, r *record) {
	need := min(recoverAfter<<min(r.lossCount-1, maxDoublings), maxRecoverAfter)
	if r.okCount >= recoverAnswers && r.okSince != 0 && now >= r.okSince+need {
		r.requestFailedAt, r.requestFailStart, r.freshFails = 0, 0, 0
		d.setJudgement(now, r, Fine, "it answers again")
		return
	}
	if r.judgement == Lost && r.refusals >= 2 && now >= r.refusedSince+r.target.FailoverAfter {
		d.setJudgement(now, r, Gone, "its host refuses connections")
	}
	if r.judgement == Gone && r.okCount > 0 {
		d.setJudgement(now, r, Lost, "its host accepts connections again")
	}
}

// maxDoublings is the maximum number of times that recoverAfter is doubled.
const maxDoublings = 5

// NextProbes returns the servers to probe now, at most n, urgent ones first, and
// records their probes as begun. A server is probed while it is silent or lost, and
// otherwise at intervals in which it has answered nothing else.
func (d *Detector) NextProbes(now time.Duration, n int) []Target {
	var out []Target
	anyServerUrgent := d.anyUrgent()
	for _, urgent := range []bool{true, false} {
		for _, k := range d.order {
			r := d.records[k]
			if len(out) >= n {
				return out
			}
			if r.urgent() != urgent || !r.probeDue(now, anyServerUrgent) {
				continue
			}
			r.lastProbe = now
			r.openProbes = append(r.openProbes, now)
			out = append(out, r.target)
		}
	}
	return out
}

// urgent reports whether the server is doubtful and has an unanswered contact.
func (r *record) urgent() bool { return r.judgement == Doubtful && r.silentSince() != 0 }

// anyUrgent reports whether any server is urgent. The fine servers are then probed
// more often, to show whether this host's own network works.
func (d *Detector) anyUrgent() bool {
	for _, r := range d.records {
		if r.urgent() {
			return true
		}
	}
	return false
}

// probeInterval returns the time between two probes of the server.
func (r *record) probeInterval(anyServerUrgent bool) time.Duration {
	switch {
	case r.urgent():
		return r.target.FailoverAfter / probeDivisor
	case r.judgement == Fine && anyServerUrgent:
		return min(r.target.FailoverAfter/doubtDivisor, r.target.Interval)
	default:
		return r.target.Interval + r.jitter
	}
}

func (r *record) probeDue(now time.Duration, anyServerUrgent bool) bool {
	if len(r.openProbes) >= maxProbes {
		return false
	}
	if r.isAlerted() && r.lastProbe < r.alertedAt {
		return true
	}
	last := r.lastProbe
	if r.judgement == Fine {
		last = max(last, r.lastAnswer)
	}
	return last == 0 || now >= last+r.probeInterval(anyServerUrgent)
}

// SetJitter sets the time that is added to the interval between regular probes of a
// server, so that the entry hosts do not probe it at the same time.
func (d *Detector) SetJitter(k Key, by time.Duration) {
	if r := d.records[k]; r != nil {
		r.jitter = by
	}
}
