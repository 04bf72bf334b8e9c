package cluster

import (
	"context"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// configWait is the length of a long poll for a configuration. With
	// pollSlack it stays below the time in which a silent connection must show.
	configWait = time.Second
	hostsWait  = 8 * time.Second
	pollSlack  = 700 * time.Millisecond
	// serversEvery is the pause between reads of the backend servers' entries.
	serversEvery = 350 * time.Millisecond
	// idleCheck is how often a follower looks whether it must read itself.
	idleCheck = 200 * time.Millisecond
	// readAlone is how long the assigner may be silent before a host reads the
	// store itself.
	readAlone   = 700 * time.Millisecond
	readTimeout = 900 * time.Millisecond
	// watchRetry is the first pause after a read that failed, watchLongest the
	// longest.
	watchRetry   = 250 * time.Millisecond
	watchLongest = 900 * time.Millisecond
	// outageGap is the time of failing reads, and outageReads their number, that
	// count as an outage: a single lost packet does not.
	outageGap   = 1500 * time.Millisecond
	outageReads = 2
	// returnGrace is how long after an outage lapsed entries may still come back.
	returnGrace = 2300 * time.Millisecond
)

// backoff doubles the pause between attempts.
type backoff time.Duration

func (b *backoff) next() time.Duration {
	*b = min(max(2**b, backoff(watchRetry)), backoff(watchLongest))
	return time.Duration(*b)
}

// watchConfig keeps the configuration current while this host leads or hears no
// assigner; otherwise the assigner tells it.
func (c *Cluster) watchConfig() {
	next, known := uint64(0), false
	var pause backoff
	for c.ctx.Err() == nil {
		if !c.mustRead() {
			known = false
			c.sleep(idleCheck)
			continue
		}
		var data []byte
		var err error
		if !known {
			data, next, err = c.newestConfig()
			known = err == nil
		} else {
			data, next, err = c.readConfig(next)
			known = fault.KindOf(err) != fault.LogGap || err == nil
		}
		if err != nil {
			c.noteStore("read the configuration", err)
			c.sleep(pause.next())
			continue
		}
		c.noteStore("read the configuration", nil)
		pause = 0
		if data != nil {
			c.post(func() { c.takeConfig(data) })
		}
	}
}

func (c *Cluster) newestConfig() ([]byte, uint64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, readTimeout)
	defer cancel()
	return c.store.NewestConfig(ctx)
}

func (c *Cluster) readConfig(next uint64) ([]byte, uint64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, configWait+pollSlack)
	defer cancel()
	data, after, err := c.store.ReadConfig(ctx, next, configWait)
	if err != nil {
		return nil, next, err
	}
	return data, after, nil
}

// watchHosts registers this host, and learns of the others while it leads.
func (c *Cluster) watchHosts() {
	registered, known := false, false
	var next uint64
	var pause backoff
	for c.ctx.Err() == nil {
		if registered && known && !c.mustRead() {
			c.sleep(idleCheck)
			continue
		}
		hosts, after, err := c.readHosts(&registered, known, next)
		if err != nil {
			c.noteStore("read the hosts", err)
			known = known && fault.KindOf(err) != fault.LogGap
			c.sleep(pause.next())
			continue
		}
		c.noteStore("read the hosts", nil)
		pause = 0
		known, next = true, after
		if len(hosts) > 0 {
			c.post(func() { c.takeHosts(hosts, after) })
		}
	}
}

func (c *Cluster) readHosts(registered *bool, known bool, next uint64) ([]assigner.Host, uint64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, hostsWait+pollSlack)
	defer cancel()
	if !*registered {
		if err := c.store.RegisterHost(ctx, c.cfg.Self); err != nil {
			return nil, next, err
		}
		*registered = true
	}
	if !known {
		return c.store.AllHosts(ctx)
	}
	return c.store.ReadHosts(ctx, next, hostsWait)
}

// serverWatch is the state of the watch of the backend servers.
type serverWatch struct {
	snapshot *directory.Snapshot
	loaded   bool
	failing  time.Duration // since when reads fail, 0 when they do not
	failed   int           // reads that have failed since
	grace    time.Duration // until when lapsed entries are kept
	lapsed   map[string]bool
}

