package soak

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

// errClosed is what a caller gets if the host closes the connection.
var errClosed = &url.Error{Op: "Post", Err: io.EOF}

// keyOf is a key that the i-th server of newWorldWithHost holds.
func keyOf(i int) int { return 100 * i }

// newWorldWithHost returns a world without processes that has one host and two backend
// servers, each with keys of its own.
func newWorldWithHost(t *testing.T) (*world, *host) {
	w := newWorld()
	h := &host{w: w, name: "entry-0", stops: map[int64]time.Time{}}
	h.launches.Add(1)
	w.hosts = append(w.hosts, h)
	for i, id := range []string{"a", "b"} {
		_, backend := newBackend(w, id)
		body := fmt.Sprintf(`{"from":%d,"to":%d,"fence":1,"hold_s":5}`, keyOf(i), keyOf(i+1)-1)
		rec := httptest.NewRecorder()
		backend.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/grant", strings.NewReader(body)))
		require.Equal(t, 200, rec.Code)
	}
	return w, h
}

// newAttempt returns a request that was sent whole to a host's process a while ago.
func newAttempt(h *host, id string, age time.Duration) *attempt {
	n := h.launches.Load()
	sent := time.Now().Add(-age)
	a := &attempt{id: id, host: h, launch: n, process: processName(h.name, n), direct: true, sentAt: sent}
	a.wroteAt.Store(sent.UnixNano())
	h.w.announcements.requestSent(a)
	return a
}

// connectAt returns a function that makes a request one on a connection that was opened
// some time before its last byte.
func connectAt(before time.Duration) func(*world, *attempt) {
	return func(_ *world, a *attempt) { a.connectedAt.Store(a.wroteAt.Load() - int64(before)) }
}

func TestRequestWithoutAnswerIsReported(t *testing.T) {
	const while = 500 * time.Millisecond // longer than lossSlack
	cases := []struct {
		name    string
		age     time.Duration
		reaches bool // a server
		prepare func(w *world, a *attempt)
		err     error
		lost    bool
		crossed bool
	}{
		{name: "passed on, then closed", reaches: true, lost: true},
		{name: "closed after a while without being passed on", age: while, lost: true},
		{
			name: "it may have been sent to a server that was cut off", age: while,
			prepare: func(w *world, _ *attempt) { w.recordFault("b", time.Now()) },
		},
		{name: "its bytes crossed the close of a kept connection", crossed: true},
		{name: "dropped on a connection that was accepted for it", prepare: connectAt(0), lost: true},
		{name: "in the backlog of a listener that closed", prepare: connectAt(0), err: syscall.ECONNRESET, crossed: true},
		{name: "sent long after the connection was opened", prepare: connectAt(time.Second), crossed: true},
		{name: "not sent whole", age: while, prepare: func(_ *world, a *attempt) { a.wroteAt.Store(0) }},
		{name: "the time of the request was over", age: callTimeout, reaches: true},
		{name: "the caller waited in vain", age: while, err: os.ErrDeadlineExceeded},
		{
			name: "the host was killed", reaches: true,
			prepare: func(w *world, a *attempt) { w.recordFault(a.host.name, time.Now()) },
		},
		{
			name: "the server crashed", reaches: true,
			prepare: func(w *world, _ *attempt) { w.recordFault("a", time.Now()) },
		},
		{
			name: "another server crashed", reaches: true, lost: true,
			prepare: func(w *world, _ *attempt) { w.recordFault("b", time.Now()) },
		},
		{
			name: "a planned restart before is no excuse", reaches: true, lost: true,
			prepare: func(w *world, a *attempt) { w.recordPlanned(a.host.name, time.Now()) },
		},
		{
			name: "a fault of the store is no excuse", reaches: true, lost: true,
			prepare: func(w *world, _ *attempt) { w.recordFault("store", time.Now()) },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, h := newWorldWithHost(t)
			h.stops[h.launches.Load()] = time.Now().Add(-time.Second)
			a := newAttempt(h, "r", c.age)
			if c.prepare != nil {
				c.prepare(w, a)
			}
			var err error = errClosed
			if c.err != nil {
				err = &url.Error{Op: "Post", Err: c.err}
			}
			w.ledger.addUnanswered(a, err)
			if c.reaches { // also after the close
				require.Equal(t, 200, call(w.servers[0].currentBackend(), a.id, 7))
			}
			w.ledger.checkUnanswered()
			if !c.lost {
				require.Empty(t, rules(w))
			} else {
				require.Equal(t, []string{"LOST"}, rules(w))
				require.Contains(t, w.report.Violations[0].Detail, "in a planned stop, 1.0")
			}
			require.Equal(t, c.crossed, len(w.report.Crossed) > 0)
		})
	}
}

// passOn sends a request through the host to the first server and passes on its answer.
func passOn(t *testing.T, w *world, a *attempt) {
	require.Equal(t, 200, call(w.servers[0].currentBackend(), a.id, 7))
	w.announcements.responsePassedOn(a, w.servers[0].id)
}

