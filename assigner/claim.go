package assigner

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// tickFollower reads the store when no assigner has been heard for long enough.
func (m *Machine) tickFollower(now Time) {
	wait := m.silenceLimit()
	if !m.loaded {
		wait = m.cfg.ClaimDelay
	}
	if m.resigned || m.storeBusy || now < m.storeRetryAt || now-m.heardAt < wait {
		return
	}
	m.storeBusy = true
	m.emit(Load{})
}

// HeardAssigner records that the assigner of an epoch answered and holds its lease.
func (m *Machine) HeardAssigner(now Time, epoch uint64) {
	if m.role == leading || epoch < m.known.Epoch {
		return
	}
	m.heardAt = now
	if now-m.lostAt > maxLostEpochDelay {
		m.lostEpochDelay = 0
	}
}

// LearnAssigner records which assigner another host follows. It serves to find the
// assigner while the store does not respond; a claim always reads the store first.
func (m *Machine) LearnAssigner(now Time, epoch uint64, h Host) {
	if m.role == follower && epoch > m.known.Epoch && h.Name != "" {
		m.known = Record{Epoch: epoch, Assigner: h}
		m.heardAt = now + takeoverTime
	}
}

// EpochAbandoned records that the assigner of an epoch has resigned or has lost the
// store, so that the next claim need not wait.
func (m *Machine) EpochAbandoned(now Time, epoch uint64) {
	if m.role == follower && epoch >= m.known.Epoch {
		m.heardAt = min(m.heardAt, now-m.cfg.SilenceBeforeClaim)
	}
}

// StepLoaded processes the result of a Load.
func (m *Machine) StepLoaded(now Time, e Loaded) {
	m.storeBusy = false
	if e.Result != StoreOK {
		m.retryLoad(now)
		return
	}
	m.loadRetryDelay = 0
	m.loaded = true
	m.end = e.End
	var rec Record
	if e.Record != nil {
		rec = *e.Record
	}
	if m.pending != nil && m.resolvePending(now, e, rec) {
		return
	}
	before := m.known
	m.known = rec
	switch {
	case m.role == leading:
		m.stepDown(now)
	case rec.Assigner == m.cfg.Self && !m.resigned:
		m.startEpoch(now, e.Start)
	default:
		m.followOrClaim(now, before, rec)
	}
}

// retryLoad schedules the next read of the store after one that failed.
func (m *Machine) retryLoad(now Time) {
	m.loadRetryDelay = min(max(2*m.loadRetryDelay, storeRetryDelay), MaxRetryDelay(m.suspects.registered))
	m.storeRetryAt = now + m.loadRetryDelay
}

// followOrClaim decides whether to wait for the assigner that the store names or to
// claim the next epoch. before is the record that was known before rec was read.
//
// A follower learns of epochs and assigners from other hosts, but not of every change
// of the record. A later change within the epoch of a silent assigner therefore does
// not show that it is alive.
func (m *Machine) followOrClaim(now Time, before, rec Record) {
	newer := rec.Epoch > before.Epoch || rec.Assigner != before.Assigner
	later := before.Version().Less(rec.Version())
	other := rec.Assigner.Name != "" && rec.Assigner.Name != m.cfg.Self.Name
	switch {
	case other && newer:
		m.heardAt = now + takeoverTime // another assigner was found: give it time to answer
		m.publishRecorded(rec)
	case other && now-m.heardAt < m.claimWait():
		m.storeRetryAt = now + m.cfg.SilenceBeforeClaim
		if later {
			m.publishRecorded(rec) // the assigner may be unreachable from this host
		}
	default:
		m.claim(now)
	}
}

// claimWait returns how long this host hears from no assigner before it claims.
func (m *Machine) claimWait() time.Duration {
	return m.silenceLimit() + m.lostEpochDelay
}

// MaxRetryDelay returns the upper bound of each host's retry delay for a store that
// does not respond, by the number of hosts. The first host that reaches the store
// again notifies the others.
func MaxRetryDelay(hosts int) time.Duration {
	return maxStoreRetryDelay * time.Duration(max(hosts, retryDelayHosts)) / retryDelayHosts
}

// silenceLimit returns how long an assigner may be silent. With very many hosts it
// takes the assigner longer to answer them all.
func (m *Machine) silenceLimit() time.Duration {
	extraHosts := max(m.suspects.registered-publishIntervalHosts, 0)
	forRank := time.Duration(m.rank) * m.cfg.RankDelay
	forHosts := time.Duration(extraHosts) * extraHostDelay
	return m.cfg.SilenceBeforeClaim + m.cfg.ClaimDelay + forRank + forHosts
}

// publishRecorded publishes the recorded map on this host while it cannot reach the
// assigner. The record does not say whether a range was granted, so every range is
// published as granted; a server that does not hold one yet refuses requests for it.
func (m *Machine) publishRecorded(rec Record) {
	out := &keyrange.Map{Version: rec.Version(), Tables: rec.Tables}
	out = out.Clone()
	for _, t := range out.Tables {
		for i := range t.Ranges {
			t.Ranges[i].Granted = true
			t.Ranges[i].Prior = nil
		}
	}
	m.emit(Publish{Map: out})
}

// claim appends a record that names this host the assigner of the next epoch.
func (m *Machine) claim(now Time) {
	if m.resigned {
		return
	}
	rec := m.known
	rec.Epoch, rec.Change, rec.Assigner = rec.Epoch+1, 0, m.cfg.Self
	rec.Fences = keyrange.Fence(rec.Epoch << fenceBits)
	if !m.omit.newFence {
		rec.Tables = withNewTokens(rec.Tables, &rec.Fences)
	}
	m.role = claiming
	m.append(rec, nil)
}

// withNewTokens assigns every range a new token and merges neighbouring ranges of the
// same owner. Once an owner has accepted a grant under the new token, grants from
// earlier assigners are void there.
func withNewTokens(tables []keyrange.Table, fences *keyrange.Fence) []keyrange.Table {
	out := make([]keyrange.Table, 0, len(tables))
	for _, t := range tables {
		var ranges []keyrange.Range
		for _, r := range t.Ranges {
			if n := len(ranges); n > 0 && joinable(ranges[n-1], r) {
				ranges[n-1].To = r.To
				continue
			}
			*fences++
			r.Fence = *fences
			ranges = append(ranges, r)
		}
		out = append(out, keyrange.Table{Service: t.Service, Ranges: ranges})
	}
	return out
}

// stepDown ends this host's epoch after another host's claim. A host that the others
// cannot reach soon loses every epoch that it claims, so its delay before the next
// claim doubles each time.
func (m *Machine) stepDown(now Time) {
	m.role = follower
	shortest, longest := minLostEpochDelay, maxLostEpochDelay
	if now-m.otherReportAt > reportLifetime {
		shortest, longest = minIsolatedDelay, maxIsolatedDelay
	}
	m.lostEpochDelay = min(max(2*m.lostEpochDelay, shortest), longest)
	m.ranges = nil
	m.pending = nil
	m.heardAt, m.lostAt = now, now
}

// Resign gives up the epoch before a planned stop: at once, or when the append that is
// outstanding has ended.
func (m *Machine) Resign(now Time) {
	m.resigned = true
	m.resignIfLeading(now)
}

// resignIfLeading appends a record that names no assigner, if this host leads and may
// append now.
func (m *Machine) resignIfLeading(now Time) {
	if !m.resigned || m.role != leading || !m.mayAct(now) || m.storeBusy || m.pending != nil || now < m.storeRetryAt {
		return
	}
	rec := m.record()
	rec.Assigner = Host{}
	m.role = follower
	m.append(rec, nil)
}
