package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// ownerWatch checks that no key goes back to an earlier owner.
type ownerWatch struct {
	w      *world
	newest [sampled]keyrange.Fence       // the highest token under which a key was held
	maps   map[*Cluster]keyrange.Version // of each host's map, by run of the host
}

func newOwnerWatch(w *world) *ownerWatch {
	return &ownerWatch{w: w, maps: map[*Cluster]keyrange.Version{}}
}

// watch checks the keys for d. It fails the test if a key has two holders, is held under an
// earlier token than before, or if a host's map goes back to an earlier version.
func (o *ownerWatch) watch(d time.Duration) {
	o.w.t.Helper()
	const step = 10 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		o.w.heldKeys()
		o.checkHolders()
		o.checkMaps()
	}
}

func (o *ownerWatch) checkHolders() {
	o.w.t.Helper()
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	for _, s := range o.w.servers {
		for k := range sampled {
			if s.up && time.Now().Before(s.until[k]) {
				require.GreaterOrEqual(o.w.t, s.seen[k], o.newest[k], "key %d is held by %s again", k, s.holder.ID)
				o.newest[k] = s.seen[k]
			}
		}
	}
}

func (o *ownerWatch) checkMaps() {
	o.w.t.Helper()
	for _, name := range o.w.names() {
		c := o.w.host(name)
		owners := c.View().Owners
		if owners == nil {
			continue
		}
		require.False(o.w.t, owners.Version.Less(o.maps[c]), "the map of %s goes back", name)
		o.maps[c] = owners.Version
	}
}

// isolate makes a host reach neither the store nor any other host, so that what it knows
// becomes stale.
func (w *world) isolate(name string) {
	w.store.setCut(name, true)
	w.silenceLinks(name, true, true)
}

// onlyReach makes a host reach nothing but one other host, which reaches it, too.
func (w *world) onlyReach(name, peer string) {
	w.isolate(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.silent, link{name, peer})
	delete(w.silent, link{peer, name})
}

// reconnect ends what isolate and onlyReach did to all hosts.
func (w *world) reconnect() {
	w.restoreLinks()
	for _, name := range w.names() {
		w.store.setCut(name, false)
	}
}

// staleFirst is how long a restarted host gets answers only of a stale peer.
const staleFirst = 600 * time.Millisecond

// withdrawal is one row: which hosts restart around the move of a server's keys, and
// whether a stale peer answers them first.
type withdrawal struct {
	restarts string
	delay    time.Duration // from the withdrawal to the restarts; negative if they come before
	stale    string        // the role of the stale peer; empty if there is none
	way      string        // how the keys are withdrawn
}

// lost reports whether every host that learnt from the server's answer that it leaves may be
// gone before that is recorded. Only the server's next answers tell it again.
func (r withdrawal) lost() bool {
	return r.way == "answer" && r.restarts == "all hosts at once" && r.delay >= 0 && r.delay < drainBound
}

// answerInterval is the interval of a leaving server's answers.
const answerInterval = 100 * time.Millisecond

// answerLeaving has a server answer that it leaves to each host that sends requests to it.
func (w *world) answerLeaving(s *fakeServer) {
	for _, name := range w.names() {
		c := w.host(name)
		if c.View().Owners != nil && w.stateOn(name, s.holder) == directory.Ready {
			c.AddLeaving(s.holder)
		}
	}
}

// stalePeer isolates a host of the row's role and returns its name.
func (r withdrawal) stalePeer(w *world) string {
	if r.stale == "" {
		return ""
	}
	name := w.leaders()[0]
	if r.stale == "follower" {
		name = w.followers()[0]
	}
	w.isolate(name)
	return name
}

// withdraw has the keys of a server moved to others. The server goes on running.
func (r withdrawal) withdraw(w *world, s *fakeServer, stale string) {
	if r.way == "entry" {
		w.list(s, directory.Draining)
		return
	}
	for _, name := range w.names() {
		if name != stale {
			w.host(name).AddLeaving(s.holder)
		}
	}
}

// restart restarts the row's hosts, without the stale peer.
func (r withdrawal) restart(w *world, o *ownerWatch, stale string) {
	var batches [][]string
	switch r.restarts {
	case "one host":
		batches = [][]string{{other(w.followers(), stale)}}
	case "the assigner":
		if name := other(w.leaders(), stale); name != "" {
			batches = [][]string{{name}}
		}
	case "every host in turn":
		for _, name := range w.names() {
			batches = append(batches, []string{name})
		}
	case "all hosts at once":
		batches = [][]string{w.names()}
	}
	for _, names := range batches {
		for _, name := range names {
			if name != stale {
				w.kill(name)
			}
		}
		for _, name := range names {
			if name == stale {
				continue
			}
			w.addHost(name)
			if stale != "" {
				w.onlyReach(name, stale)
			}
		}
		o.watch(staleFirst)
		if stale != "" {
			w.reconnect()
			w.isolate(stale)
		}
	}
}

// other returns the first of some hosts that is not the stale one, or "".
func other(names []string, stale string) string {
	for _, name := range names {
		if name != stale {
			return name
		}
	}
	return ""
}

// Keys that were withdrawn from a server that goes on running do not come back to it, and
// no key has two owners, whichever hosts are restarted before, while or after they move,
// also if a host that has missed the move answers the restarted ones first, and if that one
// was the assigner.
//
// A server holds a key under the highest fencing token that it has seen, the tokens rise
// with the record of the store, which a new assigner reads before it grants, and a map of
// an earlier version is never taken back.
func TestWithdrawnKeysStayAway(t *testing.T) {
	delays := []time.Duration{-500 * time.Millisecond, 0, 40 * time.Millisecond, drainBound}
	for _, restarts := range []string{"one host", "the assigner", "every host in turn", "all hosts at once"} {
		for _, delay := range delays {
			for _, stale := range []string{"", "follower", "assigner"} {
				for _, way := range []string{"entry", "answer"} {
					r := withdrawal{restarts, delay, stale, way}
					t.Run(fmt.Sprintf("%s/%v/stale %s/%s", restarts, delay, stale, way), func(t *testing.T) {
						t.Parallel()
						withDeployment(t, 4, 6, func(w *world) { r.play(w) })
					})
				}
			}
		}
	}
}

func (r withdrawal) play(w *world) {
	o := newOwnerWatch(w)
	s := w.server("s3")
	stale := r.stalePeer(w)
	if r.delay < 0 {
		r.restart(w, o, stale)
		o.watch(-r.delay)
	}
	r.withdraw(w, s, stale)
	if r.delay >= 0 {
		o.watch(r.delay)
		r.restart(w, o, stale)
	}
	for end := time.Now().Add(settleTime); time.Now().Before(end); o.watch(answerInterval) {
		if r.lost() {
			w.answerLeaving(s)
		}
	}
	w.reconnect()
	o.watch(time.Second)
	w.setServer("s2", func(s *fakeServer) { s.up = false }) // its keys need owners
	o.watch(settleTime)
	for range 10 {
		o.watch(100 * time.Millisecond)
		w.holdsNothing(w.t, s)
		require.Zero(w.t, w.keysOfServer(s.holder))
	}
	require.Equal(w.t, sampled, w.heldKeys())
	require.Len(w.t, w.leaders(), 1)
}
