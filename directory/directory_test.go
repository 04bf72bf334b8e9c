package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

func entry(id string, born int64, seq uint64, state State) Change {
	return Change{ID: id, Server: &Server{
		Holder: keyrange.Holder{ID: id, StartedMS: born}, Service: "stock", Address: id, Slots: 3, State: state, Seq: seq,
	}}
}

func removal(id string) Change { return Change{ID: id} }

// Entries may arrive after newer ones, or after their server has been removed.
func TestOldEntriesDoNotCount(t *testing.T) {
	cases := []struct {
		name    string
		changes []Change
		want    State // "" means that the server is not listed
	}{
		{"newest wins", []Change{entry("a", 1, 1, Ready), entry("a", 1, 2, Draining)}, Draining},
		{"an old entry after draining", []Change{entry("a", 1, 5, Draining), entry("a", 1, 4, Ready)}, Draining},
		{"an old entry after the removal", []Change{entry("a", 1, 5, Draining), removal("a"), entry("a", 1, 4, Ready)}, ""},
		{"the same entry after the removal", []Change{entry("a", 1, 5, Ready), removal("a"), entry("a", 1, 5, Ready)}, ""},
		{"listed again after a lapse", []Change{entry("a", 1, 5, Ready), removal("a"), entry("a", 1, 6, Ready)}, Ready},
		{"numbering restarts with the server", []Change{entry("a", 1, 50, Draining), entry("a", 2, 1, Ready)}, Ready},
		{"an entry from before a restart", []Change{entry("a", 2, 1, Ready), entry("a", 1, 50, Draining)}, Ready},
		{"unreadable", []Change{entry("a", 1, 1, Ready), removal("a")}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &Snapshot{}
			for i, change := range c.changes {
				s = s.Fold([]Change{change}, uint64(i+1))
			}
			if c.want == "" {
				require.Nil(t, s.Find("a"))
				return
			}
			require.Equal(t, c.want, s.Find("a").State)
		})
	}
}

func TestReloadKeepsNewerEntries(t *testing.T) {
	s := (&Snapshot{}).Fold([]Change{entry("a", 1, 5, Draining), entry("b", 1, 1, Ready)}, 2)
	s = s.Reload([]Change{entry("a", 1, 4, Ready), entry("c", 1, 1, Ready)}, 9)
	require.Equal(t, Draining, s.Find("a").State)
	require.Nil(t, s.Find("b"))
	require.NotNil(t, s.Find("c"))
}

func TestColdTimeAloneIsNoChange(t *testing.T) {
	s := (&Snapshot{}).Fold([]Change{entry("a", 1, 1, Ready)}, 1)
	c := entry("a", 1, 2, Ready)
	c.Server.Cold = time.Second
	next := s.Fold([]Change{c}, 2)
	require.Equal(t, s.Version, next.Version)
	require.Equal(t, time.Second, next.Find("a").Cold)
}

// A host that applies the changes since its version ends with the same servers.
func TestChangesLeadToTheSameDirectory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lead, follow := &Snapshot{}, &Snapshot{}
		for i := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "id")
			c := entry(id, 1, uint64(i), rapid.SampledFrom([]State{Ready, Draining}).Draw(rt, "state"))
			if rapid.Bool().Draw(rt, "gone") {
				c = removal(id)
			}
			lead = lead.Fold([]Change{c}, uint64(i+1))
			if lead.Version == follow.Version || rapid.Bool().Draw(rt, "wait") {
				continue
			}
			d := lead.Since(follow.Version)
			if d == nil {
				follow = lead
				continue
			}
			follow = follow.Apply(d)
			require.NotNil(rt, follow)
			require.Equal(rt, lead.Version, follow.Version)
			require.Len(rt, follow.Servers, len(lead.Servers))
			for _, v := range lead.Servers {
				got := follow.Find(v.Holder.ID)
				require.NotNil(rt, got)
				require.Equal(rt, v.State, got.State)
			}
		}
	})
}

func TestChangesOnAnotherBaseAreRefused(t *testing.T) {
	s := (&Snapshot{}).Fold([]Change{entry("a", 1, 1, Ready)}, 7)
	require.Nil(t, s.Apply(&Delta{Base: Version{Change: 6}}))
}

