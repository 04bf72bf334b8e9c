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
	// DefaultRetention is assumed when the log's retention is not configured.
	DefaultRetention = 24 * time.Hour
	// checkpointDivisor: a checkpoint is renewed once it is older than the
	// retention divided by this.
	checkpointDivisor = 3
	// rankDivisor: for each host ranked before it, a host waits for the
	// retention divided by this longer, so that one host writes a checkpoint.
	rankDivisor = 100
	// maxTailRecords is the number of records after which a checkpoint is renewed
	// whatever its age, so that a starting host reads a bounded number of records.
	maxTailRecords = 4096
	// tailPerRank is how many more records a host waits for, for each host
	// ranked before it.
	tailPerRank = 256
	// checksPerRank is how often a host checks within the waiting time of one rank.
	checksPerRank    = 4
	minCheckInterval = time.Second
)

// tail describes the records after the newest checkpoint of a stream.
type tail struct {
	since   time.Time // when the log took the checkpoint or, without one, the first record
	records int
}

// add counts one applied record. It starts anew at a checkpoint.
func (t *tail) add(r tlog.Record, checkpoint bool) {
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
	wait := retention/checkpointDivisor + time.Duration(rank)*retention/rankDivisor
	return now.Sub(t.since) >= wait || t.records >= maxTailRecords+rank*tailPerRank
}

// writeCheckpoints keeps a checkpoint in each stream well within the retention.
func (l *Loop) writeCheckpoints() {
	interval := max(l.cfg.Retention/rankDivisor/checksPerRank, minCheckInterval)
	for l.ctx.Err() == nil {
		l.sleep(interval)
		l.writeOwnershipCheckpoint()
		l.writeCatalogCheckpoint()
	}
}

// checkpointDue reports whether this host is a member with a lease and should
// write the checkpoint of a stream now.
func (l *Loop) checkpointDue(now ownership.Instant, stream string, t *tail) bool {
	return l.view().MayRoute(now) && t.due(time.Now(), l.cfg.Retention, l.machine.Rank(stream))
}

func (l *Loop) writeOwnershipCheckpoint() {
	stream := tlog.OwnershipStream(l.cfg.Cell)
	r, err := call(l.ctx, l, func(now ownership.Instant) *ownership.Record {
		if !l.checkpointDue(now, stream, &l.ownershipTail) {
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
	r, err := call(l.ctx, l, func(now ownership.Instant) *profile.Record {
		if !l.checkpointDue(now, tlog.ProfileStream, &l.catalogTail) {
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
	ctx, cancel := context.WithTimeout(l.ctx, submitTimeout)
	defer cancel()
	if _, err := l.SubmitProfile(ctx, *r); err != nil {
		l.zap.Warn("control: submitting a checkpoint failed", zap.Error(err))
	}
}
