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
	// reappendDelay is how long to wait for an appended record to be read back
	// from the stream before it is appended again.
	reappendDelay = time.Second
	// retryDelay is the delay between attempts of a call that the platform refused.
	retryDelay = 200 * time.Millisecond
	// submitTimeout bounds the attempts to append one record that the machine
	// proposed. If the record was not read back by then, the machine proposes a
	// new one when the change is still needed.
	submitTimeout = 30 * time.Second
)

// performActions performs the actions that the machine has ready. Each runs its
// I/O on its own goroutine, so that none blocks the control goroutine.
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
	for _, s := range l.machine.NewPeerDoubts() {
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

// propose submits a record that the machine proposed and logs a failure.
func (l *Loop) propose(r ownership.Record) {
	ctx, cancel := context.WithTimeout(l.ctx, submitTimeout)
	defer cancel()
	verdict, err := l.Submit(ctx, r)
	switch {
	case err != nil:
		l.zap.Warn("control: submitting a record failed", zap.String("record", r.ID), zap.Error(err))
	case verdict.Void != nil:
		l.zap.Info("control: record was rejected", zap.String("record", r.ID), zap.Error(verdict.Void))
	}
}

// Submit appends r to the ownership stream and waits until it is read back. The
// error is of kind LogUnavailable when the record was certainly not appended,
// and of kind InDoubt when ctx ended before that was known.
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

// submit appends data until its record is read back from the stream. A duplicate
// is harmless, since the fold applies each id once. When it is unknown whether
// an append took effect, the record is appended again. A marker appended after it
// would not tell: a log that applies an append late may apply it after the marker.
func (l *Loop) submit(ctx context.Context, stream, id string, data []byte) (Verdict, error) {
	readBack := l.verdicts.subscribe(id)
	defer l.verdicts.unsubscribe(id, readBack)
	inDoubt := false
	for {
		_, err := l.log.Append(ctx, stream, data)
		refused := err != nil && fault.KindOf(err) == fault.LogUnavailable
		if refused && !inDoubt {
			return Verdict{}, err
		}
		inDoubt = true
		select {
		case verdict := <-readBack:
			return verdict, nil
		case <-time.After(reappendDelay):
		case <-ctx.Done():
			return Verdict{}, fault.Newf(fault.InDoubt, "record %s was not read back from the stream in time", id)
		case <-l.ctx.Done():
			return Verdict{}, fault.Newf(fault.InDoubt, "the host stopped before record %s was read back from the stream", id)
		}
	}
}
