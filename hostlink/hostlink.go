// Package hostlink carries messages between entry hosts over drpc. A host reports its
// load to the assigner and requests what is newer than the state it has. The assigner
// holds the request until it has updates to return or the requested wait is over.
package hostlink

import (
	"context"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// Names of the RPC methods.
const (
	syncMethod  = "/lacewingsaddle.hostlink.Hosts/Sync"
	relayMethod = "/lacewingsaddle.hostlink.Hosts/Relay"
)

// Handler answers the requests of other hosts.
type Handler interface {
	Sync(ctx context.Context, q *SyncRequest) (*SyncResponse, error)
	Relay(ctx context.Context, c *RelayRequest) (*RelayResponse, error)
}

// description registers Handler with a drpc mux.
type description struct{ report func(error) }

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 2 }

// Method implements drpc.Description.
func (d description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		receive := func(srv any, ctx context.Context, in1, _ any) (out drpc.Message, err error) {
			defer d.contain(&err)
			return srv.(Handler).Sync(ctx, in1.(*SyncRequest))
		}
		return syncMethod, codec(d), receive, Handler.Sync, true
	case 1:
		receive := func(srv any, ctx context.Context, in1, _ any) (out drpc.Message, err error) {
			defer d.contain(&err)
			return srv.(Handler).Relay(ctx, in1.(*RelayRequest))
		}
		return relayMethod, codec(d), receive, Handler.Relay, true
	}
	return "", nil, nil, nil, false
}

// contain turns a handler's panic into the error of its message, so that one message
// does not end the process.
func (d description) contain(err *error) {
	if v := recover(); v != nil {
		*err = fault.Newf(fault.Internal, "panic while a message was handled: %v", v)
		d.report(*err)
	}
}

// Serve answers requests on a listener until ctx ends. It calls report with each
// message that is invalid or whose handler panicked.
func Serve(ctx context.Context, lis net.Listener, h Handler, report func(error)) error {
	mux := drpcmux.New()
	if err := mux.Register(h, description{report}); err != nil {
		return fault.Wrap(fault.Internal, err, "register the host link")
	}
	options := drpcserver.Options{Manager: managerOptions(maxRequestBytes)}
	return drpcserver.NewWithOptions(mux, options).Serve(ctx, lis)
}

// managerOptions bounds the size of a received message.
func managerOptions(bytes int) drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: bytes}}
}
