package eligibility

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// history is what a model remembers of one holder, without any of the book's rules.
type history struct {
	left   time.Time // its first answer that said that it leaves; zero if none did
	pauses []time.Time
}

// In every order of answers, entries, lapses and restarts: a server that said that it
// leaves gets nothing without a key, no retry, and nothing at all after its share of the
// drain time; nothing goes to a server before the end of each pause that it asked for; and
// a server that said nothing and is listed as ready gets everything.
func TestNothingGoesWhereItMustNot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := NewBook(testDrain)
		now := begin
		started, known := int64(1), map[keyrange.Holder]*history{}
		state := directory.Ready
		listed := true
		newest := func() keyrange.Holder { return keyrange.Holder{ID: "a", StartedMS: started} }
		of := func(h keyrange.Holder) *history {
			if known[h] == nil {
				known[h] = &history{}
			}
			return known[h]
		}
		list := func() {
			s := &directory.Snapshot{}
			if listed {
				s = listing(state, newest())
			}
			b.Listed(now, s)
		}
		list()
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			h := newest()
			switch rapid.IntRange(0, 6).Draw(rt, "what") {
			case 0:
				b.Answered(h, now, leaving)
				if of(h).left.IsZero() {
					of(h).left = now
				}
			case 1:
				d := time.Duration(rapid.IntRange(1, 4000).Draw(rt, "pause")) * time.Millisecond
				b.Answered(h, now, full(d))
				of(h).pauses = append(of(h).pauses, now.Add(d))
			case 2:
				state = rapid.SampledFrom([]directory.State{directory.Ready, directory.Draining}).Draw(rt, "state")
				list()
			case 3:
				listed = rapid.Bool().Draw(rt, "listed")
				list()
			case 4:
				if listed && rapid.IntRange(0, 3).Draw(rt, "restarts") == 0 {
					started, state = started+1, directory.Ready
					list()
				}
			case 5:
				b.Expire(now)
			}
			checkModel(rt, b, newest(), of(newest()), now, listed && state == directory.Ready)
		}
	})
}

// checkModel compares the book's decisions with what is remembered of the holder.
func checkModel(rt *rapid.T, b *Book, h keyrange.Holder, known *history, now time.Time, listedReady bool) {
	paused := false
	for _, end := range known.pauses {
		paused = paused || now.Before(end)
	}
	for _, r := range []Request{plain, keyed, keyedRetry} {
		v := b.Check(h, now, r)
		switch {
		case paused && known.left.IsZero() && listedReady:
			require.Equal(rt, Full, v.Standing)
			require.True(rt, v.Until.After(now))
		case paused && known.left.IsZero():
			require.False(rt, v.Allowed())
		case paused:
			require.Equal(rt, Leaving, v.Standing, "its keys move, so nothing waits for the end of the pause")
		case !known.left.IsZero() && (r != keyed || !now.Before(known.left.Add(testDrain))):
			require.Equal(rt, Leaving, v.Standing, "%+v", r)
		case known.left.IsZero() && listedReady:
			require.Equal(rt, Eligible, v.Standing, "%+v", r)
		}
	}
}
