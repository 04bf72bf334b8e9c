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

func (c *Cluster) load(ctx context.Context) {
	start := c.cfg.Clock()
	data, end, err := c.store.LoadAssignment(ctx)
	e := assigner.Loaded{Result: c.storeResult("load the assignment", err), Start: start, End: end}
	if err == nil && data != nil {
		rec := &assigner.Record{}
		if err := json.Unmarshal(data, rec); err != nil {
			c.write(event.RecordUnreadable{Error: err.Error()})
			e.Result = assigner.StoreFailed
		}
		e.Record = rec
	}
	c.post(func() {
		c.machine.StepLoaded(c.cfg.Clock(), e)
		c.wakeFollower()
	})
}

func (c *Cluster) append(ctx context.Context, a assigner.Append) {
	start := c.cfg.Clock()
	data, err := json.Marshal(a.Record)
	if err != nil {
		c.write(event.RecordUnwritable{Error: err.Error()})
		c.post(func() {
			c.machine.StepAppended(c.cfg.Clock(), assigner.Appended{Result: assigner.StoreFailed})
		})
		return
	}
	end, err := c.store.AppendAssignment(ctx, a.At, data)
	e := assigner.Appended{Result: c.storeResult("append an assignment", err), Start: start, End: end}
	c.write(event.AssignmentRecorded{
		Epoch:  a.Record.Epoch,
		Change: a.Record.Change,
		At:     a.At,
		Bytes:  len(data),
		TookMS: event.Millis(c.cfg.Clock() - start),
		Error:  event.ErrorText(err),
	})
	if err == nil {
		c.noteMoves(a)
	}
	c.post(func() { c.machine.StepAppended(c.cfg.Clock(), e) })
}

func (c *Cluster) confirm(ctx context.Context, from uint64) {
	start := c.cfg.Clock()
	end, err := c.store.AssignmentEnd(ctx, from)
	e := assigner.Confirmed{Result: c.storeResult("confirm the epoch", err), Start: start, End: end}
	c.post(func() { c.machine.StepConfirmed(c.cfg.Clock(), e) })
}

func (c *Cluster) noteMoves(a assigner.Append) {
	for _, m := range a.Moves {
		c.stats.Moves.Inc(1)
		c.write(event.RangeMoved{
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

// storeResult tells the machine how a call ended and logs a failure.
func (c *Cluster) storeResult(what string, err error) assigner.StoreResult {
	c.noteStore(what, err)
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

// outage counts the calls to the store that fail in a row.
type outage struct {
	mu     sync.Mutex
	since  time.Duration
	failed int
}

// noteStore notes how a call to the store ended. A conflict is an answer.
func (c *Cluster) noteStore(what string, err error) {
	if c.ctx.Err() != nil {
		return
	}
	c.stats.storeCall(err)
	if err == nil || fault.KindOf(err) == fault.LogConflict || fault.KindOf(err) == fault.LogGap {
		c.noteStoreAnswered()
		return
	}
	c.stats.StoreFails.Inc(1)
	now := c.cfg.Clock() // before the lock: a host that is paused here must not hold it
	c.outage.mu.Lock()
	defer c.outage.mu.Unlock()
	c.outage.failed++
	failed := event.StoreCall{Call: what, Error: err.Error()}
	if c.outage.failed == 1 {
		c.outage.since = now
		c.write(event.StoreLost(failed))
		return
	}
	c.write(event.StoreCallFailed(failed))
}

// awayAfter is the number of calls in a row that must fail before the store counts as
// away.
const awayAfter = 3

// storeAway reports whether the store is away for this host. The watch of the backend
// servers then tries alone whether it is back; it runs whenever this host reads the
// store itself.
func (c *Cluster) storeAway() bool {
	c.outage.mu.Lock()
	defer c.outage.mu.Unlock()
	return c.outage.failed >= awayAfter
}

func (c *Cluster) noteStoreAnswered() {
	now := c.cfg.Clock()
	c.outage.mu.Lock()
	defer c.outage.mu.Unlock()
	if c.outage.failed == 0 {
		return
	}
	c.write(event.StoreRegained{AfterMS: event.Millis(now - c.outage.since), Failed: c.outage.failed})
	c.outage.failed = 0
}
