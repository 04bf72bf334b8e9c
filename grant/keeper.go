// Package grant sends fenced grants to backend servers and renews them.
//
// A service whose servers check grants runs keyed requests only under a grant.
// For each server one member of the cell, the first by rendezvous hash among
// those that are responsive, sends the grant and renews it. Safety does not
// depend on which member that is: every host sends only routes in force, only
// while its view lease lasts, and no grant outlasts that lease. See "Leases"
// (Gray and Cheriton, 1989) for the time bound.
package grant

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingsaddle/lacewingsaddle/control"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

const (
	tickInterval = 20 * time.Millisecond
	// sendTimeout bounds the exchange of one message with a backend server.
	sendTimeout = 80 * time.Millisecond
)

// Source provides the newest control state and the clock that its leases use.
type Source interface {
	Snapshot() *control.Snapshot
	Now() ownership.Instant
}

// serverKey identifies one server of one service.
type serverKey struct {
	service string
	server  string
}

// Keeper sends grants to backend servers and renews them. It implements
// ownership.Holder and is safe for concurrent use.
type Keeper struct {
	source       Source
	transport    http.RoundTripper
	mu           sync.Mutex
	servers      map[serverKey]*server
	services     map[string]*serviceContents
	lesseeInputs choiceInputs // used only by the run goroutine, as is lessees
	lessees      []lessee
	stop         context.CancelFunc
	wait         sync.WaitGroup
}

// New returns a keeper that is not started. It sends messages over transport.
func New(source Source, transport http.RoundTripper) *Keeper {
	return &Keeper{
		source:    source,
		transport: transport,
		servers:   map[serverKey]*server{},
		services:  map[string]*serviceContents{},
	}
}

// Start starts the renewals. Stop ends them.
func (k *Keeper) Start() {
	ctx, stop := context.WithCancel(context.Background())
	k.stop = stop
	k.wait.Go(func() { k.run(ctx) })
}

// Stop ends the renewals and waits until no message is in flight.
func (k *Keeper) Stop() {
	if k.stop != nil {
		k.stop()
	}
	k.wait.Wait()
}

// OutstandingUntil implements ownership.Holder.
func (k *Keeper) OutstandingUntil(service string, shard ownership.Shard, below ownership.Token) ownership.Instant {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.source.Now()
	var until ownership.Instant
	for key, s := range k.servers {
		if key.service == service {
			until = max(until, s.heldUntil(shard, below))
		}
	}
	if until <= now {
		return 0
	}
	return until
}

func (k *Keeper) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.tick(ctx)
		}
	}
}

// tick sends every message that is due, unless this host may not route now.
func (k *Keeper) tick(ctx context.Context) {
	snap := k.source.Snapshot()
	if !snap.View.MayRoute(k.source.Now()) {
		return
	}
	k.chooseLessees(snap)
	for _, l := range k.lessees {
		k.renew(ctx, l.key, l.address)
	}
	k.dropIdle()
}

// lessee is a server that this host sends grants to.
type lessee struct {
	key     serverKey
	address string
}

// choiceInputs holds everything that the choice of lessees depends on.
type choiceInputs struct {
	catalog      *profile.Catalog
	applied      ownership.Offset
	unresponsive []ownership.MemberID
}

// chooseLessees updates the servers that this host sends grants to, if the inputs
// of that choice have changed.
func (k *Keeper) chooseLessees(snap *control.Snapshot) {
	v := snap.View
	now := choiceInputs{catalog: snap.Catalog, applied: v.Applied, unresponsive: v.Unresponsive}
	old := k.lesseeInputs
	if old.catalog == now.catalog && old.applied == now.applied && slices.Equal(old.unresponsive, now.unresponsive) {
		return
	}
	k.lesseeInputs = now
	k.lessees = k.lessees[:0]
	for name, s := range snap.Catalog.Services {
		p, ok := snap.Catalog.ProfileOf(name)
		if !ok || p.Key == nil || !s.Value.ChecksGrants {
			continue
		}
		for _, spec := range s.Value.Servers {
			key := serverKey{name, spec.ID}
			if isGrantor(v, key) {
				k.lessees = append(k.lessees, lessee{key: key, address: spec.Address})
			}
		}
	}
}

// isGrantor reports whether this host sends the grants of a server: it does if it is
// the first by rendezvous hash among the responsive members.
func isGrantor(v *ownership.View, key serverKey) bool {
	own := weight(v.Self, key)
	for _, m := range v.Members {
		if m.ID == v.Self || v.IsUnresponsive(m.ID) {
			continue
		}
		if w := weight(m.ID, key); w > own || w == own && m.ID > v.Self {
			return false
		}
	}
	return true
}

func weight(id ownership.MemberID, key serverKey) uint64 {
	return xxhash.Sum64String(key.service + "\x00" + key.server + "\x00" + string(id))
}

// renew sends the server's next message, if one is due.
func (k *Keeper) renew(ctx context.Context, key serverKey, address string) {
	m, sent, ok := k.prepare(key, address)
	if !ok {
		return
	}
	k.wait.Go(func() {
		r, c := k.send(ctx, key.service, address, m)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.servers[key].handleReply(k.source.Now(), m, sent, r, c)
	})
}

// prepare records the server's next message as issued and returns it. The
// snapshot is read under the lock that HeldUntil takes. Control publishes a
// snapshot before it calls HeldUntil, so either HeldUntil accounts for the
// message, or the message follows the new snapshot.
func (k *Keeper) prepare(key serverKey, address string) (message, ownership.Instant, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.servers[key]
	if s == nil {
		s = &server{service: key.service, id: key.server}
		k.servers[key] = s
	}
	if s.address != address {
		s.address, s.confirmed = address, false
		s.clock, s.clockless = nil, false
	}
	snap := k.source.Snapshot()
	now := k.source.Now()
	view := snap.View.Services[key.service]
	if !snap.View.MayRoute(now) || view == nil {
		return message{}, 0, false
	}
	want := k.serviceContentsOf(key.service, view).forServer(key.server)
	m, ok := s.nextMessage(now, snap.View.LeaseUntil, want, func(s *server) uint64 { return s.nextEpoch(snap.View) })
	return m, now, ok
}

func (k *Keeper) serviceContentsOf(service string, view *ownership.ServiceView) *serviceContents {
	c := k.services[service]
	if c == nil || c.view != view {
		c = newServiceContents(view)
		k.services[service] = c
	}
	return c
}

// An epoch consists of the active offset, the host's revision of the content at that
// offset, and a hash that distinguishes hosts. It stays below 2^53, so that JSON
// parsers which use floating-point numbers read it exactly.
const (
	revisionBits = 12
	hostBits     = 12
)

// nextEpoch returns an epoch above all that this host has used for the server.
func (s *server) nextEpoch(v *ownership.View) uint64 {
	if v.Active > s.active {
		s.active, s.revision = v.Active, 0
	} else {
		s.revision++
	}
	revision := min(s.revision, 1<<revisionBits-1)
	host := xxhash.Sum64String(string(v.Self)) & (1<<hostBits - 1)
	return uint64(s.active)<<(revisionBits+hostBits) | revision<<hostBits | host
}

// dropIdle removes the servers whose last grant ended more than idleRetention ago.
func (k *Keeper) dropIdle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.source.Now()
	for key, s := range k.servers {
		s.expire(now)
		if !s.sending && len(s.issued) == 0 && s.until+idleRetention < now {
			delete(k.servers, key)
		}
	}
}

// idleRetention is how long the state of a server without grants is kept.
const idleRetention = time.Minute
