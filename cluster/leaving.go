package cluster

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// AddLeaving reports that a backend server answered that it leaves.
func (c *Cluster) AddLeaving(keyrange.Holder) {}

// AddFull reports that a backend server wants no requests from this host until then.
func (c *Cluster) AddFull(keyrange.Holder, time.Time) {}