// watchServers reads the entries while this host leads or hears no assigner.
func (c *Cluster) watchServers() {
	w := &serverWatch{snapshot: &directory.Snapshot{}, lapsed: map[string]bool{}}
	var pause backoff
	for c.ctx.Err() == nil {
		if !c.mustRead() {
			w.loaded = false
			c.sleep(serversEvery)
			continue
		}
		epoch := c.leadingEpoch()
		if !w.loaded {
			w.snapshot = c.View().Servers
		}
		if epoch != 0 {
			w.snapshot = w.snapshot.WithEpoch(epoch)
		}
		before := w.snapshot.Version
		if err := c.readServers(w); err != nil {
			c.noteStore("read the backend servers", err)
			c.sleep(pause.next())
			continue
		}
		c.noteStore("read the backend servers", nil)
		pause = 0
		if epoch == 0 && w.snapshot.Version != before {
			w.snapshot = w.snapshot.WithEpoch(0) // found without the assigner
		}
		s := w.snapshot
		c.post(func() { c.takeServers(s) })
		c.sleep(serversEvery)
	}
}

// mustRead reports whether this host reads the store itself: as the assigner, or
// while it hears none.
func (c *Cluster) mustRead() bool {
	must, _ := query(c.ctx, c, func() bool {
		now := c.cfg.Clock()
		return c.machine.Leads(now) || c.machine.Silence(now) > readAlone
	})
	return must
}

// leadingEpoch returns the epoch in which this host is the assigner, or 0.
func (c *Cluster) leadingEpoch() uint64 {
	epoch, _ := query(c.ctx, c, func() uint64 {
		if !c.machine.Leads(c.cfg.Clock()) {
			return 0
		}
		return c.machine.Epoch()
	})
	return epoch
}

func (c *Cluster) readServers(w *serverWatch) error {
	ctx, cancel := context.WithTimeout(c.ctx, readTimeout)
	defer cancel()
	now := c.cfg.Clock()
	changes, next, full, err := c.fetchServers(ctx, w)
	if err != nil {
		if w.failing == 0 {
			w.failing = now
		}
		w.failed++
		return err
	}
	if w.failed >= outageReads && now-w.failing > outageGap {
		w.grace = now + returnGrace
		c.write(event.LapsesHeldBack{ForMS: event.Millis(returnGrace)})
	}
	w.failing, w.failed = 0, 0
	if full {
		w.snapshot = w.reload(changes, next, now)
	} else {
		w.snapshot = w.snapshot.Fold(w.holdBack(changes, now), next)
	}
	w.loaded = true
	if now >= w.grace && len(w.lapsed) > 0 {
		w.dropLapsed()
	}
	return nil
}

func (c *Cluster) fetchServers(ctx context.Context, w *serverWatch) ([]directory.Change, uint64, bool, error) {
	if w.loaded {
		changes, next, err := c.store.ReadServers(ctx, w.snapshot.Next)
		if err == nil || fault.KindOf(err) != fault.LogGap {
			return changes, next, false, err
		}
		c.write(event.HistoryGone{Error: err.Error()})
	}
	all, next, err := c.store.AllServers(ctx)
	return all, next, true, err
}

// reload replaces the directory. During the grace time entries that are missing
// are kept.
func (w *serverWatch) reload(all []directory.Change, next uint64, now time.Duration) *directory.Snapshot {
	if now >= w.grace {
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
	return w.snapshot.Merge(w.holdBack(all, now), next)
}

// holdBack holds removals back during the grace time.
func (w *serverWatch) holdBack(changes []directory.Change, now time.Duration) []directory.Change {
	out := changes[:0]
	for _, ch := range changes {
		if ch.Server == nil && now < w.grace {
			w.lapsed[ch.ID] = true
			continue
		}
		delete(w.lapsed, ch.ID)
		out = append(out, ch)
	}
	return out
}

func (w *serverWatch) dropLapsed() {
	var gone []directory.Change
	for id := range w.lapsed {
		gone = append(gone, directory.Change{ID: id})
	}
	clear(w.lapsed)
	w.snapshot = w.snapshot.Fold(gone, w.snapshot.Next)
}

// sleep waits for d or until the cluster stops.
func (c *Cluster) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}
