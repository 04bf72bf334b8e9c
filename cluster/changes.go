package cluster

import (
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/event"
)

// logServers logs each backend server that appeared, disappeared, restarted, or
// changed its state or address.
func (c *Cluster) logServers(old, now *directory.Snapshot) {
	for i := range now.Servers {
		v := &now.Servers[i]
		before := old.Find(v.Holder.ID)
		c.logLeaving(before, v)
		switch {
		case before == nil:
			c.logEvent(event.ServerFound(serverEvent(v, now)))
		case before.Holder != v.Holder:
			c.logEvent(event.ServerRestarted(serverEvent(v, now)))
		case before.State != v.State || before.Address != v.Address:
			c.logEvent(event.ServerChanged(serverEvent(v, now)))
		}
	}
	for i := range old.Servers {
		v := &old.Servers[i]
		if now.Find(v.Holder.ID) == nil {
			c.logLeaving(v, nil)
			c.logEvent(event.ServerGone(serverEvent(v, now)))
		}
	}
}

// logLeaving logs that a server begins or ceases to leave. What is known from its
// answers is logged when it is learnt.
func (c *Cluster) logLeaving(before, now *directory.Server) {
	if before != nil && before.State == directory.Draining {
		if why := whyNoLongerLeaving(before, now); why != "" {
			c.logEvent(event.ServerLeavingEnded{Server: before.Holder.ID, Born: before.Holder.StartedMS, Why: why})
		}
		if now == nil || now.Holder == before.Holder {
			return
		}
	}
	if now != nil && now.State == directory.Draining && !now.Leaving {
		c.logEvent(event.ServerLeaving{Server: now.Holder.ID, Born: now.Holder.StartedMS, Source: event.FromEntry})
	}
}

// whyNoLongerLeaving returns why a server that was leaving no longer is, or "" if it
// still is.
func whyNoLongerLeaving(before, now *directory.Server) string {
	switch {
	case now == nil:
		return "gone"
	case now.Holder != before.Holder:
		return "restarted"
	case now.State != directory.Draining:
		return "ready again"
	}
	return ""
}

// serverEvent describes a backend server for the log.
func serverEvent(v *directory.Server, s *directory.Snapshot) event.Server {
	return event.Server{
		ID:        v.Holder.ID,
		Born:      v.Holder.StartedMS,
		Service:   v.Service,
		Address:   v.Address,
		State:     string(v.State),
		Directory: s.Version.Change,
	}
}
