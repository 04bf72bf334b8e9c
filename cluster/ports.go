// Package cluster runs the control state of an entry host on a platform with a
// linearizable store: it watches the configuration, the backend servers and the other
// hosts, acts as the assigner or follows it, and publishes the views by which traffic
// is routed.
//
// One goroutine owns the control state. Watches and calls to the store and to backend
// servers run in other goroutines and post their results to it.
package cluster

import (
	"context"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/hostlink"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
	"github.com/lacewingsaddle/lacewingsaddle/routetable"
)

// Store is the part of the platform's store that the cluster uses. Errors have one of
// the fault kinds LogUnavailable (nothing was done), InDoubt (an append may have been
// done or may still be done), LogConflict (the partition ends at another offset),
// LogGap (the requested records have been deleted) and BadRecord.
type Store interface {
	// LoadAssignment returns the newest record, or nil if there is none, and the end
	// of the partition.
	LoadAssignment(ctx context.Context) (data []byte, end uint64, err error)
	// AppendAssignment appends a record if the partition ends at the offset at.
	AppendAssignment(ctx context.Context, at uint64, data []byte) (end uint64, err error)
	// AssignmentEnd returns the end of the partition, which is at least from.
	AssignmentEnd(ctx context.Context, from uint64) (uint64, error)

	// AllServers returns the newest entry of each backend server.
	AllServers(ctx context.Context) (all []directory.Change, next uint64, err error)
	// ReadServers returns the changes at and after an offset.
	ReadServers(ctx context.Context, from uint64) (changes []directory.Change, next uint64, err error)

	// NewestConfig returns the newest configuration, or nil if there is none.
	NewestConfig(ctx context.Context) (data []byte, next uint64, err error)
	// ReadConfig waits for a configuration at or after an offset; data is nil if none
	// arrived in time.
	ReadConfig(ctx context.Context, from uint64, wait time.Duration) (data []byte, next uint64, err error)
	// DecodeConfig decodes a configuration. Errors are of kind BadRecord.
	DecodeConfig(data []byte) (*routetable.Table, error)

	// RegisterHost registers this host, so that the other hosts can find it.
	RegisterHost(ctx context.Context, h assigner.Host) error
	// AllHosts returns every registered host.
	AllHosts(ctx context.Context) (hosts []assigner.Host, next uint64, err error)
	// ReadHosts waits for registrations at or after an offset.
	ReadHosts(ctx context.Context, from uint64, wait time.Duration) (hosts []assigner.Host, next uint64, err error)
	// Close closes idle connections.
	Close()
}

// Peers sends messages to other entry hosts.
type Peers interface {
	Sync(ctx context.Context, addr string, q *hostlink.SyncRequest) (*hostlink.SyncResponse, error)
	Relay(ctx context.Context, addr string, call *hostlink.RelayRequest) (*hostlink.RelayResponse, error)
	Close()
}

// GrantAnswer is the outcome of a grant.
type GrantAnswer struct {
	Result  assigner.CallResult
	Leaving bool // the server answered that it leaves
	// Attributed is set if the answer is certainly to this call, and not once more the one
	// to an earlier call.
	Attributed bool
}

// ReleaseAnswer is the outcome of a release.
type ReleaseAnswer struct {
	Result   assigner.CallResult
	Handover string // token of the holder's state; empty unless the release was done
	Leaving  bool   // the server answered that it leaves
}

// Backends sends grants and releases to backend servers.
type Backends interface {
	// Grant makes a grant. If it is decisive, its answer is attributed to it where that is
	// possible, at the cost of a new connection.
	Grant(ctx context.Context, g assigner.Grant) (GrantAnswer, error)
	Release(ctx context.Context, addr string, r keyrange.Range) (ReleaseAnswer, error)
	// Probe connects to an address. The error tells whether a process listens there.
	Probe(ctx context.Context, addr string) error
	// Close closes idle connections.
	Close()
}
