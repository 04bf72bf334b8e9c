package cluster

import (
	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
)

// logServers writes a line for each backend server that came, left, or changed
// its state or life.
func (c *Cluster) logServers(old, now *directory.Snapshot) {
	for i := range now.Servers {
		v := &now.Servers[i]
		before := old.Find(v.Holder.ID)
		switch {
		case before == nil:
			c.logServer("backend server found", v, now)
		case before.Holder != v.Holder:
			c.logServer("backend server restarted", v, now)
		case before.State != v.State || before.Address != v.Address:
			c.logServer("backend server changed", v, now)
		}
	}
	for i := range old.Servers {
		v := &old.Servers[i]
		if now.Find(v.Holder.ID) == nil {
			c.logServer("backend server gone", v, now)
		}
	}
}

func (c *Cluster) logServer(what string, v *directory.Server, s *directory.Snapshot) {
	c.logger.Info("cluster: "+what, zap.String("server", v.Holder.ID), zap.Int64("born", v.Holder.Born),
		zap.String("service", v.Service), zap.String("address", v.Address), zap.String("state", string(v.State)),
		zap.Uint64("directory", s.Version.Change))
}
