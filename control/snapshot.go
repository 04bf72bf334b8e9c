package control

import (
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

// Snapshot is the control state that other goroutines read. It is immutable.
type Snapshot struct {
	View    *ownership.View
	Catalog *profile.Catalog
}

// Snapshot returns the newest snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Changed returns a channel that is closed at the next snapshot that differs in
// more than the end of the lease. Get the channel before the snapshot, so that
// no change is missed.
func (l *Loop) Changed() <-chan struct{} { return *l.changed.Load() }

// publish stores a new snapshot and wakes waiters if it differs.
func (l *Loop) publish() {
	old := l.snapshot.Load()
	next := &Snapshot{View: l.view(), Catalog: l.catalog}
	l.snapshot.Store(next)
	if old != nil && !l.differs(old, next) {
		return
	}
	changed := make(chan struct{})
	close(*l.changed.Swap(&changed))
}

// view returns the machine's view, without membership while the catalog is not
// current and once a planned stop has begun; such a view routes nothing. With an
// older catalog, an accepted profile would seem to revert after a restart.
func (l *Loop) view() *ownership.View {
	v := l.machine.View()
	if l.catalogCurrent && !l.leaving {
		return v
	}
	nonMember := *v
	nonMember.Member = false
	return &nonMember
}

// differs reports whether next permits or forbids something that old did not.
func (l *Loop) differs(old, next *Snapshot) bool {
	a, b := old.View, next.View
	if old.Catalog != next.Catalog || a.Member != b.Member || a.Active != b.Active || a.Applied != b.Applied {
		return true
	}
	if a.LeaseUntil <= l.Now() && b.LeaseUntil > l.Now() {
		return true
	}
	if len(a.Services) != len(b.Services) {
		return true
	}
	for name, sv := range b.Services {
		if a.Services[name] != sv {
			return true
		}
	}
	return false
}
