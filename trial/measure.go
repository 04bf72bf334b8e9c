package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/entry"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
	"github.com/lacewingsaddle/lacewingsaddle/loadgen"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

const (
	probedKeys        = 24
	probeInterval     = 25 * time.Millisecond
	ownerPollInterval = 20 * time.Millisecond
)

// Unavailable is how long the keys of the frozen server could not be served.
type Unavailable struct {
	Keys     int           `json:"keys"`                 // keys that were watched
	Longest  time.Duration `json:"longest_ns"`           // from the freeze to the first answer
	Median   time.Duration `json:"median_ns"`            // over the keys
	Unserved int           `json:"not_yet"`              // keys without an answer at the end
	Watched  time.Duration `json:"watched_ns,omitempty"` // length of the measurement
}

// keysOwnedBy returns up to n keys that a server owns in the view of one host.
func keysOwnedBy(h *entry.Host, service, server string, n int) []string {
	view := h.Control.Snapshot().View
	var keys []string
	for i := 0; len(keys) < n && i < 100*n; i++ {
		key := fmt.Sprintf("watched-%d", i)
		if _, route, ok := view.Route(service, key); ok && route.Server == server {
			keys = append(keys, key)
		}
	}
	return keys
}

// measureUnavailable sends lookups for each key at a fixed rate, whether or not
// the earlier ones have been answered, until each key has been answered once or
// ctx ends.
func (l *loadRunner) measureUnavailable(ctx context.Context, service string, keys []string) Unavailable {
	begun := time.Now()
	times := make([]time.Duration, len(keys))
	var wg sync.WaitGroup
	for i, key := range keys {
		wg.Go(func() { times[i] = l.timeToFirstAnswer(ctx, begun, l.d.prefix(service)+"/"+key, uint64(i)) })
	}
	wg.Wait()
	out := Unavailable{Keys: len(keys), Watched: time.Since(begun)}
	var answered []time.Duration
	for _, t := range times {
		if t == 0 {
			out.Unserved++
			continue
		}
		answered = append(answered, t)
	}
	if len(answered) > 0 {
		slices.Sort(answered)
		out.Longest = answered[len(answered)-1]
		out.Median = answered[len(answered)/2]
	}
	return out
}

// timeToFirstAnswer returns the time from begun to the first answer, or 0 when
// ctx ends before.
func (l *loadRunner) timeToFirstAnswer(ctx context.Context, begun time.Time, path string, seed uint64) time.Duration {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rng := rand.New(rand.NewPCG(seed, 2))
	first := make(chan time.Duration, 1)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for {
		host := l.pickHost(rng)
		r := loadgen.Request{Kind: profile.Lookup, Path: fmt.Sprintf("%s/%d", path, l.lastID.Add(1))}
		wg.Go(func() {
			if l.sender.Send(ctx, host, r).Outcome != fault.Answered {
				return
			}
			select {
			case first <- time.Since(begun):
			default:
			}
		})
		timer := time.NewTimer(probeInterval)
		select {
		case t := <-first:
			timer.Stop()
			return t
		case <-ctx.Done():
			timer.Stop()
			return 0
		case <-timer.C:
		}
	}
}

// Moves counts changes of ownership in the routes of one service.
type Moves struct {
	Shards        int `json:"shards"`   // shards of the service
	OwnedByFrozen int `json:"of"`       // shards that the frozen server owned
	Moved         int `json:"moved"`    // changes of a shard's owner
	Needless      int `json:"needless"` // changes of shards that the frozen server did not own
}

// countMoves counts changes of ownership in a host's routes until ctx ends.
func countMoves(ctx context.Context, h *entry.Host, service, frozen string) Moves {
	owners := shardOwners(h, service)
	m := Moves{Shards: len(owners)}
	ownedByFrozen := make([]bool, len(owners))
	for i, owner := range owners {
		ownedByFrozen[i] = owner == frozen
		if ownedByFrozen[i] {
			m.OwnedByFrozen++
		}
	}
	for wait.Sleep(ctx, ownerPollInterval) == nil {
		now := shardOwners(h, service)
		for i := range min(len(owners), len(now)) {
			if now[i] == owners[i] || now[i] == "" {
				continue
			}
			m.Moved++
			if !ownedByFrozen[i] {
				m.Needless++
			}
			owners[i] = now[i]
		}
	}
	return m
}

func shardOwners(h *entry.Host, service string) []string {
	sv := h.Control.Snapshot().View.Services[service]
	if sv == nil {
		return nil
	}
	owners := make([]string, len(sv.Routes))
	for i, r := range sv.Routes {
		owners[i] = r.Server
	}
	return owners
}

// imbalance returns the largest number of shards that one of the servers owns,
// divided by their mean. It is 0 when they own none.
func imbalance(h *entry.Host, service string, servers []string) float64 {
	counts := map[string]int{}
	for _, owner := range shardOwners(h, service) {
		counts[owner]++
	}
	total, largest := 0, 0
	for _, id := range servers {
		total += counts[id]
		largest = max(largest, counts[id])
	}
	if total == 0 {
		return 0
	}
	return float64(largest) * float64(len(servers)) / float64(total)
}