// Hosts that read the store themselves count versions differently, so that a version
// of one host means nothing to another.
func TestCountsOfTwoHostsAreNotComparable(t *testing.T) {
	own := (&Snapshot{}).Reload([]Change{entry("a", 1, 1, Ready)}, 9)
	lead := (&Snapshot{}).Reload([]Change{entry("a", 1, 1, Ready)}, 9).WithEpoch(4)
	lead = lead.Fold([]Change{entry("a", 1, 2, Draining)}, 10)
	require.Nil(t, lead.Since(own.Version))
	require.Nil(t, lead.Since(Version{Epoch: 3, Change: 1}))
}

// A new assigner that followed the last one continues its versions, so that the other
// hosts need only the changes.
func TestVersionsContinueUnderTheNextAssigner(t *testing.T) {
	first := (&Snapshot{}).WithEpoch(4).Fold([]Change{entry("a", 1, 1, Ready), entry("b", 1, 1, Ready)}, 2)
	behind := first
	first = first.Fold([]Change{entry("a", 1, 2, Draining)}, 3)
	next := first.WithEpoch(5).Reload([]Change{entry("a", 1, 2, Draining), entry("c", 1, 1, Ready)}, 9)
	d := next.Since(behind.Version)
	require.NotNil(t, d)
	got := behind.Apply(d)
	require.Equal(t, next.Servers, got.Servers)
	require.Equal(t, next.Version, got.Version)
	ahead := first.Fold([]Change{removal("b")}, 4)
	require.Nil(t, next.Since(ahead.Version), "the new assigner never had that version")
}

func TestReloadFromTheOffsetThatWasRead(t *testing.T) {
	s := (&Snapshot{}).Fold([]Change{entry("a", 1, 1, Ready)}, 50)
	require.Equal(t, uint64(7), s.Reload([]Change{entry("a", 1, 1, Ready)}, 7).Next)
}

// Servers missing from a new listing are kept by Merge, also on a host that receives
// only the changes.
func TestMergeKeepsWhatIsNotListed(t *testing.T) {
	lead := (&Snapshot{}).WithEpoch(1).Fold([]Change{entry("a", 1, 1, Ready), entry("b", 1, 1, Ready)}, 2)
	follow := lead
	lead = lead.Merge([]Change{entry("b", 1, 2, Draining), entry("c", 1, 1, Ready)}, 9)
	follow = follow.Apply(lead.Since(follow.Version))
	require.Equal(t, lead.Servers, follow.Servers)
	require.NotNil(t, follow.Find("a"))
	require.Equal(t, Draining, follow.Find("b").State)
	require.Equal(t, uint64(9), lead.Next)
}

// A directory that was read earlier does not undo what is known already.
func TestAfterKeepsWhatIsKnown(t *testing.T) {
	at := func(next uint64, changes ...Change) *Snapshot { return (&Snapshot{}).Fold(changes, next) }
	cases := []struct {
		name      string
		old, next *Snapshot
		want      map[string]State
	}{
		{"a later directory", at(1, entry("a", 1, 1, Ready)), at(2, entry("a", 1, 2, Draining)), map[string]State{"a": Draining}},
		{"an earlier one, from before the removal", at(5, entry("a", 1, 4, Ready), removal("a")), at(3, entry("a", 1, 3, Ready)), map[string]State{}},
		{"an earlier one, from before draining", at(5, entry("a", 1, 4, Draining)), at(3, entry("a", 1, 3, Ready)), map[string]State{"a": Draining}},
		{"a later one without news of the removed", at(5, entry("a", 1, 4, Ready), removal("a")), at(6, entry("a", 1, 4, Ready)), map[string]State{}},
		{"a server that came back", at(5, entry("a", 1, 4, Ready), removal("a")), at(6, entry("a", 1, 5, Ready)), map[string]State{"a": Ready}},
		{"a server that was restarted", at(5, entry("a", 1, 4, Ready), removal("a")), at(6, entry("a", 2, 1, Ready)), map[string]State{"a": Ready}},
		{"a server that is new", at(5, entry("a", 1, 4, Ready)), at(6, entry("b", 1, 1, Ready)), map[string]State{"b": Ready}},
		{"nothing known", nil, at(6, entry("b", 1, 1, Ready)), map[string]State{"b": Ready}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := map[string]State{}
			for _, v := range c.next.After(c.old).Servers {
				got[v.Holder.ID] = v.State
			}
			require.Equal(t, c.want, got)
		})
	}
}
