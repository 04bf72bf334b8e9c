package cluster

import (
	"context"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
)

const (
	// configWait is the length of a long poll for a configuration. Together with
	// pollSlack it stays below the time within which a silent connection must be
	// detected.
	configWait = time.Second
	hostsWait  = 8 * time.Second
	pollSlack  = 700 * time.Millisecond
	// idleCheckPause is how often an idle watch checks whether this host must read the
	// store.
	idleCheckPause = 200 * time.Millisecond
	// storeReadDelay is how long the assigner must be silent before a host reads the
	// store itself. It grows with the number of hosts up to maxStoreReadDelay, so that
	// a takeover does not make all hosts read.
	storeReadDelay    = 700 * time.Millisecond
	maxStoreReadDelay = 1400 * time.Millisecond
	readTimeout       = 900 * time.Millisecond
	// minWatchRetry is the first pause after a failed read; it doubles.
	minWatchRetry = 250 * time.Millisecond
	// largeCluster is the number of hosts above which storeReadDelay grows.
	largeCluster = 20
)

// backoff is the pause between attempts, which doubles with each failure.
type backoff time.Duration

// next returns the pause after another failure, given the number of hosts.
func (b *backoff) next(hosts int) time.Duration {
	*b = min(max(2**b, backoff(minWatchRetry)), backoff(assigner.MaxRetryDelay(hosts)))
	return time.Duration(*b)
}

// readAfterSilence returns how long the assigner must be silent before a host reads
// the store itself, given the number of hosts.
func readAfterSilence(hosts int) time.Duration {
	return min(storeReadDelay*time.Duration(max(hosts, largeCluster))/largeCluster, maxStoreReadDelay)
}

// watchConfig keeps the configuration current while this host leads or hears no
// assigner. Otherwise the assigner sends it.
func (c *Cluster) watchConfig() {
	next, known := uint64(0), false
	var pause backoff
	for c.ctx.Err() == nil {
		if !c.mustReadStore() {
			known = false
			c.sleep(idleCheckPause)
			continue
		}
		if c.storeUnavailable() {
			c.sleep(idleCheckPause)
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
			c.recordStoreCall("read the configuration", err)
			c.sleep(pause.next(c.View().Hosts))
			continue
		}
		c.recordStoreCall("read the configuration", nil)
		pause = 0
		if data != nil {
			c.post(func() { c.applyConfig(data) })
		}
	}
}

// newestConfig reads the newest configuration and the offset after it.
func (c *Cluster) newestConfig() ([]byte, uint64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, readTimeout)
	defer cancel()
	return c.store.NewestConfig(ctx)
}

// readConfig waits for a configuration from an offset on. It returns nil if there is
// none.
func (c *Cluster) readConfig(next uint64) ([]byte, uint64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, configWait+pollSlack)
	defer cancel()
	data, after, err := c.store.ReadConfig(ctx, next, configWait)
	if err != nil {
		return nil, next, err
	}
	return data, after, nil
}

// watchHosts registers this host and reads the other registrations while it leads or
// hears no assigner.
func (c *Cluster) watchHosts() {
	registered, known := false, false
	var next uint64
	var pause backoff
	for c.ctx.Err() == nil {
		if registered && c.hostWatchIdle(known) {
			c.sleep(idleCheckPause)
			continue
		}
		hosts, after, err := c.readHosts(&registered, known, next)
		if err != nil {
			c.recordStoreCall("read the hosts", err)
			known = known && fault.KindOf(err) != fault.LogGap
			c.sleep(pause.next(c.View().Hosts))
			continue
		}
		c.recordStoreCall("read the hosts", nil)
		pause = 0
		known, next = true, after
		if len(hosts) > 0 {
			c.post(func() { c.applyHosts(hosts, after) })
		}
	}
}

// hostWatchIdle reports whether the watch of a registered host has nothing to read:
// the assigner sends the hosts, or the store is unavailable.
func (c *Cluster) hostWatchIdle(known bool) bool {
	if c.mustReadStore() {
		return c.storeUnavailable()
	}
	return known
}

// readHosts registers this host unless it is registered, and returns the registrations
// from an offset on, or all of them if none are known.
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

// mustReadStore reports whether this host must read the store itself, because it is
// the assigner or hears none.
func (c *Cluster) mustReadStore() bool {
	must, _ := query(c.ctx, c, func() bool {
		now := c.cfg.Clock()
		return c.machine.Leads(now) || c.machine.Silence(now) > readAfterSilence(len(c.hosts))
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

// sleep waits for d or until the cluster stops.
func (c *Cluster) sleep(d time.Duration) {
	_ = wait.Sleep(c.ctx, d) // callers check ctx themselves
}
