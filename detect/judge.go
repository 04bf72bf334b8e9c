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
		d.judge(now, d.servers[k])
	}
}

// discardFailures drops all failures and unanswered probes after this host was paused,
// so that every silence is counted from now.
func (d *Detector) discardFailures(now time.Duration) {
	for _, s := range d.servers {
		s.failedSince, s.failures, s.probeFails, s.refusedSince, s.refusals = 0, 0, 0, 0, 0
		s.requestFailedAt, s.requestFailStart, s.freshFails = 0, 0, 0
		s.openProbes = s.openProbes[:0]
		s.pauseEnd = now
		if s.pendingSince != 0 {
			s.pendingSince = now
		}
	}
}

func (d *Detector) judge(now time.Duration, s *serverState) {
	if s.judgement.IsLost() {
		d.judgeLost(now, s)
		return
	}
	to, cause := s.verdict(now)
	if to.IsLost() && !d.enoughOthersAnswer(now, s, to) {
		to, cause = Doubtful, "too few other servers answer this host"
	}
	d.setJudgement(now, s, to, cause)
}

// silentSince returns the start of the oldest contact without an answer, but no
// earlier than the last answer; 0 when there is no such contact.
func (s *serverState) silentSince() time.Duration {
	since := s.failedSince
	starts := s.openProbes
	if s.pendingSince != 0 {
		starts = append(starts[:len(starts):len(starts)], s.pendingSince)
	}
	for _, at := range starts {
		if since == 0 || at < since {
			since = at
		}
	}
	return max(since, ifNonZero(since, s.lastAnswer))
}

// ifNonZero returns b, or 0 if a is 0.
func ifNonZero(a, b time.Duration) time.Duration {
	if a == 0 {
		return 0
	}
	return b
}

// verdict returns the judgement of a server that is not lost so far, and its cause.
func (s *serverState) verdict(now time.Duration) (Judgement, string) {
	limit := s.target.FailoverAfter
	switch {
	case s.refusals >= 2 && now >= s.refusedSince+limit:
		return Gone, "its host refuses connections"
	case s.hasFailingRequests(now):
		return Lost, "requests fail on new connections"
	case s.isSilent(now):
		return Lost, "silent to requests and probes"
	}
	if s.failures > 0 || s.requestFailedAt != 0 {
		return Doubtful, "a contact failed"
	}
	if s.isLate(now) {
		return Doubtful, "an answer is late"
	}
	if s.unlisted {
		return Doubtful, "not in the host list"
	}
	return Fine, "it answers"
}

// isLate reports whether an answer is overdue. A request that is slow while probes are
// answered is given more time.
func (s *serverState) isLate(now time.Duration) bool {
	wait := s.target.FailoverAfter
	if !s.slow {
		wait /= doubtDivisor
	}
	since := s.silentSince()
	return since != 0 && now >= since+wait
}

// hasFailingRequests reports whether failed requests alone show a loss, even if probes
// are answered.
func (s *serverState) hasFailingRequests(now time.Duration) bool {
	return s.requestFailedAt != 0 && s.freshFails >= freshFailures && now >= s.requestFailStart+s.target.FailoverAfter
}

// isAlerted reports whether another observer has found the server doubtful and it has
// not answered since.
func (s *serverState) isAlerted() bool { return s.alertedAt != 0 && s.alertedAt > s.lastAnswer }

// silenceLimit returns how long the server may be silent before it is judged lost.
func (s *serverState) silenceLimit() time.Duration {
	if s.lastAnswer == 0 {
		return s.target.FailoverAfter * firstContactFactor
	}
	return s.target.FailoverAfter
}

// overdueSince is like silentSince but also considers an alert: another observer's
// doubt means that the silence began FailoverAfter/doubtDivisor before the alert. It
// returns 0 if this host itself has no unanswered contact.
func (s *serverState) overdueSince() time.Duration {
	since := s.silentSince()
	if since == 0 || s.lastAnswer == 0 || !s.isAlerted() {
		return since
	}
	return min(since, max(s.alertedAt-s.target.FailoverAfter/doubtDivisor, s.lastAnswer))
}

