package eligibility

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// testDrain is the drain time of the tests: requests for keys stop after 1.4 s.
const testDrain = 2 * time.Second

var (
	begin   = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	first   = keyrange.Holder{ID: "a", StartedMS: 1}
	second  = keyrange.Holder{ID: "a", StartedMS: 2}
	leaving = Signal{Leaving: true}
)

// The kinds of requests.
var (
	plain      = Request{}
	keyed      = Request{Keyed: true}
	keyedRetry = Request{Keyed: true, Retry: true}
)

func full(d time.Duration) Signal { return Signal{RetryAfter: d} }

func listing(state directory.State, holders ...keyrange.Holder) *directory.Snapshot {
	s := &directory.Snapshot{}
	for _, h := range holders {
		s.Servers = append(s.Servers, directory.Server{Holder: h, Service: "stock", State: state})
	}
	return s
}

// step is one moment of a replayed sequence. Of answer and listed at most one is set.
type step struct {
	at     time.Duration // since begin
	answer *Signal       // of first
	listed *directory.Snapshot
	want   map[Request]Standing // of first; not checked if nil
	second Standing             // of second, for every kind of request; not checked if ""
}

var (
	all      = map[Request]Standing{plain: Eligible, keyed: Eligible, keyedRetry: Eligible}
	onlyKeys = map[Request]Standing{plain: Leaving, keyed: Eligible, keyedRetry: Leaving}
	none     = map[Request]Standing{plain: Leaving, keyed: Leaving, keyedRetry: Leaving}
	paused   = map[Request]Standing{plain: Full, keyed: Full, keyedRetry: Full}
)

func answer(s Signal) *Signal { return &s }

// replay applies the steps to a new book.
func replay(t *testing.T, steps []step) {
	b := NewBook(testDrain)
	for _, s := range steps {
		now := begin.Add(s.at)
		if s.answer != nil {
			b.Answered(first, now, *s.answer)
		}
		if s.listed != nil {
			b.Listed(now, s.listed)
		}
		b.Expire(now)
		for r, want := range s.want {
			require.Equal(t, want, b.Check(first, now, r).Standing, "at %v, %+v", s.at, r)
		}
		if s.second != "" {
			for _, r := range []Request{plain, keyed, keyedRetry} {
				require.Equal(t, s.second, b.Check(second, now, r).Standing, "the new start at %v", s.at)
			}
		}
	}
}

