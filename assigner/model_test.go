package assigner

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	modelSteps = 1500
	modelWalks = 40
	// mutationWalks bounds the walks within which a disabled rule must be detected.
	mutationWalks = 400
)

// walk takes random steps and returns the world after the first violation or at the
// end.
func walk(pick func(int) int, omit omissions, ignorePauses bool) *world {
	w := newWorld(pick, omit, ignorePauses)
	for range modelSteps {
		w.run()
		if w.err != nil {
			break
		}
	}
	return w
}

func seeded(seed uint64) func(int) int {
	r := rand.New(rand.NewPCG(seed, 7))
	return r.IntN
}

// No key ever has two holders, and tokens only rise, whatever messages are lost or
// delayed and whatever is partitioned, paused or restarted.
func TestModelNeverHasTwoHolders(t *testing.T) {
	moves, epochs := 0, 0
	for seed := range uint64(modelWalks) {
		w := walk(seeded(seed), omissions{}, false)
		require.NoError(t, w.err, "seed %d", seed)
		moves += w.moves
		epochs += w.epochs
	}
	t.Logf("%d walks, %d records, %d epochs", modelWalks, moves, epochs)
	require.Greater(t, moves, 10*modelWalks, "walks without moves show nothing")
	require.Greater(t, epochs, 2*modelWalks)
}

func TestMain(m *testing.M) {
	flag.Parse()
	// The seed is the same in every run unless one is given on the command line.
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "4")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "25")
	os.Exit(m.Run())
}

func TestModelByRapid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		if w := walk(seeded(seed), omissions{}, false); w.err != nil {
			rt.Fatal(w.err)
		}
	})
}

// Each disabled rule leads to a violation that the model detects.
func TestMutationsAreNoticed(t *testing.T) {
	cases := []struct {
		name         string
		omit         omissions
		ignorePauses bool
	}{
		{"acts without a fresh read", omissions{freshRead: true}, false},
		{"no wait at takeover", omissions{takeoverWait: true}, false},
		{"grant before the record", omissions{record: true}, false},
		{"fence reuse", omissions{newFence: true}, false},
		{"release with the old token", omissions{raisedFence: true}, false},
		{"a lost claim is appended again", omissions{samePlace: true}, false},
		{"suspension not counted", omissions{}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(mutationWalks) {
				if w := walk(seeded(seed), c.omit, c.ignorePauses); w.err != nil {
					t.Logf("noticed in walk %d: %v", seed, w.err)
					return
				}
			}
			t.Fatalf("not noticed in %d walks", mutationWalks)
		})
	}
}

// Every key is held by one server again soon after faults have ended.
func TestModelServesAfterFaults(t *testing.T) {
	for seed := range uint64(20) {
		w := walk(seeded(seed), omissions{}, false)
		require.NoError(t, w.err)
		w.noFaults = true
		for range int(6 * time.Second / modelStep) {
			w.run()
		}
		require.NoError(t, w.err)
		for k := range modelKeys {
			held := 0
			for _, s := range w.servers {
				if s.heldUntil[k] > w.now {
					held++
				}
			}
			require.Equal(t, 1, held, "seed %d: key %d", seed, k)
		}
	}
}
