// Package routing sends a caller's request to the backend server that owns its
// key and returns that server's answer. It reads snapshots of the control state
// and takes none of package control's locks.
//
// A request is matched to a service and a rule, and its key is extracted. An
// order with an id is claimed, so that duplicates are not sent. The request then
// waits for a slot at the owner and is sent: at most once, unless it certainly
// did not run or is idempotent. Every error is a *fault.Error whose kind
// determines the outcome that the caller is given.
package routing

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/backend"
	"github.com/lacewingsaddle/lacewingsaddle/control"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/hotkeys"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/steps"
)

// Source provides the current control state and the clock of its leases.
type Source interface {
	Snapshot() *control.Snapshot
	Now() ownership.Instant
}

// ChangeNotifier reports new routes. With a Source that implements it, requests
// for a moving shard wait for its new owner; with others they fail.
type ChangeNotifier interface {
	// Changed returns a channel that is closed at the next snapshot with
	// changed routes.
	Changed() <-chan struct{}
}

// Deps are the dependencies of a router. Source and Backends are required.
type Deps struct {
	Source   Source
	Backends *backend.Set
	InFlight *InFlight        // nil means a registry of the router's own
	HotKeys  hotkeys.Recorder // nil means that keys are not counted
	Peers    Peers            // nil means that nothing is forwarded
	Claims   Claimer          // nil means that orders cannot be claimed
	Domain   string           // this host's failure domain
	Steps    steps.Recorder   // nil means that the steps of requests are not recorded
}

// Router is the HTTP handler for callers' requests.
type Router struct {
	deps    Deps
	prefix  string // of request ids; random, hence unique to this router
	ids     atomic.Uint64
	matcher atomic.Pointer[matcher]
	build   sync.Mutex
}

// idPrefixBytes is the size of the random part of request ids.
const idPrefixBytes = 12

// New returns a router.
func New(deps Deps) *Router {
	if deps.InFlight == nil {
		deps.InFlight = NewInFlight()
	}
	var b [idPrefixBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return &Router{deps: deps, prefix: hex.EncodeToString(b[:]) + "-"}
}

// InFlight returns the registry of the requests that this router may have
// outstanding.
func (r *Router) InFlight() ownership.OutstandingTracker { return r.deps.InFlight }

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	r.handle(w, in, false)
}

// handle answers a request. forwarded tells that another entry host sent it.
func (r *Router) handle(w http.ResponseWriter, in *http.Request, forwarded bool) {
	q := &request{id: r.newID(), in: in, forwarded: forwarded}
	err := r.serve(w, q)
	r.recordFinished(q, err)
	if err != nil {
		WriteProblem(w, q.id, err)
	}
}

// newID returns a request id that no other request has.
func (r *Router) newID() string {
	return r.prefix + strconv.FormatUint(r.ids.Add(1), 36)
}

// serve writes the answer to a request, or returns the error of a request without one.
func (r *Router) serve(w http.ResponseWriter, q *request) error {
	snap := r.deps.Source.Snapshot()
	if err := q.match(r.matcherOf(snap.Catalog)); err != nil {
		return err
	}
	q.deadline = time.Now().Add(q.timeout())
	ctx, cancel := context.WithDeadline(q.in.Context(), q.deadline)
	defer cancel()
	if q.in.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(q.deadline)
	}
	if err := q.readBody(); err != nil {
		return err
	}
	if q.keyed() && r.deps.HotKeys != nil {
		r.deps.HotKeys.Record(q.service(), q.key)
	}
	a, err := r.answer(ctx, snap, q)
	if err != nil {
		return err
	}
	a.write(w, q)
	return nil
}

// answer returns the reply of a backend server or of another entry host.
func (r *Router) answer(ctx context.Context, snap *control.Snapshot, q *request) (*reply, error) {
	if q.keyed() && !r.mayRoute(snap.View, q) {
		return r.forward(ctx, snap.View, q)
	}
	if q.rule.Kind == profile.Order && q.in.Header.Get(HeaderOrderID) != "" {
		return r.dispatchOnce(ctx, snap.View, q)
	}
	return r.dispatch(ctx, q)
}

// mayRoute reports whether this host may send q to a backend server itself: it
// holds a view lease, or the rule allows lookups to be stale.
func (r *Router) mayRoute(v *ownership.View, q *request) bool {
	return v.MayRoute(r.deps.Source.Now()) || staleAllowed(q)
}

func staleAllowed(q *request) bool {
	return q.rule.Kind == profile.Lookup && q.rule.StaleAllowed
}

// matcherOf returns the matcher of a catalog, built at its first use, or that of
// a newer catalog.
func (r *Router) matcherOf(catalog *profile.Catalog) *matcher {
	if m := r.matcher.Load(); m != nil && m.catalog == catalog {
		return m
	}
	r.build.Lock()
	defer r.build.Unlock()
	old := r.matcher.Load()
	if old != nil && old.catalog == catalog {
		return old
	}
	// A slow request may still hold an older catalog; the newer matcher is kept.
	if old != nil && old.catalog.Applied >= catalog.Applied {
		return old
	}
	m := newMatcher(catalog, r.deps.Backends, old)
	r.matcher.Store(m)
	return m
}

func noLease() *fault.Error {
	return fault.New(fault.NoLease, "this host holds no view lease")
}
