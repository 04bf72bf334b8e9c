package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// pollWait is how long one read of a stream waits for a new record.
const pollWait = 10 * time.Second

// fold is the state that results from one stream's records. Its methods run on
// the control goroutine.
type fold interface {
	// applied returns the offset of the last record applied.
	applied() tlog.Offset
	// apply applies the record after the last one applied.
	apply(now ownership.Instant, r tlog.Record)
	// checkpoint returns, for a checkpoint record, the last offset that its state
	// covers and a function that restores it. ok is false for other records.
	checkpoint(r tlog.Record) (through tlog.Offset, restore func(now ownership.Instant) error, ok bool)
	// onCaughtUp is called when every record that the log had at a read is applied.
	onCaughtUp()
}

// follower reads one stream in order and applies it on the control goroutine.
type follower struct {
	loop   *Loop
	stream string
	fold   fold

	mu     sync.Mutex
	cancel context.CancelFunc // ends the read in progress

	// The fields below belong to the control goroutine.

	// gap is true while the records after the last one applied are no longer in
	// the log. Later records are then buffered until a checkpoint, or a peer's
	// snapshot, covers the missing ones.
	gap      bool
	buffered []tlog.Record
	next     tlog.Offset // the next offset to read while gap is true
}

func newFollower(l *Loop, stream string, f fold) *follower {
	return &follower{loop: l, stream: stream, fold: f}
}

func (f *follower) run() {
	// The first read does not wait, so that an empty stream is recognised at once.
	wait := time.Duration(0)
	for f.loop.ctx.Err() == nil {
		from, err := call(f.loop.ctx, f.loop, func(ownership.Instant) tlog.Offset { return f.nextOffset() })
		if err != nil {
			return
		}
		batch, err := f.read(from, wait)
		switch {
		case err == nil:
			wait = pollWait
			f.onControl(func(now ownership.Instant) { f.foldBatch(now, from, batch) })
		case fault.KindOf(err) == fault.LogGap:
			f.onControl(func(ownership.Instant) { f.openGap(from, batch.First) })
		default:
			f.loop.sleep(retryDelay)
		}
	}
}

// onControl runs do on the control goroutine and waits for it, so that the
// follower reads no faster than the control goroutine applies.
func (f *follower) onControl(do func(now ownership.Instant)) {
	_, _ = call(f.loop.ctx, f.loop, func(now ownership.Instant) bool {
		do(now)
		return true
	})
}

func (f *follower) read(from tlog.Offset, wait time.Duration) (tlog.Batch, error) {
	ctx, cancel := context.WithCancel(f.loop.ctx)
	defer cancel()
	f.mu.Lock()
	f.cancel = cancel
	f.mu.Unlock()
	return f.loop.log.Read(ctx, f.stream, from, wait)
}

// interrupt cancels the read in progress, so that the next one starts at the
// fold's current offset.
func (f *follower) interrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

// nextOffset returns the next offset to read.
func (f *follower) nextOffset() tlog.Offset {
	if f.gap {
		return f.next
	}
	return f.fold.applied() + 1
}

// openGap continues at the oldest record that the log still keeps.
func (f *follower) openGap(wanted, first tlog.Offset) {
	f.loop.zap.Warn("control: records are missing, looking for a checkpoint",
		zap.String("stream", f.stream), zap.Uint64("wanted", uint64(wanted)), zap.Uint64("first", uint64(first)))
	f.gap = true
	f.buffered = nil
	f.next = first
}

// foldBatch applies a batch that was read from the given offset.
func (f *follower) foldBatch(now ownership.Instant, from tlog.Offset, batch tlog.Batch) {
	if from != f.nextOffset() {
		return // the fold was replaced while the read waited
	}
	for _, r := range batch.Records {
		f.foldRecord(now, r)
		f.next = r.Offset + 1
	}
	if !f.gap && f.fold.applied()+1 >= batch.Next {
		f.fold.onCaughtUp()
	}
}

func (f *follower) foldRecord(now ownership.Instant, r tlog.Record) {
	if !f.gap {
		f.fold.apply(now, r)
		return
	}
	f.buffered = append(f.buffered, r)
	// A peer's snapshot may have covered the gap in the meantime.
	if f.closesGap(f.fold.applied()) {
		f.closeGap(now)
		return
	}
	through, restore, ok := f.fold.checkpoint(r)
	if !ok || !f.closesGap(through) {
		return
	}
	if err := restore(now); err != nil {
		f.loop.zap.Warn("control: cannot restore a checkpoint", zap.String("stream", f.stream), zap.Error(err))
		return
	}
	f.loop.zap.Info("control: state restored from a checkpoint",
		zap.String("stream", f.stream), zap.Uint64("through", uint64(through)))
	f.closeGap(now)
}

// closesGap reports whether a state through the given offset leaves no record
// missing before the buffered ones.
func (f *follower) closesGap(through tlog.Offset) bool {
	return len(f.buffered) > 0 && through+1 >= f.buffered[0].Offset
}

// closeGap applies the buffered records that the restored state does not cover.
func (f *follower) closeGap(now ownership.Instant) {
	applied := f.fold.applied()
	for _, r := range f.buffered {
		if r.Offset > applied {
			f.fold.apply(now, r)
		}
	}
	f.gap = false
	f.buffered = nil
}
