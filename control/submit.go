package control

import (
	"context"
	"sync"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// Verdict is the outcome of one record that was read back from its stream.
type Verdict struct {
	Offset tlog.Offset
	Void   error // why the record was rejected; nil when it was accepted
}

// verdicts lets writers wait for the verdict on a record that they appended. The
// first verdict on an id counts.
//
// A verdict is delivered only after the snapshot with the record's effect is
// published, so that the writer finds the effect there.
type verdicts struct {
	mu      sync.Mutex
	waiting map[string][]chan Verdict
	pending []pendingVerdict // used by the control goroutine only
}

// pendingVerdict is a verdict that is not delivered yet.
type pendingVerdict struct {
	id      string
	verdict Verdict
}

func newVerdicts() *verdicts {
	return &verdicts{waiting: map[string][]chan Verdict{}}
}

func (v *verdicts) subscribe(id string) chan Verdict {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := make(chan Verdict, 1)
	v.waiting[id] = append(v.waiting[id], c)
	return c
}

func (v *verdicts) unsubscribe(id string, c chan Verdict) {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := v.waiting[id]
	for i, other := range list {
		if other == c {
			v.waiting[id] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(v.waiting[id]) == 0 {
		delete(v.waiting, id)
	}
}

// add keeps a verdict until the next call of deliver.
func (v *verdicts) add(id string, verdict Verdict) {
	v.pending = append(v.pending, pendingVerdict{id: id, verdict: verdict})
}

// deliver sends every pending verdict to its waiters.
func (v *verdicts) deliver() {
	if len(v.pending) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.pending {
		for _, c := range v.waiting[s.id] {
			c <- s.verdict
		}
		delete(v.waiting, s.id)
	}
	v.pending = v.pending[:0]
}

// SubmitProfile appends r to the profile stream; see Submit.
func (l *Loop) SubmitProfile(ctx context.Context, r profile.Record) (Verdict, error) {
	data, err := r.Encode()
	if err != nil {
		return Verdict{}, fault.Wrap(fault.BadRecord, err, "encode record")
	}
	return l.submit(ctx, tlog.ProfileStream, r.ID, data)
}
