// Package cluster runs the control state of an entry host on a platform with a
// linearizable store: it watches the configuration, the backend servers and the
// other hosts, follows the assigner or is it, and publishes views for traffic.
//
// One goroutine owns the control state. Watchers, calls to the store and to
// backend servers run beside it and send their results to it.
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

// Store is the platform's store as the cluster needs it. Errors are of the
// fault kinds LogUnavailable (nothing was done), InDoubt (an append may have been
// done, or may yet be), LogConflict (the partition ends elsewhere), LogGap (the
// wanted records are gone) and BadRecord.
type Store interface {
	// LoadAssignment returns the newest record, nil when there is none, and
	// the partition's end.
	LoadAssignment(ctx context.Context) (data []byte, end uint64, err error)
	// AppendAssignment appends a record if the partition ends at an offset.
	AppendAssignment(ctx context.Context, at uint64, data []byte) (end uint64, err error)
	// AssignmentEnd returns the partition's end, which is not below from.
	AssignmentEnd(ctx context.Context, from uint64) (uint64, error)

	// AllServers returns the newest entry of each backend server.
	AllServers(ctx context.Context) (all []directory.Change, next uint64, err error)
	// ReadServers returns the changes from an offset on.
	ReadServers(ctx context.Context, from uint64) (changes []directory.Change, next uint64, err error)

	// NewestConfig returns the newest configuration, nil when there is none.
	NewestConfig(ctx context.Context) (data []byte, next uint64, err error)
	// ReadConfig waits for a configuration after an offset; data is nil when
	// none came in time.
	ReadConfig(ctx context.Context, from uint64, wait time.Duration) (data []byte, next uint64, err error)
	// DecodeConfig reads a configuration. Errors are of kind BadRecord.
	DecodeConfig(data []byte) (*routetable.Table, error)

	// RegisterHost makes this host known to the others.
	RegisterHost(ctx context.Context, h assigner.Host) error
	// AllHosts returns every registered host.
	AllHosts(ctx context.Context) (hosts []assigner.Host, next uint64, err error)
	// ReadHosts waits for registrations after an offset.
	ReadHosts(ctx context.Context, from uint64, wait time.Duration) (hosts []assigner.Host, next uint64, err error)
	// Close closes idle connections.
	Close()
}

// Peers carries messages to other entry hosts.
type Peers interface {
	Sync(ctx context.Context, addr string, q *hostlink.SyncRequest) (*hostlink.SyncResponse, error)
	Relay(ctx context.Context, addr string, call *hostlink.RelayRequest) (*hostlink.RelayResponse, error)
	Close()
}

// Backends sends grants and releases to backend servers.
type Backends interface {
	Grant(ctx context.Context, addr string, r keyrange.Range, hold time.Duration, handover string) (assigner.CallResult, error)
	Release(ctx context.Context, addr string, r keyrange.Range) (handover string, result assigner.CallResult, err error)
	// Probe connects and tells by its error whether a process listens at an address.
	Probe(ctx context.Context, addr string) error
	// Close closes idle connections.
	Close()
}
