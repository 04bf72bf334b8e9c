package gateway

import (
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/eligibility"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// locate returns the backend server for the next attempt of q.
func (g *Gateway) locate(q *request) (*server, error) {
	if q.keyed {
		return g.waitForOwner(q)
	}
	return g.pickServer(q)
}

// pickServer chooses among the servers of a service that is not sharded. Servers
// that q was sent to before are used only if there are already as many of them as
// the route's Attempts, or if no other server is left.
func (g *Gateway) pickServer(q *request) (*server, error) {
	o := g.options(q)
	list := o.untried
	if len(q.tried) >= q.route.Attempts || len(list) == 0 {
		list = o.tried
	}
	s := choose(list, time.Now(), origin{g.cfg.Domain, q.length}, randomIndex)
	switch {
	case s != nil:
		return s, nil
	case len(o.untried) > 0:
		return nil, notRun(fault.NotAccepted, "the request was sent to as many backend servers as its route allows", retryAfterShed)
	case !o.pauseEnd.IsZero():
		return nil, allFullError(o.pauseEnd)
	}
	return nil, notRun(fault.NoOwner, "the service has no backend server", retryAfterDefault)
}

// options are the servers that a request may be sent to.
type options struct {
	untried, tried []*server
	pauseEnd       time.Time // the earliest end of the full servers' pauses; zero if none is full
}

// options returns the eligible servers of q's service.
func (g *Gateway) options(q *request) options {
	view := g.view()
	var o options
	for i := range view.Servers.Servers {
		v := &view.Servers.Servers[i]
		if v.Service != q.service.Name {
			continue
		}
		switch verdict := g.checkServer(q, v.Holder); verdict.Standing {
		case eligibility.Eligible:
			o.add(g.server(v, q, view), q.triedBefore(v.Holder.ID))
		case eligibility.Full:
			o.addPause(verdict.Until)
		}
	}
	return o
}

// add adds a server that the request may be sent to.
func (o *options) add(s *server, tried bool) {
	if tried {
		o.tried = append(o.tried, s)
	} else {
		o.untried = append(o.untried, s)
	}
}

// addPause adds the end of a full server's pause.
func (o *options) addPause(end time.Time) {
	if o.pauseEnd.IsZero() || end.Before(o.pauseEnd) {
		o.pauseEnd = end
	}
}

func (g *Gateway) server(v *directory.Server, q *request, view *cluster.View) *server {
	return g.servers.get(v, connectionLimit(q.service.MaxConns, view.Hosts))
}

// waitForOwner waits until the key has an owner whose grant is in force.
func (g *Gateway) waitForOwner(q *request) (*server, error) {
	var timer *time.Timer
	for {
		view := g.view()
		s, err := g.eligibleOwner(q, view)
		if s != nil || err != nil {
			return s, err
		}
		if timer == nil {
			timer = time.NewTimer(q.ownerWait())
			defer timer.Stop()
		}
		select {
		case <-view.Next:
		case <-timer.C:
			return nil, notRun(fault.Moving, "the key has no owner", retryAfterMoving)
		case <-q.ctx.Done():
			return nil, notRun(fault.NotSent, "the request ended while its key had no owner", retryAfterMoving)
		}
	}
}

// ownerWait returns for how much longer q may wait for an owner of its key.
func (q *request) ownerWait() time.Duration {
	return max(time.Duration(ownerWaitShare*float64(q.target()))-time.Since(q.arrived), 0)
}

// eligibleOwner returns the server that owns the key according to a view, or nil if there
// is none that q may be sent to: it then waits for another owner. It returns an error if
// the owner is full, as no other server can run q, or leaves and is the last of its service.
func (g *Gateway) eligibleOwner(q *request, view *cluster.View) (*server, error) {
	s := g.ownerIn(q, view)
	if s == nil {
		return nil, nil
	}
	switch v := g.checkServer(q, s.Holder); v.Standing {
	case eligibility.Full:
		return nil, ownerFullError(s, v)
	case eligibility.Leaving:
		return nil, g.lastServerError(q, view)
	}
	return s, nil
}

// lastServerError refuses a request whose key's owner leaves, if no other server is there
// that may become the owner. Otherwise it returns nil.
func (g *Gateway) lastServerError(q *request, view *cluster.View) error {
	if g.hasStayingServer(q, view) {
		return nil
	}
	return notRun(fault.NoOwner, "the key's owner leaves, and the service has no other backend server", retryAfterDefault)
}

// hasStayingServer reports whether the directory lists a server of q's service that does
// not leave.
func (g *Gateway) hasStayingServer(q *request, view *cluster.View) bool {
	return slices.ContainsFunc(view.Servers.Servers, func(v directory.Server) bool {
		return v.Service == q.service.Name && !g.standings.isLeaving(v.Holder)
	})
}

// ownerIn returns the server that owns the key according to a view, or nil.
func (g *Gateway) ownerIn(q *request, view *cluster.View) *server {
	r := rangeOf(q, view)
	if r == nil || !r.Granted {
		return nil
	}
	v := view.Servers.Find(r.Owner.ID)
	if v == nil || v.Holder != r.Owner || v.Service != q.service.Name {
		return nil
	}
	return g.server(v, q, view)
}
