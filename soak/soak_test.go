package soak

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/lacewingsaddle/lacewingsaddle/platform"
	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout bounds the tests' waits. No result depends on its value.
const waitTimeout = 30 * time.Second

// newWorld returns a world without processes, for testing the checks.
func newWorld() *world {
	w := &world{
		cfg:            Config{Seed: 1},
		start:          time.Now(),
		disturbedUntil: map[string]time.Time{},
		faultUntil:     map[string]time.Time{},
	}
	w.ledger = newLedger(w)
	w.announcements = newAnnouncements(w)
	w.store = platformtest.NewStore()
	w.operator = newOperator(w)
	return w
}

// newBackend returns a server without a listener and its backend, registered with
// the ledger.
func newBackend(w *world, id string) (*server, *platformtest.Backend) {
	s := &server{w: w, id: id, instance: &platformtest.Instance{ID: id, Store: w.store}}
	backend := platformtest.NewBackend(id)
	s.watch(backend)
	s.instance.Use(backend)
	w.servers = append(w.servers, s)
	w.ledger.addBackend(s, backend)
	return s, backend
}

// call sends a request to a backend and returns its status.
func call(backend *platformtest.Backend, id string, key int) int {
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	if key >= 0 {
		platformtest.SetRequestHeaders(r.Header, id, key, time.Second)
	} else {
		platformtest.SetUnkeyedHeaders(r.Header, id)
	}
	rec := httptest.NewRecorder()
	backend.ServeHTTP(rec, r)
	return rec.Code
}

func rules(w *world) []string {
	var out []string
	for _, v := range w.report.Violations {
		out = append(out, v.Rule)
	}
	return out
}

// noKey stands for a request without a key.
const noKey = -1

func TestTwoOwnersAreNoticed(t *testing.T) {
	w := newWorld()
	_, a := newBackend(w, "a")
	_, b := newBackend(w, "b")
	require.Equal(t, 200, a.GrantAll(1, 5*time.Second))
	require.Equal(t, 200, call(a, "1", 7))
	require.Equal(t, 200, b.GrantAll(1, 5*time.Second))
	require.Equal(t, 200, call(b, "2", 7))
	require.Empty(t, rules(w), "only one has begun a request since both held the key")
	require.Equal(t, 200, call(a, "3", 7))
	require.Equal(t, []string{"OWNER"}, rules(w))
}

func TestACrashedHolderIsNoOwner(t *testing.T) {
	w := newWorld()
	_, a := newBackend(w, "a")
	_, b := newBackend(w, "b")
	require.Equal(t, 200, a.GrantAll(1, 5*time.Second))
	w.ledger.removeBackend(a)
	require.Equal(t, 200, b.GrantAll(1, 5*time.Second))
	for _, id := range []string{"1", "2"} {
		require.Equal(t, 200, call(b, id, 7))
	}
	require.Empty(t, rules(w))
}

func TestRunsAreComparedWithAnswers(t *testing.T) {
	w := newWorld()
	_, a := newBackend(w, "a")
	_, b := newBackend(w, "b")
	for _, id := range []string{"twice", "refused", "unasked", "safe", "once"} {
		require.Equal(t, 200, call(a, id, noKey))
	}
	for _, id := range []string{"twice", "safe"} {
		require.Equal(t, 200, call(b, id, noKey))
	}
	w.ledger.addAnswer(answer{id: "twice", atMostOnce: true})
	w.ledger.addAnswer(answer{id: "refused", atMostOnce: true, outcome: rejected})
	w.ledger.addAnswer(answer{id: "safe"})
	w.ledger.addAnswer(answer{id: "once", atMostOnce: true})
	w.ledger.addAnswer(answer{id: "never ran", atMostOnce: true, outcome: rejected})
	w.ledger.addAnswer(answer{id: "unrun", atMostOnce: true, outcome: served})
	w.ledger.addAnswer(answer{id: "unrun lookup", outcome: served})
	w.ledger.checkRuns()
	require.ElementsMatch(t, []string{"TWICE", "REFUSED", "UNASKED", "UNRUN", "UNRUN"}, rules(w))
}

