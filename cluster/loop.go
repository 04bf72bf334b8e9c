package cluster

import (
	"context"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/event"
)

// post queues f for the control goroutine.
func (c *Cluster) post(f func()) {
	select {
	case c.events <- f:
	case <-c.ctx.Done():
	}
}

// query runs f in the control goroutine and returns its result. ok is false if the
// cluster stopped, ctx ended first or f panicked.
func query[T any](ctx context.Context, c *Cluster, f func() T) (found T, ok bool) {
	got := make(chan T, 1)
	c.post(func() {
		defer close(got) // f may panic
		got <- f()
	})
	select {
	case found, ok = <-got:
		return found, ok
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return found, false
}

// run is the loop of the control goroutine.
func (c *Cluster) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case f := <-c.events:
			f()
		case <-timer.C:
			timer.Reset(c.tickTime())
		}
		now := c.cfg.Clock()
		if now-c.tickedAt >= minTickInterval {
			c.tickedAt = now
			c.machine.Tick(now)
		}
		c.runActions(now)
		c.updateRole(now)
	}
}

// tickTime returns the interval between ticks.
func (c *Cluster) tickTime() time.Duration {
	if c.leading {
		return tickLeading
	}
	return tickFollowing
}

// updateRole records whether this host leads and since when confirmations fail.
func (c *Cluster) updateRole(now time.Duration) {
	leads := c.machine.Leads(now)
	if leads {
		c.confirmed.Store(int64(now))
	}
	if c.machine.StoreDegraded(now) && c.failingSince == 0 {
		c.failingSince = now
	} else if !c.machine.StoreDegraded(now) {
		c.failingSince = 0
	}
	if leads == c.leading {
		return
	}
	c.leading = leads
	c.views.update(func(v *View) { v.Leads = leads })
	c.stats.Epochs.Inc(1)
	c.logEvent(event.RoleChanged{Assigner: leads, Epoch: c.machine.Epoch(), SilenceMS: event.Millis(c.machine.Silence(now))})
	c.wakeFollower()
}

// wakeFollower ends the pause of follow.
func (c *Cluster) wakeFollower() {
	select {
	case c.followerWake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// runActions carries out the machine's actions.
func (c *Cluster) runActions(now time.Duration) {
	for _, a := range c.machine.Ready() {
		switch a := a.(type) {
		case assigner.Load:
			c.goWithTimeout(loadTimeout, c.load)
		case assigner.Append:
			c.goWithTimeout(appendTimeout, func(ctx context.Context) { c.append(ctx, a) })
		case assigner.Confirm:
			end := c.machine.End()
			c.goWithTimeout(confirmTimeout, func(ctx context.Context) { c.confirm(ctx, end) })
		case assigner.Grant:
			c.goWithTimeout(assigner.MaxGrantDelay, func(context.Context) { c.grant(now, a) })
		case assigner.Release:
			c.goWithTimeout(releaseTimeout, func(ctx context.Context) { c.release(ctx, a) })
		case assigner.Publish:
			c.applyMap(a.Map)
		case assigner.Admit:
			c.applyAdmission(&a.Admission)
		case assigner.FullBegun:
			c.stats.ServersFull.Inc(1)
			c.logEvent(event.ServerFull{Server: a.Server.ID, Born: a.Server.StartedMS, From: a.From, ForMS: event.Millis(a.For)})
		case assigner.FullEnded:
			c.logEvent(event.ServerFullEnded{Server: a.Server.ID, Born: a.Server.StartedMS})
		case assigner.ProbeSuspects:
			c.requestProbes(a.Suspects)
		}
	}
}

// goWithTimeout runs f in a goroutine of its own with a timeout.
func (c *Cluster) goWithTimeout(limit time.Duration, f func(context.Context)) {
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		ctx, cancel := context.WithTimeout(c.ctx, limit)
		defer cancel()
		f(ctx)
	}()
}
