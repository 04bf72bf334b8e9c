package control

import (
	"context"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// MemberProgress is how far one member has applied both streams.
type MemberProgress struct {
	Member    ownership.Member `json:"member"`
	Ownership tlog.Offset      `json:"ownership"`
	Profiles  tlog.Offset      `json:"profiles"`
}

// Progress returns, for each member, how far it is known to have applied both
// streams.
func (l *Loop) Progress(ctx context.Context) ([]MemberProgress, error) {
	return call(ctx, l, func(ownership.Instant) []MemberProgress { return l.progress() })
}

func (l *Loop) progress() []MemberProgress {
	state := l.machine.State()
	out := make([]MemberProgress, 0, len(state.Members))
	for _, id := range state.MemberIDs() {
		applied, catalog := l.machine.Acknowledged(id)
		out = append(out, MemberProgress{Member: state.Members[id], Ownership: applied, Profiles: catalog})
	}
	return out
}

// State returns the state of the ownership stream as this host has applied it.
func (l *Loop) State(ctx context.Context) (*ownership.State, error) {
	return call(ctx, l, func(ownership.Instant) *ownership.State { return l.machine.State() })
}

// call runs f on the control goroutine, waits for it and returns its result.
func call[T any](ctx context.Context, l *Loop, f func(now ownership.Instant) T) (T, error) {
	out := make(chan T, 1)
	var none T
	l.enqueue(func(now ownership.Instant) { out <- f(now) })
	select {
	case v := <-out:
		return v, nil
	case <-ctx.Done():
		return none, fault.Wrap(fault.NotReady, ctx.Err(), "gave up waiting for the control goroutine")
	case <-l.ctx.Done():
		return none, fault.New(fault.NotReady, "the control loop has stopped")
	}
}
