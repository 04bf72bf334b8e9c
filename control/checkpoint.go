package control

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

const (
	// DefaultRetention is assumed of a log whose retention is not told.
	DefaultRetention = 24 * time.Hour
	// checkpointShare is the part of the retention after which a checkpoint is renewed.
	checkpointShare = 3
	// rankShare is the part of the retention that each further host waits for
	// those ranked before it.
	rankShare = 100
	// maxTail is the number of records after which a checkpoint is renewed
	// whatever its age, so that a start reads a bounded number of records.
	maxTail = 4096
	// tailPerRank is how many more records each further host waits for.
	tailPerRank = 256
	// checkpointLooks is how often in the waiting time of one rank a host looks.
	checkpointLooks = 4
	minLook         = time.Second
)

// tail is what follows the newest checkpoint of a stream.
type tail struct {
	since   time.Time // the log's time of the checkpoint, or of the first record
	records int
}

// grow notes one folded record.
func (t *tail) grow(r tlog.Record, checkpoint bool) {
	if checkpoint || t.since.IsZero() {
		t.since = r.Time
	}
	t.records++
	if checkpoint {
		t.records = 0
	}
}

// due reports whether the host of the given rank should write a checkpoint.
func (t *tail) due(now time.Time, retention time.Duration, rank int) bool {
	if t.since.IsZero() {
		return false
	}
	wait := retention/checkpointShare + time.Duration(rank)*retention/rankShare
	return now.Sub(t.since) >= wait || t.records >= maxTail+rank*tailPerRank
}

// writeCheckpoints keeps a checkpoint in each stream well within the retention.
func (l *Loop) writeCheckpoints() {
	look := max(l.cfg.Retention/rankShare/checkpointLooks, minLook)
	for l.ctx.Err() == nil {
		l.sleep(look)
		l.writeOwnershipCheckpoint()
		l.writeCatalogCheckpoint()
	}
}

// mayWrite reports whether this host is a member under a lease that should
// write the checkpoint of a stream now.
func (l *Loop) mayWrite(now ownership.Instant, stream string, t *tail) bool {
	return l.view().MayRoute(now) && t.due(time.Now(), l.cfg.Retention, l.machine.Rank(stream))
}

func (l *Loop) writeOwnershipCheckpoint() {
	stream := tlog.OwnershipStream(l.cfg.Cell)
	r, err := ask(l.ctx, l, func(now ownership.Instant) *ownership.Record {
		if !l.mayWrite(now, stream, &l.ownershipTail) {
			return nil
		}
		r, err := l.machine.CheckpointRecord("the newest checkpoint is a third of the retention old")
		if err != nil {
			l.zap.Error("control: checkpoint cannot be written", zap.Error(err))
			return nil
		}
		return &r
	})
	if err == nil && r != nil {
		l.propose(*r)
	}
}

func (l *Loop) writeCatalogCheckpoint() {
	r, err := ask(l.ctx, l, func(now ownership.Instant) *profile.Record {
		if !l.mayWrite(now, tlog.ProfileStream, &l.catalogTail) {
			return nil
		}
		author := string(l.machine.Self().ID)
		id := fmt.Sprintf("%s#checkpoint-%d", author, l.catalog.Applied)
		r, err := l.catalog.EncodeCheckpoint(id, author, "the newest checkpoint is a third of the retention old")
		if err != nil {
			l.zap.Error("control: checkpoint cannot be written", zap.Error(err))
			return nil
		}
		return &r
	})
	if err != nil || r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, appendLife)
	defer cancel()
	if _, err := l.SubmitProfile(ctx, *r); err != nil {
		l.zap.Warn("control: checkpoint is not settled", zap.Error(err))
	}
}