// Each row replays what hosts see of a server that leaves, or is full, and what they may
// send to it.
func TestReplays(t *testing.T) {
	const ms = time.Millisecond
	const s = time.Second
	ready, draining, gone := listing(directory.Ready, first), listing(directory.Draining, first), listing(directory.Ready)
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"it leaves while its entry stays ready for 3 s", []step{
			{at: 0, listed: ready, want: all},
			{at: 10 * ms, answer: answer(leaving), want: onlyKeys},
			{at: 1000 * ms, listed: ready, want: onlyKeys},
			{at: 1409 * ms, want: onlyKeys},
			{at: 1410 * ms, want: none},
			{at: 2 * s, listed: ready, want: none},
			{at: 3 * s, listed: draining, want: none},
			{at: 4 * s, listed: ready, want: none},
		}},
		{"it leaves while the store is away, its entry lapses and comes back", []step{
			{at: 0, listed: ready, answer: answer(leaving), want: onlyKeys},
			{at: 60 * s, want: none},
			{at: 61 * s, listed: gone, want: none},
			{at: 300 * s, listed: ready, want: none},
			{at: 1000 * s, want: none},
		}},
		{"its first answer is lost", []step{
			{at: 0, listed: ready, want: all},
			{at: 500 * ms, answer: answer(leaving), want: onlyKeys},
			{at: 1899 * ms, want: onlyKeys},
			{at: 1900 * ms, want: none},
		}},
		{"its id starts anew", []step{
			{at: 0, listed: ready, answer: answer(leaving), want: onlyKeys, second: Eligible},
			{at: 1500 * ms, listed: listing(directory.Ready, second), second: Eligible},
			{at: 5 * s, second: Eligible},
		}},
		{"later answers don't say that it leaves", []step{
			{at: 0, answer: answer(leaving), want: onlyKeys},
			{at: 100 * ms, answer: answer(Signal{}), want: onlyKeys},
		}},
		{"answers repeat that it leaves", []step{
			{at: 0, answer: answer(leaving), want: onlyKeys},
			{at: 1300 * ms, answer: answer(leaving), want: onlyKeys},
			{at: 1400 * ms, want: none},
		}},
		{"both headers in one answer", []step{
			{at: 0, answer: answer(Signal{Leaving: true, RetryAfter: s}), want: none},
			{at: 999 * ms, want: none},
			{at: 1000 * ms, want: onlyKeys},
			{at: 1400 * ms, want: none},
		}},
		{"it is full and leaves before the end of its pause", []step{
			{at: 0, listed: ready, answer: answer(full(2 * s)), want: paused},
			{at: 500 * ms, answer: answer(leaving), want: none},
			{at: 1899 * ms, want: none},
			{at: 3 * s, want: none},
		}},
		{"it is full and the directory lists it as draining meanwhile", []step{
			{at: 0, answer: answer(full(2 * s)), want: paused},
			{at: 100 * ms, listed: draining, want: none},
			{at: 500 * ms, listed: ready, want: paused},
			{at: 2 * s, want: all},
		}},
		{"the directory lists it as draining and as ready again", []step{
			{at: 0, listed: draining, want: onlyKeys},
			{at: 1400 * ms, want: none},
			{at: 3 * s, listed: ready, want: all},
		}},
		{"the directory says it before its answers do", []step{
			{at: 0, listed: draining, want: onlyKeys},
			{at: 1000 * ms, answer: answer(leaving), want: onlyKeys},
			{at: 1400 * ms, want: none},
			{at: 3 * s, listed: ready, want: none},
		}},
		{"of several pauses the latest end holds", []step{
			{at: 0, answer: answer(full(3 * s)), want: paused},
			{at: 100 * ms, answer: answer(full(s)), want: paused},
			{at: 2999 * ms, want: paused},
			{at: 3 * s, want: all},
			{at: 4 * s, answer: answer(full(s)), want: paused},
			{at: 4500 * ms, answer: answer(full(2 * s)), want: paused},
			{at: 6499 * ms, want: paused},
			{at: 6500 * ms, want: all},
		}},
		{"its entry lapses for good", []step{
			{at: 0, listed: ready, answer: answer(leaving), want: onlyKeys},
			{at: s, listed: gone},
			{at: s + forgetAfter - 1, want: none},
			{at: s + forgetAfter, want: all},
		}},
		{"a full server starts anew", []step{
			{at: 0, answer: answer(full(10 * s)), want: paused, second: Eligible},
			{at: s, listed: listing(directory.Ready, second), second: Eligible},
		}},
	} {
		t.Run(c.name, func(t *testing.T) { replay(t, c.steps) })
	}
}

// fullServer is a server that answers with 503 and Retry-After while it is full.
type fullServer struct {
	room    int // requests that it can run at a time
	running []time.Time
	reached map[int][]time.Time // arrivals by host
	served  int
}

// take handles a request that arrives now and returns what its answer says.
func (f *fullServer) take(host int, now time.Time) Signal {
	f.reached[host] = append(f.reached[host], now)
	kept := f.running[:0]
	for _, end := range f.running {
		if end.After(now) {
			kept = append(kept, end)
		}
	}
	f.running = kept
	if len(f.running) >= f.room {
		return full(1500 * time.Millisecond)
	}
	f.running = append(f.running, now.Add(200*time.Millisecond))
	f.served++
	return Signal{}
}

