package gateway

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// retry reports whether q may be sent retry after err. It waits as long as that
// helps.
func (g *Gateway) retry(q *request, s *server, err error) bool {
	q.queuedAt = time.Now()
	if why := g.mayRetry(q, s, err); why != "" {
		g.recordRetryDenied(q, err, why)
		return false
	}
	g.recordRetry(q, err, time.Since(q.queuedAt))
	return true
}

// mayRetry returns why q may not be sent again after err, or "".
func (g *Gateway) mayRetry(q *request, s *server, err error) event.Reason {
	switch {
	case q.ctx.Err() != nil:
		return event.ReasonEnded
	case q.restConsumed:
		return event.ReasonStreamed
	case q.sends >= maxSends:
		return event.ReasonSends
	}
	switch fault.KindOf(err) {
	case fault.Refused:
		g.control.AddRefused(s.Holder)
		if q.keyed && !g.waitForNewOwner(q, s, q.target()/2) {
			return event.ReasonNoNews
		}
		return ""
	case fault.DialFailed, fault.NotSent:
		return ""
	case fault.Overloaded:
		return mayRetryOverloaded(q)
	case fault.StaleToken:
		return g.mayRetryStale(q, s)
	case fault.NotAccepted:
		return g.mayRetryShed(q, s)
	case fault.SendFailed, fault.AnswerCut, fault.AnswerMismatch:
		if q.atMostOnce() {
			return event.ReasonMayRun
		}
		return g.takeRetry(q)
	}
	return event.ReasonKind
}

// mayRetryStale decides on a request whose server does not hold its key. Without
// news the owner may hold the key again, under a renewed grant.
func (g *Gateway) mayRetryStale(q *request, s *server) event.Reason {
	if q.keyed && !g.waitForNewOwner(q, s, staleOwnerWait) && q.sends > 1 {
		return event.ReasonNoNews
	}
	if q.ctx.Err() != nil {
		return event.ReasonEnded
	}
	return g.takeRetry(q)
}

// mayRetryShed decides on a request that its server shed.
func (g *Gateway) mayRetryShed(q *request, s *server) event.Reason {
	s.markShedding(time.Now().Add(sheddingTime))
	if q.remaining() < q.target()/4 {
		return event.ReasonNoTime
	}
	if why := g.takeRetry(q); why != "" {
		return why
	}
	return q.backOffForOwner()
}

// mayRetryOverloaded decides on a request whose server takes no more connections.
func mayRetryOverloaded(q *request) event.Reason {
	if q.remaining() < q.target()/4 {
		return event.ReasonNoTime
	}
	return q.backOffForOwner()
}

// backOffForOwner waits before a key's owner that was full is asked again.
func (q *request) backOffForOwner() event.Reason {
	if q.keyed && wait.Sleep(q.ctx, fullBackoff*time.Duration(q.sends)) != nil {
		return event.ReasonEnded
	}
	return ""
}

// takeRetry takes a second try from the budget of q's service.
func (g *Gateway) takeRetry(q *request) event.Reason {
	if !g.budgetAllowsRetry(q.service.Name) {
		return event.ReasonBudget
	}
	return ""
}

// waitForNewOwner waits until the key has another owner than the server that was
// asked, for at most d.
func (g *Gateway) waitForNewOwner(q *request, s *server, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		view := g.control.View()
		if now := grantOf(q, view); now != nil && now.Granted && now.Owner != s.Holder {
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

// grantOf returns the range of q's key in a view, or nil.
func grantOf(q *request, view *cluster.View) *keyrange.Range {
	t := view.Owners.Table(q.service.Name)
	if t == nil {
		return nil
	}
	return t.Find(q.key)
}