func TestRequestAfterDrainingIsReported(t *testing.T) {
	w := newWorld()
	s, backend := newBackend(w, "a")
	require.Equal(t, 200, backend.GrantAll(1, 5*time.Second))
	s.draining, s.drainAckedAt = true, time.Now().Add(-time.Second)
	require.Equal(t, 200, call(backend, "1", 7))
	require.Empty(t, rules(w), "a draining server still serves until drainTime is over")
	s.drainAckedAt = time.Now().Add(-time.Minute)
	w.recordFault("store", time.Now())
	require.Equal(t, 200, call(backend, "2", 7))
	require.Empty(t, rules(w), "the store had a fault a moment ago")
	w.disturbedUntil["store"] = time.Now().Add(-time.Minute)
	require.Equal(t, 200, call(backend, "3", 7))
	require.Equal(t, []string{"DRAIN"}, rules(w))
}

func TestAnswersAreChecked(t *testing.T) {
	cases := []struct {
		name   string
		answer func(h http.Header) (status int, body string)
		rule   string
	}{
		{"sound", func(h http.Header) (int, string) {
			platformtest.Sign(h, "a", "r")
			return 200, "a ran r b"
		}, ""},
		{"of another request", func(h http.Header) (int, string) {
			platformtest.Sign(h, "a", "q")
			return 200, "a ran q b"
		}, "MIXED"},
		{"changed", func(h http.Header) (int, string) {
			platformtest.Sign(h, "a", "r")
			return 200, "a ran r"
		}, "MIXED"},
		{"refused without a time", func(http.Header) (int, string) { return 503, "" }, "REFUSED"},
		{"denied", func(http.Header) (int, string) { return 400, "" }, "DENIED"},
		{"older configuration than before", func(http.Header) (int, string) { return 404, "" }, "CONFIG"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld()
			cl := newClient(w, 0)
			cl.newestServed["h/1"] = 3
			resp := &http.Response{Header: http.Header{}}
			var body string
			resp.StatusCode, body = c.answer(resp.Header)
			cl.check(&attempt{id: "r", process: "h/1", host: &host{name: "h"}, version: 2, body: "b"}, resp, body, nil)
			if c.rule == "" {
				require.Empty(t, rules(w))
				return
			}
			require.Contains(t, rules(w), c.rule)
		})
	}
}

// Checks the effect of each mode of the proxy on a connection.
func TestProxy(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer echo.Close()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := NewProxy(echo.Addr().String())
	require.NoError(t, err)
	defer p.Close()
	for _, m := range []Mode{Pass, Delay} {
		p.Set(m)
		require.Equal(t, "hello", exchange(t, p, waitTimeout))
	}
	for _, m := range []Mode{SilenceUp, SilenceDown, Silence} {
		p.Set(m)
		require.Empty(t, exchange(t, p, 50*time.Millisecond))
	}
	p.Set(Reset)
	require.Empty(t, exchange(t, p, waitTimeout))
	p.Set(Pass)
	require.Equal(t, "hello", exchange(t, p, waitTimeout))
}

// exchange sends a word over a new connection and returns what is echoed within limit.
func exchange(t *testing.T, p *Proxy, limit time.Duration) string {
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		return "" // it was reset while it was being opened
	}
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(limit)))
	if _, err := io.WriteString(c, "hello"); err != nil {
		return ""
	}
	buf := make([]byte, len("hello"))
	n, _ := io.ReadFull(c, buf) // an error leaves the bytes read before it
	return string(buf[:n])
}

// The platform must load the settings that the soak writes for its hosts.
func TestSettingsAreThePlatforms(t *testing.T) {
	w := newWorld()
	w.cfg.Dir = t.TempDir()
	h, err := newHost(w, 0, "127.0.0.1:1")
	require.NoError(t, err)
	defer h.close()
	t.Setenv(platformtest.SettingsVariable, h.settingsPath)
	s, err := platform.LoadSettings()
	require.NoError(t, err)
	require.Equal(t, "entry-0", s.Host)
	require.Equal(t, h.trafficAddr, s.Traffic)
	require.Equal(t, graceTime, s.StopGrace)
}

// A seed must give the same faults in each run, so that a failure can be reproduced.
func TestSeedDecidesTheFaults(t *testing.T) {
	names := func(seed uint64) string {
		w := &world{rand: newRand(seed)}
		var out []string
		for range 50 {
			out = append(out, w.randomFaultKind().name)
		}
		return strings.Join(out, " ")
	}
	require.Equal(t, names(4), names(4))
	require.NotEqual(t, names(4), names(5))
}
