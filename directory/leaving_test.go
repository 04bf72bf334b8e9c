package directory

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

func holder(id string, born int64) keyrange.Holder { return keyrange.Holder{ID: id, StartedMS: born} }

// A process that has answered that it leaves is draining until it is gone, whatever its
// entry reads.
func TestLeavingServersAreDraining(t *testing.T) {
	cases := []struct {
		name    string
		leaving keyrange.Holder
		changes []Change
		want    State // "" means that the server is not listed
	}{
		{"its entry reads ready", holder("a", 1), nil, Draining},
		{"its entry still reads ready later", holder("a", 1), []Change{entry("a", 1, 9, Ready)}, Draining},
		{"its entry reads draining later", holder("a", 1), []Change{entry("a", 1, 9, Draining)}, Draining},
		{"its entry is removed", holder("a", 1), []Change{removal("a")}, ""},
		{"it starts anew", holder("a", 1), []Change{entry("a", 2, 1, Ready)}, Ready},
		{"an earlier process left", holder("a", 0), nil, Ready},
		{"an unknown server left", holder("b", 1), nil, Ready},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := (&Snapshot{}).Fold([]Change{entry("a", 1, 1, Ready)}, 1)
			l, _ := Leaving{}.With(s, []keyrange.Holder{c.leaving})
			s = s.Fold(c.changes, 2)
			l = l.ListedIn(s)
			out := s.WithLeaving(l)
			require.LessOrEqual(t, len(l.Holders()), len(s.Servers), "only listed processes are kept")
			if c.want == "" {
				require.Nil(t, out.Find("a"))
				return
			}
			require.Equal(t, c.want, out.Find("a").State)
			require.Equal(t, s.Version, out.Version)
			if len(c.changes) == 0 {
				require.Equal(t, Ready, s.Find("a").State, "the entry itself is unchanged")
			}
		})
	}
}

// Sets that hosts have learnt in different orders are the same set.
func TestLeavingSetsConverge(t *testing.T) {
	var all []Change
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		all = append(all, entry(id, 1, 1, Ready))
	}
	s := (&Snapshot{}).Fold(all, 5)
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(name string) []keyrange.Holder {
			return rapid.SliceOf(rapid.Custom(func(rt *rapid.T) keyrange.Holder {
				return holder(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "unknown"}).Draw(rt, "id"), rapid.Int64Range(0, 2).Draw(rt, "born"))
			})).Draw(rt, name)
		}
		x, y := draw("x"), draw("y")
		l, added := Leaving{}.With(s, x)
		require.ElementsMatch(rt, l.Holders(), added)
		xy, _ := l.With(s, y)
		l, _ = Leaving{}.With(s, y)
		yx, _ := l.With(s, x)
		require.Equal(rt, xy, yx)
		require.Equal(rt, xy.Digest(), yx.Digest())
		require.Empty(rt, xy.Missing(yx.Holders()))
		for _, h := range append(x, y...) {
			require.Equal(rt, s.Lists(h), xy.Contains(h))
		}
		require.Equal(rt, xy, xy.ListedIn(s))
		require.Empty(rt, xy.ListedIn(&Snapshot{}).Holders())
	})
}

// The digest of every set differs from that of hosts which send none.
func TestDigestsDiffer(t *testing.T) {
	s := (&Snapshot{}).Fold([]Change{entry("a", 1, 1, Ready), entry("b", 1, 1, Ready)}, 2)
	seen := map[uint64]bool{0: true}
	for _, list := range [][]keyrange.Holder{nil, {holder("a", 1)}, {holder("b", 1)}, {holder("a", 1), holder("b", 1)}} {
		l, _ := Leaving{}.With(s, list)
		require.False(t, seen[l.Digest()])
		seen[l.Digest()] = true
	}
}
