package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/peer"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

const (
	// catchUpInterval is the interval between checks whether this host lags.
	catchUpInterval = 500 * time.Millisecond
	// snapshotTimeout bounds one snapshot or seat call to a peer.
	snapshotTimeout = time.Second
)

// lag is how far this host is behind its peers, as far as it knows.
type lag struct {
	ownership tlog.Offset
	catalog   tlog.Offset
	empty     bool     // no record is applied yet
	gap       bool     // the log no longer keeps the next record
	peers     []string // peer addresses, most advanced first
}

// behind reports whether a peer is known to have applied more.
func (g lag) behind() bool { return g.ownership > 0 || g.catalog > 0 }

// catchUp restores a peer's state when the log cannot provide it: during an
// outage, when only this host is cut off from the log, and after a gap. It acts
// only on a lag seen in two checks in a row, so that the log is preferred.
func (l *Loop) catchUp() {
	laggedBefore := false
	for l.ctx.Err() == nil {
		l.sleep(catchUpInterval)
		g, err := call(l.ctx, l, func(ownership.Instant) lag {
			l.catalogCurrent = l.catalogCurrent || l.currentByMajority()
			return l.lag()
		})
		if err != nil {
			return
		}
		lags := g.empty || g.gap || g.behind()
		if lags && laggedBefore {
			l.catchUpFromPeers(g)
		}
		laggedBefore = lags
	}
}

// lag compares this host's offsets with those that the peers acknowledged.
func (l *Loop) lag() lag {
	state := l.machine.State()
	self := l.machine.Self().ID
	g := lag{empty: state.Applied == 0 && l.catalog.Applied == 0}
	for _, f := range l.followers {
		g.gap = g.gap || f.gap
	}
	members := state.MemberIDs()
	slices.SortStableFunc(members, func(a, b ownership.MemberID) int {
		return cmp.Compare(l.acknowledgedTotal(b), l.acknowledgedTotal(a))
	})
	for _, id := range members {
		if id == self {
			continue
		}
		applied, catalog := l.machine.Acknowledged(id)
		g.ownership = max(g.ownership, excess(applied, state.Applied))
		g.catalog = max(g.catalog, excess(catalog, l.catalog.Applied))
		g.peers = append(g.peers, state.Members[id].PeerAddr)
	}
	if len(g.peers) == 0 {
		g.peers = l.cfg.Seeds
	}
	return g
}

// currentByMajority reports whether a majority of the members has acknowledged no
// profile record beyond this host's. That suffices when the log is unreachable.
func (l *Loop) currentByMajority() bool {
	state := l.machine.State()
	agree := 0
	for id := range state.Members {
		applied, catalog := l.machine.Acknowledged(id)
		if applied > 0 && catalog <= l.catalog.Applied {
			agree++
		}
	}
	return l.catalog.Applied > 0 && 2*agree > len(state.Members)
}

func (l *Loop) acknowledgedTotal(id ownership.MemberID) tlog.Offset {
	applied, catalog := l.machine.Acknowledged(id)
	return applied + catalog
}

// excess returns a-b, or 0 when a is not above b.
func excess(a, b tlog.Offset) tlog.Offset {
	if a <= b {
		return 0
	}
	return a - b
}

// catchUpFromPeers asks the peers in order until a snapshot advances this host.
func (l *Loop) catchUpFromPeers(g lag) {
	for _, addr := range g.peers {
		snapshot, err := l.snapshotOf(addr)
		if err != nil {
			continue
		}
		advanced, err := call(l.ctx, l, func(now ownership.Instant) bool { return l.adopt(now, snapshot) })
		if err != nil || advanced {
			return
		}
	}
}

func (l *Loop) snapshotOf(addr string) (peer.Snapshot, error) {
	ctx, cancel := context.WithTimeout(l.ctx, snapshotTimeout)
	defer cancel()
	return l.transport.Snapshot(ctx, addr)
}

// adopt restores the parts of a snapshot that are newer than this host's state
// and reports whether there were any.
func (l *Loop) adopt(now ownership.Instant, s peer.Snapshot) bool {
	applied, catalog := l.machine.State().Applied, l.catalog.Applied
	if err := l.restoreCatalog(s.Catalog); err != nil {
		l.zap.Warn("control: cannot restore the catalog from a peer's snapshot", zap.Error(err))
	}
	state, err := ownership.DecodeCheckpoint(s.Ownership)
	if err == nil && state.Applied > applied {
		err = l.machine.Restore(now, state)
	}
	if err != nil {
		l.zap.Warn("control: cannot restore the ownership state from a peer's snapshot", zap.Error(err))
	}
	advanced := l.machine.State().Applied > applied || l.catalog.Applied > catalog
	if !advanced {
		return false
	}
	l.zap.Info("control: caught up from a peer",
		zap.Uint64("ownership", uint64(l.machine.State().Applied)), zap.Uint64("profiles", uint64(l.catalog.Applied)))
	for _, f := range l.followers {
		f.interrupt()
	}
	return true
}