// isSilent reports whether the server has been silent for longer than its limit
// although at least two contacts, one of them a probe, had enough time to be answered.
func (s *serverState) isSilent(now time.Duration) bool {
	limit := s.target.FailoverAfter
	since := s.overdueSince()
	if since == 0 || now < since+s.silenceLimit() {
		return false
	}
	contacts := s.failures
	if s.pendingSince != 0 {
		contacts++
	}
	probed := s.probeFails > 0
	for _, at := range s.openProbes {
		if now >= at+limit/probeDivisor {
			contacts++
		}
		probed = probed || now >= at+limit/evidenceDivisor
	}
	return probed && contacts >= 2
}

// enoughOthersAnswer reports whether enough other servers have answered since s fell
// silent to exclude a fault of this host's own network. A refusal counts as an answer,
// since it comes from the server's host. It returns true if s is the only server, as
// there is nothing to compare with.
func (d *Detector) enoughOthersAnswer(now time.Duration, s *serverState, to Judgement) bool {
	if to == Gone || len(d.servers) == 1 {
		return true
	}
	since := s.silentSince()
	if since == 0 {
		since = s.requestFailStart
	}
	answering, silent := 0, 1
	for _, other := range d.servers {
		switch {
		case other == s || other.judgement.IsLost():
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
func (d *Detector) judgeLost(now time.Duration, s *serverState) {
	need := min(recoverAfter<<min(s.lossCount-1, maxDoublings), maxRecoverAfter)
	if s.okCount >= recoverAnswers && s.okSince != 0 && now >= s.okSince+need {
		s.requestFailedAt, s.requestFailStart, s.freshFails = 0, 0, 0
		d.setJudgement(now, s, Fine, "it answers again")
		return
	}
	if s.judgement == Lost && s.refusals >= 2 && now >= s.refusedSince+s.target.FailoverAfter {
		d.setJudgement(now, s, Gone, "its host refuses connections")
	}
	if s.judgement == Gone && s.okCount > 0 {
		d.setJudgement(now, s, Lost, "its host accepts connections again")
	}
}

// maxDoublings is the maximum number of times that recoverAfter is doubled.
const maxDoublings = 5

// NextProbes returns the servers to probe now, at most n, urgent ones first, and
// records their probes as begun. A server is probed while it is silent or lost, and
// otherwise at intervals in which it has answered nothing else.
func (d *Detector) NextProbes(now time.Duration, n int) []Target {
	var out []Target
	doubt := d.anyUrgent()
	for _, urgent := range []bool{true, false} {
		for _, k := range d.order {
			s := d.servers[k]
			if len(out) >= n {
				return out
			}
			if s.urgent() != urgent || !s.probeDue(now, doubt) {
				continue
			}
			s.lastProbe = now
			s.openProbes = append(s.openProbes, now)
			out = append(out, s.target)
		}
	}
	return out
}

// urgent reports whether the server is doubtful and has an unanswered contact.
func (s *serverState) urgent() bool { return s.judgement == Doubtful && s.silentSince() != 0 }

// anyUrgent reports whether any server is urgent. The fine servers are then probed
// more often, to show whether this host's own network works.
func (d *Detector) anyUrgent() bool {
	for _, s := range d.servers {
		if s.urgent() {
			return true
		}
	}
	return false
}

// probeInterval returns the time between two probes of the server.
func (s *serverState) probeInterval(doubt bool) time.Duration {
	switch {
	case s.urgent():
		return s.target.FailoverAfter / probeDivisor
	case s.judgement == Fine && doubt:
		return min(s.target.FailoverAfter/doubtDivisor, s.target.Interval)
	default:
		return s.target.Interval + s.jitter
	}
}

func (s *serverState) probeDue(now time.Duration, doubt bool) bool {
	if len(s.openProbes) >= maxProbes {
		return false
	}
	if s.isAlerted() && s.lastProbe < s.alertedAt {
		return true
	}
	last := s.lastProbe
	if s.judgement == Fine {
		last = max(last, s.lastAnswer)
	}
	return last == 0 || now >= last+s.probeInterval(doubt)
}

// SetJitter sets the time that is added to the interval between regular probes of a
// server, so that the entry hosts do not probe it at the same time.
func (d *Detector) SetJitter(k Key, by time.Duration) {
	if s := d.servers[k]; s != nil {
		s.jitter = by
	}
}