func TestRequestToAServerThatToldThatItLeavesIsReported(t *testing.T) {
	first := link{process: processName("entry-0", 1)}
	cases := []struct {
		name    string
		prepare func(w *world, h *host)
		server  int // that the last request reaches
		age     time.Duration
		rules   []string
	}{
		{name: "long after it was passed on", rules: []string{ruleDrain}},
		{name: "sent before the bound", age: drainTime},
		{name: "another server", server: 1},
		{name: "the host was frozen since", prepare: func(_ *world, h *host) { h.resumedAt.Store(time.Now().UnixNano()) }},
		{name: "the host restarted since", prepare: func(_ *world, h *host) { h.launches.Add(1) }},
		{
			name: "a fault of the store is no excuse", rules: []string{ruleDrain},
			prepare: func(w *world, _ *host) { w.recordFault("store", time.Now()) },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, h := newWorldWithHost(t)
			leaving := w.servers[0].currentBackend()
			passOn(t, w, newAttempt(h, "before", 0))
			leaving.SetLeaving()
			passOn(t, w, newAttempt(h, "after", 0))
			first.backend = leaving
			require.False(t, w.announcements.passedOn[first].IsZero())
			w.announcements.passedOn[first] = time.Now().Add(-drainTime - time.Second)
			if c.prepare != nil {
				c.prepare(w, h)
			}
			a := newAttempt(h, "late", c.age)
			require.Equal(t, 200, call(w.servers[c.server].currentBackend(), a.id, keyOf(c.server)))
			require.Equal(t, c.rules, rules(w))
		})
	}
}

// An answer that the host has not passed on yet obliges it to nothing.
func TestLeavingServerWhoseAnswerWasNotPassedOn(t *testing.T) {
	w, h := newWorldWithHost(t)
	backend := w.servers[0].currentBackend()
	backend.SetLeaving()
	require.Equal(t, 200, call(backend, newAttempt(h, "r", 0).id, 7))
	require.Empty(t, w.announcements.passedOn)
}

func TestRequestsToAFullServerAreReported(t *testing.T) {
	cases := []struct {
		name     string
		form     platformtest.RetryAfterForm
		requests int
		prepare  func(w *world, h *host)
		early    bool // within budgetReaction
		rules    []string
	}{
		{name: "three requests", requests: 3, rules: []string{ruleBudget}},
		{name: "two requests", requests: 2},
		{name: "fractional seconds", form: platformtest.FractionalSeconds, requests: 3, rules: []string{ruleBudget}},
		{name: "a date tells no seconds", form: platformtest.Date, requests: 5},
		{name: "garbage tells nothing", form: platformtest.Garbage, requests: 5},
		{name: "no time", form: platformtest.NoRetryAfter, requests: 5},
		{name: "at once", requests: 5, early: true},
		{
			name: "the host restarted since", requests: 5,
			prepare: func(_ *world, h *host) { h.launches.Add(1) },
		},
		{
			name: "the host was cut off", requests: 5,
			prepare: func(w *world, h *host) { w.recordFault(h.name, time.Now()) },
		},
		{
			name: "a planned stop is no excuse", requests: 5, rules: []string{ruleBudget},
			prepare: func(w *world, h *host) { w.recordPlanned(h.name, time.Now()) },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, h := newWorldWithHost(t)
			backend := w.servers[0].currentBackend()
			backend.SetFull(4*time.Second, c.form)
			require.Equal(t, http.StatusServiceUnavailable, call(backend, newAttempt(h, "first", 0).id, 7))
			backend.SetFull(0, c.form) // it has room before the time is over
			if c.prepare != nil {
				c.prepare(w, h)
			}
			for range c.requests {
				if !c.early {
					beginQuietPeriods(w)
				}
				require.Equal(t, 200, call(backend, newAttempt(h, w.ledger.newID("r"), 0).id, 7))
			}
			require.Equal(t, c.rules, rules(w))
		})
	}
}

// beginQuietPeriods makes the times for which servers want no requests begin.
func beginQuietPeriods(w *world) {
	for _, periods := range w.announcements.quiet {
		for _, p := range periods {
			p.from = time.Now()
		}
	}
}

func TestFullServerRunsNothing(t *testing.T) {
	backend := platformtest.NewBackend("a")
	require.Equal(t, 200, backend.GrantAll(1, 5*time.Second))
	for _, form := range platformtest.RetryAfterForms {
		backend.SetFull(time.Minute, form)
		require.Equal(t, http.StatusServiceUnavailable, call(backend, "r", 7), form)
	}
	require.Zero(t, backend.Runs("r"))
	backend.SetFull(0, platformtest.WholeSeconds)
	require.Equal(t, 200, call(backend, "r", 7))
}

// The bound on servers that drain holds for hosts that were told to stop, but for a
// moment after SIGTERM.
func TestDrainBoundInPlannedStops(t *testing.T) {
	w, h := newWorldWithHost(t)
	s := w.servers[0]
	s.draining, s.drainAckedAt = true, time.Now().Add(-time.Minute)
	h.stops[h.launches.Load()] = time.Now()
	require.Equal(t, 200, call(s.currentBackend(), "1", 7))
	require.Empty(t, rules(w))
	h.stops[h.launches.Load()] = time.Now().Add(-2 * undisturbedPeriod)
	require.Equal(t, 200, call(s.currentBackend(), "2", 7))
	require.Equal(t, []string{ruleDrain}, rules(w))
}

// A seed must give the same planned stops in each run.
func TestSeedDecidesThePlannedStops(t *testing.T) {
	require.Equal(t, newStopPlan(newRand(4)), newStopPlan(newRand(4)))
	require.NotEqual(t, newStopPlan(newRand(4)), newStopPlan(newRand(5)))
}
