package cluster

import (
	"context"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// serversReadPause is the pause between reads of the backend servers' entries.
	serversReadPause = 350 * time.Millisecond
	// Failing reads count as an outage if they last longer than minOutage and are at
	// least minOutageReads, so that a single lost packet does not count.
	minOutage      = 1500 * time.Millisecond
	minOutageReads = 2
	// returnGrace is the time after an outage during which removals are deferred:
	// servers whose entries lapsed may write them again.
	returnGrace = 2300 * time.Millisecond
)

// serverWatch is the state of the watch on the backend servers.
type serverWatch struct {
	snapshot     *directory.Snapshot
	loaded       bool
	failingSince time.Duration // time of the first of the failing reads, 0 if none fails
	failedReads  int           // failed reads since then
	graceUntil   time.Duration // end of the grace period in which lapsed entries are kept
	lapsed       map[string]bool
}

// watchServers reads the servers' entries while this host leads or hears no assigner.
func (c *Cluster) watchServers() {
	w := &serverWatch{snapshot: &directory.Snapshot{}, lapsed: map[string]bool{}}
	var pause backoff
	for c.ctx.Err() == nil {
		if !c.mustReadStore() {
			w.loaded = false
			c.sleep(serversReadPause)
			continue
		}
		epoch := c.leadingEpoch()
		if !w.loaded {
			known, ok := query(c.ctx, c, func() *directory.Snapshot { return c.directory })
			if !ok {
				continue // the cluster stops
			}
			w.snapshot = known
		}
		if epoch != 0 {
			w.snapshot = w.snapshot.WithEpoch(epoch)
		}
		before := w.snapshot.Version
		if err := c.readServers(w); err != nil {
			c.recordStoreCall("read the backend servers", err)
			c.sleep(pause.next(c.View().Hosts))
			continue
		}
		c.recordStoreCall("read the backend servers", nil)
		pause = 0
		if epoch == 0 && w.snapshot.Version != before {
			w.snapshot = w.snapshot.WithEpoch(0) // read without an assigner: a version of this host's own
		}
		s := w.snapshot
		c.post(func() { c.applyServers(s) })
		c.sleep(serversReadPause)
	}
}

// readServers reads what has changed in the servers' entries and updates w.
func (c *Cluster) readServers(w *serverWatch) error {
	ctx, cancel := context.WithTimeout(c.ctx, readTimeout)
	defer cancel()
	now := c.cfg.Clock()
	changes, next, full, err := c.fetchServers(ctx, w)
	if err != nil {
		if w.failingSince == 0 {
			w.failingSince = now
		}
		w.failedReads++
		return err
	}
	if w.failedReads >= minOutageReads && now-w.failingSince > minOutage {
		w.graceUntil = now + returnGrace
		c.logEvent(event.ExpiryDeferred{ForMS: event.Millis(returnGrace)})
	}
	w.failingSince, w.failedReads = 0, 0
	if full {
		w.snapshot = w.reload(changes, next, now)
	} else {
		w.snapshot = w.snapshot.Fold(w.deferRemovals(changes, now), next)
	}
	w.loaded = true
	if now >= w.graceUntil && len(w.lapsed) > 0 {
		w.dropLapsed()
	}
	return nil
}

// fetchServers returns the changes since the last read and the offset after them. full
// is set if they are all entries instead.
func (c *Cluster) fetchServers(ctx context.Context, w *serverWatch) (changes []directory.Change, next uint64, full bool, err error) {
	if w.loaded {
		changes, next, err := c.store.ReadServers(ctx, w.snapshot.Next)
		if err == nil || fault.KindOf(err) != fault.LogGap {
			return changes, next, false, err
		}
		c.logEvent(event.DirectoryGap{Error: err.Error()})
	}
	all, next, err := c.store.AllServers(ctx)
	return all, next, true, err
}

// reload replaces the directory. During the grace period missing entries are kept.
func (w *serverWatch) reload(all []directory.Change, next uint64, now time.Duration) *directory.Snapshot {
	if now >= w.graceUntil {
		return w.snapshot.Reload(all, next)
	}
	listed := make(map[string]bool, len(all))
	for _, ch := range all {
		listed[ch.ID] = true
	}
	for _, v := range w.snapshot.Servers {
		if !listed[v.Holder.ID] {
			w.lapsed[v.Holder.ID] = true
		}
	}
	return w.snapshot.Merge(w.deferRemovals(all, now), next)
}

// deferRemovals filters out removals during the grace period and remembers them in
// lapsed.
func (w *serverWatch) deferRemovals(changes []directory.Change, now time.Duration) []directory.Change {
	out := changes[:0]
	for _, ch := range changes {
		if ch.Server == nil && now < w.graceUntil {
			w.lapsed[ch.ID] = true
			continue
		}
		delete(w.lapsed, ch.ID)
		out = append(out, ch)
	}
	return out
}

// dropLapsed removes the entries that were not written again in the grace period.
func (w *serverWatch) dropLapsed() {
	var gone []directory.Change
	for id := range w.lapsed {
		gone = append(gone, directory.Change{ID: id})
	}
	clear(w.lapsed)
	w.snapshot = w.snapshot.Fold(gone, w.snapshot.Next)
}
