package routing

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/backend"
	"github.com/lacewingsaddle/lacewingsaddle/control"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

// destination is the backend server of a request and, for keyed services, the
// route to it.
type destination struct {
	server *backend.Server
	shard  ownership.Shard
	route  ownership.Route
}

// locate returns the destination of q. While q's shard is moving to another
// server, it waits for new routes. Errors are of kind NoLease, NoOwner, Moving or
// Overloaded.
func (r *Router) locate(ctx context.Context, q *request) (destination, error) {
	if !q.keyed() {
		return r.chooseServer(q)
	}
	notifier, _ := r.deps.Source.(ChangeNotifier)
	for {
		// The channel is obtained before the snapshot is read, so that a change
		// between the two is not missed.
		var changed <-chan struct{}
		if notifier != nil {
			changed = notifier.Changed()
		}
		d, moving, err := r.resolve(r.deps.Source.Snapshot(), q)
		if err != nil || !moving {
			return d, err
		}
		if err := q.awaitChange(ctx, changed); err != nil {
			return destination{}, err
		}
	}
}

// chooseServer picks a server for a request to a service without keys.
func (r *Router) chooseServer(q *request) (destination, error) {
	server := backend.Choose(time.Now(), q.target.servers, r.deps.Domain, nil)
	if server == nil {
		return destination{}, fault.Newf(fault.NoOwner, "service %q has no servers", q.service())
	}
	return destination{server: server}, nil
}

// resolve reads the destination from a snapshot. moving is true while the shard
// is moving to another server.
func (r *Router) resolve(snap *control.Snapshot, q *request) (d destination, moving bool, err error) {
	if !r.mayRoute(snap.View, q) {
		return destination{}, false, noLease()
	}
	shard, route, ok := snap.View.Route(q.service(), q.key)
	if !ok {
		return destination{}, false, fault.Newf(fault.NoOwner, "service %q has no assignment", q.service())
	}
	if route.Held {
		return destination{}, true, nil
	}
	if route.Server == "" {
		return destination{}, false, fault.Newf(fault.NoOwner, "shard %d has no owner", shard)
	}
	server, err := q.server(route.Server)
	return destination{server: server, shard: shard, route: route}, false, err
}

// checkRoute returns an error when q may no longer be sent to d.
func (r *Router) checkRoute(q *request, d destination) *fault.Error {
	v := r.deps.Source.Snapshot().View
	if !r.mayRoute(v, q) {
		return noLease()
	}
	shard, route, ok := v.Route(q.service(), q.key)
	if !ok || shard != d.shard || route != d.route {
		return fault.New(fault.Moving, "the route changed before the request was sent")
	}
	return nil
}

// waitQueue counts the requests of one service that wait for new routes.
type waitQueue struct {
	waiting atomic.Int64
}

// awaitChange waits until changed is closed. Lookups may fill half of the queue,
// other requests all of it. Errors are of kind Moving or Overloaded.
func (q *request) awaitChange(ctx context.Context, changed <-chan struct{}) error {
	errMoving := fault.New(fault.Moving, "the key's shard is moving to another server")
	if changed == nil {
		return errMoving
	}
	limit := int64(q.target.profile.Limits.Queue)
	if !q.highPriority() {
		limit = max(1, limit/2)
	}
	w := q.target.queue
	defer w.waiting.Add(-1)
	if w.waiting.Add(1) > limit {
		return fault.New(fault.Overloaded, "too many requests wait for keys that are moving")
	}
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return errMoving
	}
}
