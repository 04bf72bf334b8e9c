package cluster

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
)

// A host that stopped between two questions of its watch to the control goroutine panicked.
func TestStopWhileTheServerWatchAsks(t *testing.T) {
	for n := range 400 {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 1)
			var c *Cluster
			reads := 0
			clock := func() time.Duration {
				w.mu.Lock()
				defer w.mu.Unlock()
				if reads++; reads == n && c != nil {
					c.cancel()
				}
				return w.clock()
			}
			self := assigner.Host{Name: "h0", Incarnation: "1", Peer: "h0"}
			cfg := Config{Self: self, HoldMax: 10 * time.Second, Clock: clock}
			c = New(cfg, storeOf{w.store, "h0"}, w, peersOf{w, "h0"}, w.logger)
			c.Start()
			time.Sleep(5 * time.Second)
			c.Stop()
		})
	}
}
