package cluster

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

func (c *Cluster) load(ctx context.Context) {
	start := c.cfg.Clock()
	data, end, err := c.store.LoadAssignment(ctx)
	e := assigner.Loaded{Result: c.storeResult("load the assignment", err), Start: start, End: end}
	if err == nil && data != nil {
		rec := &assigner.Record{}
		if err := json.Unmarshal(data, rec); err != nil {
			c.logger.Error("cluster: unreadable assignment record", zap.Error(err))
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
		c.logger.Error("cluster: record not encodable", zap.Error(err))
		c.post(func() {
			c.machine.StepAppended(c.cfg.Clock(), assigner.Appended{Result: assigner.StoreFailed})
		})
		return
	}
	end, err := c.store.AppendAssignment(ctx, a.At, data)
	e := assigner.Appended{Result: c.storeResult("append an assignment", err), Start: start, End: end}
	c.logger.Info("cluster: assignment recorded", zap.Uint64("epoch", a.Record.Epoch),
		zap.Uint64("change", a.Record.Change), zap.Uint64("at", a.At), zap.Int("bytes", len(data)), zap.Error(err))
	c.post(func() { c.machine.StepAppended(c.cfg.Clock(), e) })
}

func (c *Cluster) confirm(ctx context.Context, from uint64) {
	start := c.cfg.Clock()
	end, err := c.store.AssignmentEnd(ctx, from)
	e := assigner.Confirmed{Result: c.storeResult("confirm the epoch", err), Start: start, End: end}
	c.post(func() { c.machine.StepConfirmed(c.cfg.Clock(), e) })
}

// storeResult tells the machine how a call ended and logs a failure.
func (c *Cluster) storeResult(what string, err error) assigner.StoreResult {
	c.stats.StoreCalls.Add(1)
	if err == nil {
		return assigner.StoreOK
	}
	c.stats.StoreFails.Add(1)
	c.logger.Warn("cluster: store call failed", zap.String("call", what), zap.Error(err))
	switch fault.KindOf(err) {
	case fault.LogConflict:
		return assigner.StoreConflict
	case fault.InDoubt:
		return assigner.StoreDoubt
	}
	return assigner.StoreFailed
}
