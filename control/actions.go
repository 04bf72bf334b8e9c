package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

const (
	// reappendDelay is how long an append without an answer may take to show
	// before the same record is appended again.
	reappendDelay = time.Second
	// retryDelay separates tries of a call that the platform refused.
	retryDelay = 200 * time.Millisecond
	// submitTimeout bounds the tries of one record of the machine's own. A record
	// that has not shown by then is proposed afresh when it is still wanted.
	submitTimeout = 30 * time.Second
)

// performActions performs the machine's actions. Each I/O has a goroutine of its own,
// so that none delays the control goroutine.
func (l *Loop) performActions() {
	for _, action := range l.machine.Ready() {
		switch a := action.(type) {
		case ownership.Send:
			l.spawn(func() { l.send(a) })
		case ownership.Append:
			l.spawn(func() { l.propose(a.Record) })
		}
	}
}

func (l *Loop) deliverAlerts() {
	for _, s := range l.machine.Alerts() {
		if l.alert != nil {
			l.alert(s)
		}
	}
}

func (l *Loop) send(a ownership.Send) {
	ctx, cancel := context.WithTimeout(l.ctx, l.cfg.Machine.TTL)
	defer cancel()
	reply, err := l.transport.Confirm(ctx, a.To.PeerAddr, a.Msg)
	if err != nil {
		return
	}
	l.enqueue(func(now ownership.Instant) { l.machine.HandleReply(now, reply) })
}

// propose appends a record of the machine's own until its verdict is known.
func (l *Loop) propose(r ownership.Record) {
	ctx, cancel := context.WithTimeout(l.ctx, submitTimeout)
	defer cancel()
	verdict, err := l.Submit(ctx, r)
	switch {
	case err != nil:
		l.zap.Warn("control: record is not settled", zap.String("record", r.ID), zap.Error(err))
	case verdict.Void != nil:
		l.zap.Info("control: record is void", zap.String("record", r.ID), zap.Error(verdict.Void))
	}
}

// Submit appends r to the ownership stream and waits until it shows. The error
// is of kind LogUnavailable when the record was certainly not taken, and of
// kind InDoubt when ctx ended before that was known.
func (l *Loop) Submit(ctx context.Context, r ownership.Record) (Verdict, error) {
	if r.Time.IsZero() {
		r.Time = time.Now()
	}
	data, err := r.Encode()
	if err != nil {
		return Verdict{}, fault.Wrap(fault.BadRecord, err, "encode record")
	}
	return l.submit(ctx, tlog.OwnershipStream(l.cfg.Cell), r.ID, data)
}

// submit appends data until its record shows in the stream. Appending a record
// twice is harmless: the fold takes an id once. A record whose append was in
// doubt is appended again rather than followed by a marker, because a log that
// takes an append late may also take it after the marker.
func (l *Loop) submit(ctx context.Context, stream, id string, data []byte) (Verdict, error) {
	shown := l.verdicts.subscribe(id)
	defer l.verdicts.unsubscribe(id, shown)
	doubt := false
	for {
		_, err := l.log.Append(ctx, stream, data)
		refused := err != nil && fault.KindOf(err) == fault.LogUnavailable
		if refused && !doubt {
			return Verdict{}, err
		}
		doubt = true
		select {
		case verdict := <-shown:
			return verdict, nil
		case <-time.After(reappendDelay):
		case <-ctx.Done():
			return Verdict{}, fault.Newf(fault.InDoubt, "record %s has not shown in the stream", id)
		case <-l.ctx.Done():
			return Verdict{}, fault.Newf(fault.InDoubt, "the host stopped before record %s showed", id)
		}
	}
}
