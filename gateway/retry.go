package gateway

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// retry reports whether q may be sent again after err. It returns after the backoff
// or the wait for a new owner that the error calls for.
func (g *Gateway) retry(q *request, s *server, err error) bool {
	q.queuedAt = time.Now()
	if why := g.checkRetry(q, s, err); why != "" {
		g.recordRetryDenied(q, err, why)
		return false
	}
	g.recordRetry(q, err, time.Since(q.queuedAt))
	return true
}

// checkRetry returns the reason why q must not be retried after err, or "" if it may
// be. It waits for a new owner or for the backoff where the error calls for that.
func (g *Gateway) checkRetry(q *request, s *server, err error) event.Reason {
	switch {
	case q.ctx.Err() != nil:
		return event.ReasonEnded
	case q.restConsumed:
		return event.ReasonStreamed
	case q.sends >= maxSends:
		return event.ReasonMaxSends
	}
	switch fault.KindOf(err) {
	case fault.Refused:
		g.control.AddRefused(s.Holder)
		if q.keyed && !g.waitForNewOwner(q, s, q.target()/2) {
			return event.ReasonNoNewOwner
		}
		return ""
	case fault.DialFailed, fault.NotSent:
		return ""
	case fault.Overloaded:
		return checkRetryOverloaded(q)
	case fault.StaleToken:
		return g.checkRetryStale(q, s)
	case fault.NotAccepted:
		return g.checkRetryShed(q, s)
	case fault.SendFailed, fault.AnswerCut, fault.AnswerMismatch, fault.AnswerTooLarge:
		if q.atMostOnce() {
			return event.ReasonMayHaveRun
		}
		if g.ownerPause(q, s) > 0 {
			return event.ReasonFull
		}
		return g.takeRetry(q)
	}
	return event.ReasonNotRetryable
}

// checkRetryStale is checkRetry for a request whose server does not hold its key. If
// no new owner is named, the first retry goes to the same server, which may hold the
// key again under a renewed grant.
func (g *Gateway) checkRetryStale(q *request, s *server) event.Reason {
	if q.keyed && !g.waitForNewOwner(q, s, staleOwnerWait) && q.sends > 1 {
		return event.ReasonNoNewOwner
	}
	if q.ctx.Err() != nil {
		return event.ReasonEnded
	}
	return g.takeRetry(q)
}

// checkRetryShed is checkRetry for a request that its server shed.
func (g *Gateway) checkRetryShed(q *request, s *server) event.Reason {
	s.markShedding(time.Now().Add(sheddingTime))
	if q.remaining() < q.target()/4 {
		return event.ReasonNoTime
	}
	if g.ownerPause(q, s) > 0 {
		return event.ReasonFull
	}
	if q.keyed && g.standings.isLeaving(s.Holder) {
		return g.checkRetryLeft(q, s)
	}
	if why := g.takeRetry(q); why != "" {
		return why
	}
	return q.backOffForOwner()
}

// checkRetryLeft is checkRetry for a request that its key's owner shed as it leaves. Only
// another owner can run it.
func (g *Gateway) checkRetryLeft(q *request, s *server) event.Reason {
	if !g.hasStayingServer(q, g.view()) || !g.waitForNewOwner(q, s, q.ownerWait()) {
		return event.ReasonNoNewOwner
	}
	return g.takeRetry(q)
}

// checkRetryOverloaded is checkRetry for a request for which no connection could be
// opened because a limit on connections was reached. Such a retry is not counted
// against the budget.
func checkRetryOverloaded(q *request) event.Reason {
	if q.remaining() < q.target()/4 {
		return event.ReasonNoTime
	}
	return q.backOffForOwner()
}

// backOffForOwner waits before a retry at an overloaded owner of a key. Requests
// without a key do not wait, as they can go to another server. It returns a reason
// if the request ends meanwhile.
func (q *request) backOffForOwner() event.Reason {
	if q.keyed && wait.Sleep(q.ctx, overloadBackoff*time.Duration(q.sends)) != nil {
		return event.ReasonEnded
	}
	return ""
}

// takeRetry takes a retry from the budget of q's service. It returns a reason if none
// is left.
func (g *Gateway) takeRetry(q *request) event.Reason {
	if !g.budgetAllowsRetry(q.service.Name) {
		return event.ReasonBudget
	}
	return ""
}

// waitForNewOwner waits for at most d until the key's owner is another server than
// s, and reports whether it is.
func (g *Gateway) waitForNewOwner(q *request, s *server, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		view := g.control.View()
		if now := rangeOf(q, view); now != nil && now.Granted && now.Owner != s.Holder {
			return true
		}
		select {
		case <-view.Next:
		case <-t.C:
			return false
		case <-q.ctx.Done():
			return false
		}
	}
}

// rangeOf returns the range that contains q's key in a view, or nil.
func rangeOf(q *request, view *cluster.View) *keyrange.Range {
	t := view.Owners.Table(q.service.Name)
	if t == nil {
		return nil
	}
	return t.Find(q.key)
}
