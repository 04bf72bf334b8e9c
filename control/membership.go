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
	// quiesceTimeout bounds the wait for outstanding work at a planned stop.
	quiesceTimeout = 2 * time.Second
	quiescePoll    = 10 * time.Millisecond
)

// join submits this host's join record until it is accepted.
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
		l.zap.Warn("control: join record was not accepted, retrying", zap.Error(err), zap.NamedError("void", verdict.Void))
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
// any more: from then on this host neither routes nor acknowledges. Once nothing
// is outstanding with backend servers, it resigns with a record that holds what
// it knew. If the log certainly did not take that record, a peer keeps the seat
// for the process that replaces this one.
func (l *Loop) Leave(ctx context.Context) error {
	if !l.quiesce(ctx) {
		return l.leaveBeforeIdle(ctx)
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

// leaveBeforeIdle leaves while requests or grants may still be outstanding. The
// other members wait for them to end before they move keys.
func (l *Loop) leaveBeforeIdle(ctx context.Context) error {
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
// servers. It reports whether that happened within quiesceTimeout.
func (l *Loop) quiesce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, quiesceTimeout)
	defer cancel()
	// The view that routes nothing is published before the next event runs.
	_, err := call(ctx, l, func(ownership.Instant) bool {
		l.leaving = true
		return true
	})
	for err == nil {
		var outstanding bool
		outstanding, err = call(ctx, l, func(now ownership.Instant) bool { return l.allOutstandingUntil() > now })
		if err == nil && !outstanding {
			return true
		}
		l.sleep(quiescePoll)
	}
	return false
}

// startNewIncarnation replaces this incarnation once the other members have
// removed it, as they do after a pause or a network partition. The new one keeps
// the state in force and joins under an id of its own.
func (l *Loop) startNewIncarnation() {
	self := l.machine.Self()
	if _, gone := l.machine.State().Removed[self.ID]; !gone || l.leaving {
		return
	}
	l.incarnation++
	next := l.cfg.Machine
	next.Self.ID = ownership.MemberID(fmt.Sprintf("%s.%d", l.cfg.Machine.Self.ID, l.incarnation))
	l.zap.Warn("control: this incarnation was removed, joining as a new one", zap.String("member", string(next.Self.ID)))
	state := l.machine.InForce()
	l.machine = ownership.NewMachine(next)
	if err := l.machine.Restore(l.Now(), state); err != nil {
		l.zap.Warn("control: cannot keep the state in force, reading the stream from the start", zap.Error(err))
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

// SetDoubt reports that this host begins or ceases to doubt a backend server.
func (l *Loop) SetDoubt(service, server string, on bool) {
	l.enqueue(func(now ownership.Instant) { l.machine.SetDoubt(now, service, server, on) })
}

// OnAlert registers a callback that runs on the control goroutine when a peer
// begins to doubt a backend server. f must not block. Call OnAlert before Start.
func (l *Loop) OnAlert(f func(s ownership.Suspect)) { l.alert = f }

// SetSuspect reports whether this host judges a backend server lost.
func (l *Loop) SetSuspect(s ownership.Suspect, lost bool) {
	l.enqueue(func(now ownership.Instant) {
		delete(l.suspects, s)
		if lost {
			l.suspects[s] = true
		}
		l.machine.SetSuspect(now, s, lost)
	})
}