// A server with room for a few requests is wanted by all hosts, each of which has more
// requests waiting than it may send, of each kind and as retries. None reaches it between
// half a second after its answer and the end of the time that it asked for, and it is
// used again afterwards.
func TestFullServerUnderManyHosts(t *testing.T) {
	for _, hosts := range []int{8, 295} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			const answerDelay = 20 * time.Millisecond
			server := &fullServer{room: 3, reached: map[int][]time.Time{}}
			books := make([]*Book, hosts)
			for i := range books {
				books[i] = NewBook(testDrain)
			}
			type reply struct {
				host   int
				at     time.Time
				signal Signal
			}
			var replies, pauses []reply
			for now := begin; now.Before(begin.Add(6 * time.Second)); now = now.Add(10 * time.Millisecond) {
				for len(replies) > 0 && !replies[0].at.After(now) {
					r := replies[0]
					replies = replies[1:]
					books[r.host].Answered(first, r.at, r.signal)
					if r.signal.RetryAfter > 0 {
						pauses = append(pauses, r)
					}
				}
				for i, b := range books {
					for _, request := range []Request{plain, keyed, keyedRetry} {
						if b.Check(first, now, request).Allowed() {
							replies = append(replies, reply{i, now.Add(answerDelay), server.take(i, now)})
						}
					}
				}
			}
			require.NotEmpty(t, pauses)
			for _, p := range pauses {
				within := 0
				for _, at := range server.reached[p.host] {
					if at.After(p.at.Add(500*time.Millisecond)) && at.Before(p.at.Add(p.signal.RetryAfter)) {
						within++
					}
				}
				require.Zero(t, within, "host %d, answered at %v", p.host, p.at.Sub(begin))
			}
			require.Greater(t, server.served, 9, "it is used again after each pause")
		})
	}
}

// The changes tell the begin, the later end and the end of each judgement.
func TestChanges(t *testing.T) {
	b := NewBook(testDrain)
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	change := func(st Standing, from Source, p Phase, since, until time.Duration) Change {
		return Change{Holder: first, Standing: st, Source: from, Phase: p, Since: at(since), Until: at(until)}
	}
	const s = time.Second
	keysUntil := time.Duration(ownerShare * float64(testDrain))

	require.Equal(t, []Change{change(Full, FromAnswer, Begun, 0, 2*s)}, b.Answered(first, at(0), full(2*s)))
	require.Empty(t, b.Answered(first, at(s), full(s)), "it ends no later")
	require.Equal(t, []Change{change(Full, FromAnswer, Extended, 0, 4*s)}, b.Answered(first, at(s), full(3*s)))
	require.Empty(t, b.Expire(at(4*s-1)))
	require.Equal(t, []Change{change(Full, FromAnswer, Ended, 0, 4*s)}, b.Expire(at(4*s)))
	require.Empty(t, b.states, "nothing is left of a pause")

	require.Equal(t, []Change{change(Leaving, FromDirectory, Begun, 5*s, 5*s+keysUntil)}, b.Listed(at(5*s), listing(directory.Draining, first)))
	require.Empty(t, b.LeavingByAnswer())
	require.Equal(t, []Change{change(Leaving, FromAnswer, Begun, 5*s, 5*s+keysUntil)}, b.Answered(first, at(6*s), leaving))
	require.Empty(t, b.Answered(first, at(7*s), leaving))
	require.Equal(t, []keyrange.Holder{first}, b.LeavingByAnswer())
	leave, pause := b.Count(at(7 * s))
	require.Equal(t, []int{1, 0}, []int{leave, pause})
	require.Equal(t, []Change{change(Leaving, FromAnswer, Ended, 5*s, 5*s+keysUntil)}, b.Listed(at(8*s), listing(directory.Ready, second)))
	require.Empty(t, b.states)
}

// An unreadable header is worth one log line for each server.
func TestUnreadableHeaderIsReportedOnce(t *testing.T) {
	b := NewBook(testDrain)
	require.True(t, b.ReportUnreadable(first))
	require.False(t, b.ReportUnreadable(first))
	require.True(t, b.ReportUnreadable(second))
	b.Expire(begin.Add(time.Hour))
	require.False(t, b.ReportUnreadable(first))
	require.Equal(t, Eligible, b.Check(first, begin, plain).Standing)
}
