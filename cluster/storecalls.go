package cluster

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// load reads the newest record.
func (c *Cluster) load(ctx context.Context) {
	start := c.cfg.Clock()
	data, end, err := c.store.LoadAssignment(ctx)
	e := assigner.Loaded{Result: c.storeResult("load the assignment", err), Start: start, End: end}
	if err == nil && data != nil {
		rec := &assigner.Record{}
		if err := json.Unmarshal(data, rec); err != nil {
			c.logEvent(event.RecordUnreadable{Error: err.Error()})
			e.Result = assigner.StoreFailed
		}
		e.Record = rec
	}
	c.post(func() {
		if e.Result == assigner.StoreOK && e.Record != nil {
			c.learnRecorded(e.Record.Leaving)
		}
		c.machine.StepLoaded(c.cfg.Clock(), e)
		c.wakeFollower()
	})
}

// append appends a record.
func (c *Cluster) append(ctx context.Context, a assigner.Append) {
	start := c.cfg.Clock()
	data, err := json.Marshal(a.Record)
	if err != nil {
		c.logEvent(event.RecordUnwritable{Error: err.Error()})
		c.post(func() {
			c.machine.StepAppended(c.cfg.Clock(), assigner.Appended{Result: assigner.StoreFailed})
		})
		return
	}
	end, err := c.store.AppendAssignment(ctx, a.At, data)
	e := assigner.Appended{Result: c.storeResult("append an assignment", err), Start: start, End: end}
	c.logEvent(event.AssignmentRecorded{
		Epoch:  a.Record.Epoch,
		Change: a.Record.Change,
		At:     a.At,
		Bytes:  len(data),
		TookMS: event.Millis(c.cfg.Clock() - start),
		Error:  event.ErrorText(err),
	})
	if err == nil {
		c.logMoves(a)
	}
	c.post(func() { c.machine.StepAppended(c.cfg.Clock(), e) })
}

// confirm reads the end of the partition.
func (c *Cluster) confirm(ctx context.Context, from uint64) {
	start := c.cfg.Clock()
	end, err := c.store.AssignmentEnd(ctx, from)
	e := assigner.Confirmed{Result: c.storeResult("confirm the epoch", err), Start: start, End: end}
	c.post(func() { c.machine.StepConfirmed(c.cfg.Clock(), e) })
}

// logMoves logs and counts the changes of owner in a record.
func (c *Cluster) logMoves(a assigner.Append) {
	for _, m := range a.Moves {
		c.stats.Moves.Inc(1)
		c.logEvent(event.RangeMoved{
			Service:  m.Service,
			From:     uint16(m.Range.From),
			To:       uint16(m.Range.To),
			Owner:    m.Range.Owner.ID,
			Before:   m.Before.ID,
			Fence:    uint64(m.Range.Fence),
			Why:      string(m.Cause),
			Load:     m.Load,
			OwnerUse: m.RelativeLoad,
			Epoch:    a.Record.Epoch,
			Change:   a.Record.Change,
		})
	}
}

// storeResult logs a failed call and converts its error for the machine.
func (c *Cluster) storeResult(what string, err error) assigner.StoreResult {
	c.recordStoreCall(what, err)
	switch {
	case err == nil:
		return assigner.StoreOK
	case fault.KindOf(err) == fault.LogConflict, fault.KindOf(err) == fault.LogGap:
		return assigner.StoreConflict
	case fault.KindOf(err) == fault.InDoubt:
		return assigner.StoreInDoubt
	}
	return assigner.StoreFailed
}

// outage tracks consecutive failed calls to the store.
type outage struct {
	mu     sync.Mutex
	since  time.Duration
	failed int
}

// recordStoreCall records the result of a call to the store. A conflict counts as an
// answer.
func (c *Cluster) recordStoreCall(what string, err error) {
	if c.ctx.Err() != nil {
		return
	}
	c.stats.countStoreCall(err)
	if err == nil || fault.KindOf(err) == fault.LogConflict || fault.KindOf(err) == fault.LogGap {
		c.recordStoreAnswered()
		return
	}
	c.stats.StoreFails.Inc(1)
	now := c.cfg.Clock() // before the lock, so that a host paused while reading the clock does not hold it
	c.outage.mu.Lock()
	defer c.outage.mu.Unlock()
	c.outage.failed++
	failed := event.StoreCall{Call: what, Error: err.Error()}
	if c.outage.failed == 1 {
		c.outage.since = now
		c.logEvent(event.StoreLost(failed))
		return
	}
	c.logEvent(event.StoreCallFailed(failed))
}

// unavailableAfter is the number of consecutive failed calls after which the store
// counts as unavailable.
const unavailableAfter = 3

// storeUnavailable reports whether the store is unavailable to this host. Only the
// watch of the backend servers then retries; it runs whenever this host reads the
// store itself.
func (c *Cluster) storeUnavailable() bool {
	c.outage.mu.Lock()
	defer c.outage.mu.Unlock()
	return c.outage.failed >= unavailableAfter
}

// recordStoreAnswered ends an outage of the store, if there was one.
func (c *Cluster) recordStoreAnswered() {
	now := c.cfg.Clock()
	c.outage.mu.Lock()
	defer c.outage.mu.Unlock()
	if c.outage.failed == 0 {
		return
	}
	c.logEvent(event.StoreRegained{AfterMS: event.Millis(now - c.outage.since), Failed: c.outage.failed})
	c.outage.failed = 0
}
