package cluster

import "sync/atomic"

// Counter counts events.
type Counter struct{ n atomic.Int64 }

// Add adds n.
func (c *Counter) Add(n int64) { c.n.Add(n) }

// Value returns the count.
func (c *Counter) Value() int64 { return c.n.Load() }
