package cluster

import (
	"context"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
)

const (
	// configWait is the length of a long poll for a configuration. With
	// pollSlack it stays below the time in which a silent connection must show.
	configWait = time.Second
	hostsWait  = 8 * time.Second
	pollSlack  = 700 * time.Millisecond
	// idleCheck is how often a follower looks whether it must read itself.
	idleCheck = 200 * time.Millisecond
	// readAlone is how long the assigner may be silent before a host reads the
	// store itself, readAloneCrowd the same among very many hosts: a takeover must not
	// make all of them read.
	readAlone      = 700 * time.Millisecond
	readAloneCrowd = 1400 * time.Millisecond
	readTimeout    = 900 * time.Millisecond
	// watchRetry is the first pause after a read that failed.
	watchRetry = 250 * time.Millisecond
	// crowd is the number of hosts from which each waits longer before it reads alone.
	crowd = 20
)

// backoff doubles the pause between attempts.
type backoff time.Duration

// next returns the pause after one more failure of one of so many hosts.
func (b *backoff) next(hosts int) time.Duration {
	*b = min(max(2**b, backoff(watchRetry)), backoff(assigner.MaxRetryDelay(hosts)))
	return time.Duration(*b)
}

// aloneAfter returns how long the assigner may be silent before one of so many hosts
// reads the store itself.
func aloneAfter(hosts int) time.Duration {
	return min(readAlone*time.Duration(max(hosts, crowd))/crowd, readAloneCrowd)
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
		if c.storeAway() {
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
			c.sleep(pause.next(c.View().Hosts))
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
		if registered && c.hostsRest(known) {
			c.sleep(idleCheck)
			continue
		}
		hosts, after, err := c.readHosts(&registered, known, next)
		if err != nil {
			c.noteStore("read the hosts", err)
			known = known && fault.KindOf(err) != fault.LogGap
			c.sleep(pause.next(c.View().Hosts))
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

// hostsRest reports whether the watch of a registered host has nothing to read: the
// assigner tells it, or the store is away.
func (c *Cluster) hostsRest(known bool) bool {
	if c.mustRead() {
		return c.storeAway()
	}
	return known
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

// mustRead reports whether this host reads the store itself: as the assigner, or
// while it hears none.
func (c *Cluster) mustRead() bool {
	must, _ := query(c.ctx, c, func() bool {
		now := c.cfg.Clock()
		return c.machine.Leads(now) || c.machine.Silence(now) > aloneAfter(len(c.hosts))
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
	_ = wait.Sleep(c.ctx, d) // whoever waits looks at ctx itself
}
