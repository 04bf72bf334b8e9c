// Package grant keeps the fenced grants of backend servers alive.
//
// A service whose servers check grants runs keyed requests only under a grant.
// For each server one member of the cell, the first by rendezvous hash among
// those lately heard of, sends the grant and renews it. Safety does not depend
// on who that is: every host sends only routes in force, only while its view
// lease lasts, and no grant outlasts that lease. See "Leases" (Gray and
// Cheriton, 1989) for the time bound.
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
	// sendTimeout bounds one message to a backend server.
	sendTimeout = 80 * time.Millisecond
)

// Source gives the newest control state and the clock that its leases use.
type Source interface {
	Snapshot() *control.Snapshot
	Now() ownership.Instant
}

// serverKey names one server of one service.
type serverKey struct {
	service string
	server  string
}

// Keeper renews grants. It implements ownership.Holder and is safe for
// concurrent use.
type Keeper struct {
	source    Source
	transport http.RoundTripper
	mu        sync.Mutex
	servers   map[serverKey]*server
	services  map[string]*contents
	chosen    chosenFor // of the run goroutine, as is kept
	kept      []lessee
	stop      context.CancelFunc
	wait      sync.WaitGroup
}

// New returns a keeper that is not started. Its messages go over transport.
func New(source Source, transport http.RoundTripper) *Keeper {
	return &Keeper{
		source:    source,
		transport: transport,
		servers:   map[serverKey]*server{},
		services:  map[string]*contents{},
	}
}

// Start starts the goroutines. Stop ends them.
func (k *Keeper) Start() {
	ctx, stop := context.WithCancel(context.Background())
	k.stop = stop
	k.wait.Go(func() { k.run(ctx) })
}

// Stop ends the renewals and waits for the messages on their way.
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

// tick sends every message that is due.
func (k *Keeper) tick(ctx context.Context) {
	snap := k.source.Snapshot()
	if !snap.View.MayRoute(k.source.Now()) {
		return
	}
	k.choose(snap)
	for _, l := range k.kept {
		k.renew(ctx, l.key, l.address)
	}
	k.forget()
}

// lessee is a server that this host sends grants to.
type lessee struct {
	key     serverKey
	address string
}

// chosenFor is what the choice of lessees depends on.
type chosenFor struct {
	catalog *profile.Catalog
	applied ownership.Offset
	quiet   []ownership.MemberID
}

// choose works out which servers this host sends grants to, when that may have changed.
func (k *Keeper) choose(snap *control.Snapshot) {
	v := snap.View
	now := chosenFor{catalog: snap.Catalog, applied: v.Applied, quiet: v.Unresponsive}
	old := k.chosen
	if old.catalog == now.catalog && old.applied == now.applied && slices.Equal(old.quiet, now.quiet) {
		return
	}
	k.chosen = now
	k.kept = k.kept[:0]
	for name, s := range snap.Catalog.Services {
		p, ok := snap.Catalog.ProfileOf(name)
		if !ok || p.Key == nil || !s.Value.ChecksGrants {
			continue
		}
		for _, spec := range s.Value.Servers {
			key := serverKey{name, spec.ID}
			if keeps(v, key) {
				k.kept = append(k.kept, lessee{key: key, address: spec.Address})
			}
		}
	}
}

// keeps reports whether this host is the one to send grants to the server: the
// first by rendezvous hash among the members that are not quiet.
func keeps(v *ownership.View, key serverKey) bool {
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
		k.servers[key].done(k.source.Now(), m, sent, r, c)
	})
}

// prepare registers the server's next message as given and returns it. The
// snapshot is read under the lock that HeldUntil takes, so control, which
// publishes before it asks, either sees the message or keeps it from being sent.
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
	want := k.contentsOf(key.service, view).of(key.server)
	m, ok := s.next(now, snap.View.LeaseUntil, want, func(s *server) uint64 { return s.nextEpoch(snap.View) })
	return m, now, ok
}

func (k *Keeper) contentsOf(service string, view *ownership.ServiceView) *contents {
	c := k.services[service]
	if c == nil || c.view != view {
		c = newContents(view)
		k.services[service] = c
	}
	return c
}

// The layout of an epoch: the last offset in force, the host's count of contents
// on it, and a hash that tells hosts apart. Together they stay below 2^53, so
// that every JSON reader keeps them whole.
const (
	turnBits = 12
	hostBits = 12
)

// nextEpoch returns an epoch above all that this host used for the server.
func (s *server) nextEpoch(v *ownership.View) uint64 {
	if v.Active > s.active {
		s.active, s.turn = v.Active, 0
	} else {
		s.turn++
	}
	turn := min(s.turn, 1<<turnBits-1)
	host := xxhash.Sum64String(string(v.Self)) & (1<<hostBits - 1)
	return uint64(s.active)<<(turnBits+hostBits) | turn<<hostBits | host
}

// forget drops the servers to which nothing was sent for long.
func (k *Keeper) forget() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.source.Now()
	for key, s := range k.servers {
		s.expire(now)
		if !s.sending && len(s.given) == 0 && s.until+forgetAfter < now {
			delete(k.servers, key)
		}
	}
}

// forgetAfter is how long a server without grants is remembered.
const forgetAfter = time.Minute
