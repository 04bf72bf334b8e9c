package cluster

import (
	"sync/atomic"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
	"github.com/lacewingsaddle/lacewingsaddle/routetable"
)

// View is an immutable snapshot of the state by which traffic is routed.
type View struct {
	Routes  *routetable.Table // nil until a configuration is known
	Servers *directory.Snapshot
	Owners  *keyrange.Map // nil until an assignment is known
	Hosts   int           // number of entry hosts that share limits and budgets, this one included
	// Admission limits the requests for hot keys; nil means no limits.
	Admission *assigner.Admission
	// Suspects are the servers that every host is to probe in round ProbeRound. Only
	// the assigner's view lists them.
	Suspects   []assigner.Suspect
	ProbeRound uint64
	Leads      bool // this host is the assigner
	// Next is closed when a newer view is published.
	Next chan struct{}
}

// views holds the newest view.
type views struct{ current atomic.Pointer[View] }

func newViews() *views {
	v := &views{}
	v.current.Store(&View{Servers: &directory.Snapshot{}, Hosts: 1, Next: make(chan struct{})})
	return v
}

// update publishes a copy of the view modified by edit. Only the control goroutine
// calls it.
func (v *views) update(edit func(*View)) {
	old := v.current.Load()
	next := *old
	next.Next = make(chan struct{})
	edit(&next)
	v.current.Store(&next)
	close(old.Next)
}
