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
			c.logEvent(event.ServerGone(serverEvent(v, now)))
		}
	}
}

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
