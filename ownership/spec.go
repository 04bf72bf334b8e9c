package ownership

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/planner"
)

// ServiceSpec describes a service that is sharded by key.
type ServiceSpec struct {
	Name         string
	Shards       int
	Successors   int // successors per shard
	Servers      []planner.Server
	ChecksGrants bool
	// NonIdempotentTimeout is the longest time that a request that is not
	// idempotent may be in flight. A move away from servers that do not check
	// grants waits for it.
	NonIdempotentTimeout time.Duration
	Policy               planner.Policy
}
