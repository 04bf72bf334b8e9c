package cluster

import (
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/event"
)

// logServers writes a line for each backend server that came, left, or changed
// its state or life.
func (c *Cluster) logServers(old, now *directory.Snapshot) {
	for i := range now.Servers {
		v := &now.Servers[i]
		before := old.Find(v.Holder.ID)
		switch {
		case before == nil:
			c.write(event.ServerFound(serverLine(v, now)))
		case before.Holder != v.Holder:
			c.write(event.ServerRestarted(serverLine(v, now)))
		case before.State != v.State || before.Address != v.Address:
			c.write(event.ServerChanged(serverLine(v, now)))
		}
	}
	for i := range old.Servers {
		v := &old.Servers[i]
		if now.Find(v.Holder.ID) == nil {
			c.write(event.ServerGone(serverLine(v, now)))
		}
	}
}

func serverLine(v *directory.Server, s *directory.Snapshot) event.Server {
	return event.Server{
		ID:        v.Holder.ID,
		Born:      v.Holder.StartedMS,
		Service:   v.Service,
		Address:   v.Address,
		State:     string(v.State),
		Directory: s.Version.Change,
	}
}
