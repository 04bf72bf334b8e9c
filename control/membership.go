package control

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

const (
	// quiesceTimeout bounds the wait for what is outstanding at a planned stop.
	quiesceTimeout = 2 * time.Second
	quiescePoll    = 10 * time.Millisecond
)

// join appends this host's join record until it shows in the stream.
func (l *Loop) join() {
	for l.ctx.Err() == nil {
		r, err := call(l.ctx, l, func(ownership.Instant) *ownership.Record { return l.joinRecord() })
		if err != nil || r == nil {
			return
		}
		verdict, err := l.Submit(l.ctx, *r)
		if err == nil && verdict.Void == nil {
			return
		}
		if fault.KindOf(err) == fault.LogUnavailable && l.claimSeat() {
			return
		}
		l.zap.Warn("control: join is not accepted yet", zap.Error(err), zap.NamedError("void", verdict.Void))
		l.sleep(retryDelay)
	}
}

// joinRecord returns the join record to append, or nil once this host is a
// member or has begun to leave.
func (l *Loop) joinRecord() *ownership.Record {
	if l.leaving {
		return nil
	}
	if _, ok := l.machine.State().Members[l.machine.Self().ID]; ok {
		return nil
	}
	r := l.machine.JoinRecord()
	return &r
}

// Leave ends this host's membership for good. Call it once no caller is served
// any more: from now on this host neither routes nor acknowledges. When nothing
// is outstanding with backend servers, it resigns with a record that holds what
// it knew. While the log certainly cannot take that, a peer keeps the seat for
// the process that replaces this one.
func (l *Loop) Leave(ctx context.Context) error {
	if !l.quiesce(ctx) {
		return l.leaveBusy(ctx)
	}
	out, err := call(ctx, l, func(now ownership.Instant) resignation { return l.resign(now) })
	if err != nil {
		return err
	}
	if out.err != nil {
		return out.err
	}
	verdict, err := l.Submit(ctx, out.record)
	if err != nil && fault.KindOf(err) == fault.LogUnavailable {
		return l.handOverSeat(ctx, out)
	}
	if err != nil {
		return err
	}
	return verdict.Void
}

// leaveBusy leaves while requests may still be outstanding: the others wait for
// them before they move keys.
func (l *Loop) leaveBusy(ctx context.Context) error {
	r, err := call(ctx, l, func(ownership.Instant) ownership.Record { return l.machine.LeaveRecord() })
	if err != nil {
		return err
	}
	verdict, err := l.Submit(ctx, r)
	if err != nil {
		return err
	}
	return verdict.Void
}

// quiesce stops routing and waits until nothing is outstanding with backend
// servers. It reports whether that was reached in time.
func (l *Loop) quiesce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, quiesceTimeout)
	defer cancel()
	// The view without membership is published before the next event runs.
	_, err := call(ctx, l, func(ownership.Instant) bool {
		l.leaving = true
		return true
	})
	for err == nil {
		var outstanding bool
		outstanding, err = call(ctx, l, func(now ownership.Instant) bool { return l.outstandingUntil() > now })
		if err == nil && !outstanding {
			return true
		}
		l.sleep(quiescePoll)
	}
	return false
}

// startNewIncarnation starts a new incarnation when the others have removed this one
// while it was paused or cut off. It keeps the state in force and joins afresh.
func (l *Loop) startNewIncarnation() {
	self := l.machine.Self()
	if _, gone := l.machine.State().Gone[self.ID]; !gone || l.leaving {
		return
	}
	l.incarnation++
	next := l.cfg.Machine
	next.Self.ID = ownership.MemberID(fmt.Sprintf("%s.%d", l.cfg.Machine.Self.ID, l.incarnation))
	l.zap.Warn("control: this incarnation was removed, joining as a new one", zap.String("member", string(next.Self.ID)))
	state := l.machine.InForce()
	l.machine = ownership.NewMachine(next)
	if err := l.machine.Restore(l.Now(), state); err != nil {
		l.zap.Warn("control: the state in force cannot be kept, reading it afresh", zap.Error(err))
	}
	l.setCatalog(l.catalog)
	for s := range l.suspects {
		l.machine.SetSuspect(l.Now(), s, true)
	}
	for _, f := range l.followers {
		f.interrupt()
	}
	l.spawn(l.join)
}

// SetDoubt tells control that this host begins or ceases to doubt a backend server.
func (l *Loop) SetDoubt(service, server string, on bool) {
	l.enqueue(func(now ownership.Instant) { l.machine.SetDoubt(now, service, server, on) })
}

// OnAlert registers what is called, on the control goroutine, when a peer
// begins to doubt a backend server. It must not block. Call it before Start.
func (l *Loop) OnAlert(f func(s ownership.Suspect)) { l.alert = f }

// SetSuspect tells control this host's own judgement of a backend server.
func (l *Loop) SetSuspect(s ownership.Suspect, lost bool) {
	l.enqueue(func(now ownership.Instant) {
		delete(l.suspects, s)
		if lost {
			l.suspects[s] = true
		}
		l.machine.SetSuspect(now, s, lost)
	})
}
