package gateway

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// again reports whether q may be sent again after err. It waits as long as that
// helps.
func (g *Gateway) again(q *request, s *server, err error) bool {
	q.ready = time.Now()
	if why := g.mayRepeat(q, s, err); why != "" {
		g.noteDenied(q, err, why)
		return false
	}
	g.noteAgain(q, err, time.Since(q.ready))
	return true
}

// mayRepeat returns why q may not be sent again after err, or "".
func (g *Gateway) mayRepeat(q *request, s *server, err error) event.Reason {
	switch {
	case q.ctx.Err() != nil:
		return event.ReasonEnded
	case q.sentAny:
		return event.ReasonStreamed
	case q.sends >= maxSends:
		return event.ReasonMaxSends
	}
	switch fault.KindOf(err) {
	case fault.Refused:
		g.control.AddRefused(s.Holder)
		if q.keyed && !g.waitForNews(q, s, q.target()/2) {
			return event.ReasonNoNewOwner
		}
		return ""
	case fault.DialFailed, fault.NotSent:
		return ""
	case fault.Overloaded:
		return mayRepeatFull(q)
	case fault.StaleToken:
		return g.mayRepeatStale(q, s)
	case fault.NotAccepted:
		return g.mayRepeatShed(q, s)
	case fault.SendFailed, fault.AnswerCut, fault.AnswerMismatch:
		if q.once() {
			return event.ReasonMayHaveRun
		}
		return g.takeTry(q)
	}
	return event.ReasonNotRetryable
}

// mayRepeatStale decides on a request whose server does not hold its key. Without
// news the owner may hold the key again, under a renewed grant.
func (g *Gateway) mayRepeatStale(q *request, s *server) event.Reason {
	if q.keyed && !g.waitForNews(q, s, afterStale) && q.sends > 1 {
		return event.ReasonNoNewOwner
	}
	if q.ctx.Err() != nil {
		return event.ReasonEnded
	}
	return g.takeTry(q)
}

// mayRepeatShed decides on a request that its server shed.
func (g *Gateway) mayRepeatShed(q *request, s *server) event.Reason {
	s.full(time.Now().Add(fullTime))
	if q.left() < q.target()/4 {
		return event.ReasonNoTime
	}
	if why := g.takeTry(q); why != "" {
		return why
	}
	return q.pauseWhileFull()
}

// mayRepeatFull decides on a request whose server takes no more connections.
func mayRepeatFull(q *request) event.Reason {
	if q.left() < q.target()/4 {
		return event.ReasonNoTime
	}
	return q.pauseWhileFull()
}

// pauseWhileFull waits before a key's owner that was full is asked again.
func (q *request) pauseWhileFull() event.Reason {
	if q.keyed && wait.Sleep(q.ctx, afterFull*time.Duration(q.sends)) != nil {
		return event.ReasonEnded
	}
	return ""
}

// takeTry takes a second try from the budget of q's service.
func (g *Gateway) takeTry(q *request) event.Reason {
	if !g.secondTry(q.service.Name) {
		return event.ReasonBudget
	}
	return ""
}

// waitForNews waits until the key has another owner than the server that was
// asked, for at most d.
func (g *Gateway) waitForNews(q *request, s *server, d time.Duration) bool {
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
