package keyserver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/lacewingsaddle/lacewingsaddle/routing"
)

// noAnswerWait is how long a test waits for an answer that must not come.
const noAnswerWait = 40 * time.Millisecond

// grantTTL is far longer than a test.
const grantTTL = int64(600_000)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a server under test with an HTTP client of its own.
type fixture struct {
	*Server
	caller *http.Client
}

func start(t *testing.T, traits Traits) *fixture {
	t.Helper()
	s := New(Config{ID: "s1", Traits: traits})
	require.NoError(t, s.Start("127.0.0.1:0"))
	caller := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		s.Kill()
		caller.CloseIdleConnections()
	})
	return &fixture{Server: s, caller: caller}
}

// answer is the response that the caller received.
type answer struct {
	status int
	notRun string
	header http.Header
	body   string
}

func (b *fixture) do(ctx context.Context, method, path, body string, headers ...string) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.Addr()+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return answer{}, err
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := b.caller.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get(routing.HeaderNotRun), resp.Header, string(raw)}, err
}

func (b *fixture) mustDo(t *testing.T, method, path, body string, headers ...string) answer {
	t.Helper()
	a, err := b.do(t.Context(), method, path, body, headers...)
	require.NoError(t, err)
	return a
}

// requireSilent sends a request that must not be answered.
func (b *fixture) requireSilent(t *testing.T, path string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), noAnswerWait)
	defer cancel()
	_, err := b.do(ctx, http.MethodPost, path, "")
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// eventually waits for a condition that must become true.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 20*time.Second, time.Millisecond)
}

// background sends a request whose answer arrives on the channel.
func (b *fixture) background(t *testing.T, path string, headers ...string) <-chan answer {
	out := make(chan answer, 1)
	ctx := t.Context()
	go func() {
		a, _ := b.do(ctx, http.MethodPost, path, "", headers...)
		out <- a
	}()
	return out
}

func TestRequestRunsAndIsAnswered(t *testing.T) {
	b := start(t, Traits{EchoID: true, KeySegment: 2})
	a := b.mustDo(t, http.MethodPost, "/orders/k1", "payload",
		routing.HeaderRequestID, "r1", routing.HeaderShard, "7", routing.HeaderToken, "9", "Idempotency-Key", "o1")
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, "r1", a.header.Get(routing.HeaderRequestID))
	require.Equal(t, "POST /orders/k1 o1 payload", a.body)
	runs := b.Ledger()
	require.Len(t, runs, 1)
	r := runs[0]
	require.Equal(t, []string{"s1", "r1", "o1", "k1"}, []string{r.Server, r.RequestID, r.OrderID, r.Key})
	require.Equal(t, []uint64{7, 9, 7}, []uint64{r.Shard, r.Token, uint64(r.BodyBytes)})
	require.False(t, r.End.Before(r.Start))
}

// TestRefusals has one row for each way a server says that it did not run a request.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		traits Traits
		status int
		reason string
		retry  bool
	}{
		{"shedding", Traits{Shedding: true}, 503, "overloaded", true},
		{"draining", Traits{Drain: Draining}, 503, "draining", true},
		{"starting", Traits{ColdStartMS: 600_000}, 503, "starting", true},
		{"no grant", Traits{ChecksGrants: true}, 409, "no-grant", false},
		{"announcing only", Traits{Drain: Announcing}, 200, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.traits.EchoID = true
			b := start(t, c.traits)
			a := b.mustDo(t, http.MethodPost, "/x", "", routing.HeaderRequestID, "r1")
			require.Equal(t, c.status, a.status)
			require.Equal(t, "r1", a.header.Get(routing.HeaderRequestID))
			require.Equal(t, c.reason, a.notRun)
			require.Equal(t, c.retry, a.header.Get("Retry-After") != "")
			require.Equal(t, c.status == 200, len(b.Ledger()) == 1)
		})
	}
}

func TestFullServerShedsAndQueuedRequestRuns(t *testing.T) {
	b := start(t, Traits{ServiceMS: 600_000, Slots: 1, Queue: 1})
	b.background(t, "/first")
	eventually(t, func() bool { return len(b.Ledger()) == 1 })
	queued := b.background(t, "/queued")
	eventually(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.waiting == 1
	})
	require.Equal(t, "overloaded", b.mustDo(t, http.MethodPost, "/shed", "").notRun)
	b.SetTraits(Traits{Slots: 2, Queue: 1})
	require.Equal(t, http.StatusOK, (<-queued).status)
	require.Len(t, b.Ledger(), 2)
}

func TestDeadlinePassedInTheQueueIsNotRun(t *testing.T) {
	b := start(t, Traits{ServiceMS: 600_000, Slots: 1, Queue: 9})
	b.background(t, "/first")
	eventually(t, func() bool { return len(b.Ledger()) == 1 })
	a := b.mustDo(t, http.MethodPost, "/late", "", routing.HeaderDeadlineMS, "5")
	require.Equal(t, "overloaded", a.notRun)
	require.Len(t, b.Ledger(), 1)
}

func TestCancellation(t *testing.T) {
	for name, ignores := range map[string]bool{"honoured": false, "ignored": true} {
		t.Run(name, func(t *testing.T) {
			b := start(t, Traits{ServiceMS: 600_000, IgnoresCancel: ignores})
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _, _ = b.do(ctx, http.MethodPost, "/x", "") }()
			eventually(t, func() bool { return len(b.Ledger()) == 1 })
			cancel()
			if ignores {
				b.SetTraits(Traits{IgnoresCancel: true})
			}
			eventually(t, func() bool { return !b.Ledger()[0].End.IsZero() })
			require.Equal(t, !ignores, b.Ledger()[0].Canceled)
		})
	}
}

func TestFrozenServerResumesAfterThaw(t *testing.T) {
	b := start(t, Traits{ServiceMS: 1})
	b.mustDo(t, http.MethodGet, "/warm", "")
	b.Freeze()
	b.requireSilent(t, "/on-a-new-or-open-connection")
	waiting := b.background(t, "/waiting")
	require.Len(t, b.Ledger(), 1)
	b.Thaw()
	require.Equal(t, http.StatusOK, (<-waiting).status)
}

func TestRequestBegunBeforeAFreezeEndsAfterIt(t *testing.T) {
	b := start(t, Traits{ServiceMS: 600_000})
	begun := b.background(t, "/begun")
	eventually(t, func() bool { return len(b.Ledger()) == 1 })
	b.Freeze()
	b.SetTraits(Traits{})
	b.requireSilent(t, "/during")
	require.True(t, b.Ledger()[0].End.IsZero())
	b.Thaw()
	require.Equal(t, http.StatusOK, (<-begun).status)
}

func TestKilledServerRefusesAndRestartsCold(t *testing.T) {
	b := start(t, Traits{ServiceMS: 600_000, ChecksGrants: true})
	require.Equal(t, 200, b.putGrant(t, 1, grantTTL, []ShardToken{{7, 9}}, nil).status)
	begun := b.background(t, "/begun", routing.HeaderShard, "7", routing.HeaderToken, "9")
	eventually(t, func() bool { return len(b.Ledger()) == 1 })
	b.Kill()
	require.Zero(t, (<-begun).status, "an answer came from a killed server")
	_, err := b.do(t.Context(), http.MethodPost, "/x", "")
	require.ErrorContains(t, err, "refused")
	require.NoError(t, b.Restart())
	require.True(t, b.Ledger()[0].End.IsZero())
	require.Equal(t, 412, b.putGrant(t, 1, grantTTL, nil, nil).status)
}

func TestSilentConnectionsNeverAnswerAndNewOnesWork(t *testing.T) {
	b := start(t, Traits{})
	b.mustDo(t, http.MethodPost, "/opens-a-connection", "")
	require.Equal(t, 1, b.SilenceConns())
	b.requireSilent(t, "/on-the-silent-connection")
	require.Equal(t, http.StatusOK, b.mustDo(t, http.MethodPost, "/on-a-new-one", "").status)
	require.Len(t, b.Ledger(), 2)
}

func TestConnectionsAreCapped(t *testing.T) {
	b := start(t, Traits{Connections: 1, ServiceMS: 600_000})
	first := b.background(t, "/first")
	eventually(t, func() bool { return len(b.Ledger()) == 1 })
	b.requireSilent(t, "/second")
	require.Equal(t, 1, b.Status().Conns)
	b.SetTraits(Traits{})
	require.Equal(t, http.StatusOK, (<-first).status)
}

func TestHealthLagsOrMisleads(t *testing.T) {
	busy := 42
	cases := []struct {
		name   string
		traits Traits
		status int
		want   HealthAnswer
	}{
		{"true", Traits{Slots: 3}, 200, HealthAnswer{State: "ok", Slots: 3}},
		{"draining", Traits{Drain: Draining}, 200, HealthAnswer{State: "draining"}},
		{"starting", Traits{ColdStartMS: 600_000}, 200, HealthAnswer{State: "starting"}},
		{"lagging", Traits{Drain: Draining, Health: HealthFaults{LagMS: 600_000}}, 200, HealthAnswer{State: "ok"}},
		{"misleading", Traits{Drain: Draining, Health: HealthFaults{State: "ok", InFlight: &busy}}, 200, HealthAnswer{State: "ok", InFlight: 42}},
		{"said to be down", Traits{Health: HealthFaults{State: "down"}}, 503, HealthAnswer{State: "down"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := start(t, Traits{})
			b.SetTraits(c.traits)
			a := b.mustDo(t, http.MethodGet, "/-/health", "")
			if c.traits.ColdStartMS == 0 {
				require.Equal(t, c.status, a.status)
			}
			var got HealthAnswer
			require.NoError(t, json.Unmarshal([]byte(a.body), &got))
			require.Equal(t, c.want, got)
		})
	}
}

func (b *fixture) putGrant(t *testing.T, epoch uint64, ttl int64, shards []ShardToken, keys []KeyToken) answer {
	t.Helper()
	body, err := json.Marshal(GrantRequest{Service: "svc", Epoch: epoch, TTLMS: ttl, Shards: shards, Keys: keys})
	require.NoError(t, err)
	return b.mustDo(t, http.MethodPut, "/-/grants", string(body))
}

func TestGrants(t *testing.T) {
	type put struct {
		epoch  uint64
		ttl    int64
		shards []ShardToken
		keys   []KeyToken
		status int
	}
	whole := put{5, grantTTL, []ShardToken{{7, 20}}, []KeyToken{{"hot", 30}}, 200}
	cases := []struct {
		name       string
		puts       []put
		key        string
		token      string
		wantReason string
	}{
		{"granted shard", []put{whole}, "k", "20", ""},
		{"granted key", []put{whole}, "hot", "30", ""},
		{"the shard's token does not open a pinned key", []put{whole}, "hot", "20", "stale-token"},
		{"older token", []put{whole}, "k", "19", "stale-token"},
		{"newer token", []put{whole}, "k", "21", "no-grant"},
		{"ended grant", []put{{5, 0, whole.shards, nil, 200}}, "k", "20", "no-grant"},
		{"renewed after its end", []put{{5, 0, whole.shards, nil, 200}, {5, grantTTL, nil, nil, 412}}, "k", "20", "no-grant"},
		{"sent whole after its end", []put{{5, 0, whole.shards, nil, 200}, whole}, "k", "20", ""},
		{"renewed in time", []put{whole, {5, grantTTL, nil, nil, 200}}, "k", "20", ""},
		{"renewal of an unknown epoch", []put{{5, grantTTL, nil, nil, 412}}, "k", "20", "no-grant"},
		{"renewal of another epoch", []put{whole, {6, grantTTL, nil, nil, 412}}, "k", "20", ""},
		{"stale epoch", []put{whole, {4, grantTTL, []ShardToken{{7, 10}}, nil, 409}}, "k", "20", ""},
		{"stale renewal", []put{whole, {4, grantTTL, nil, nil, 409}}, "k", "20", ""},
		{"replaced by a grant without the shard", []put{whole, {6, grantTTL, []ShardToken{{8, 40}}, nil, 200}}, "k", "20", "no-grant"},
		{"replaced by an empty grant", []put{whole, {6, grantTTL, []ShardToken{}, nil, 200}}, "k", "20", "no-grant"},
		{"the highest token is kept", []put{whole, {6, grantTTL, []ShardToken{{7, 10}}, nil, 200}}, "k", "10", "stale-token"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := start(t, Traits{ChecksGrants: true, KeySegment: 1})
			for _, p := range c.puts {
				require.Equal(t, p.status, b.putGrant(t, p.epoch, p.ttl, p.shards, p.keys).status)
			}
			a := b.mustDo(t, http.MethodPost, "/"+c.key, "", routing.HeaderShard, "7", routing.HeaderToken, c.token)
			require.Equal(t, c.wantReason, a.notRun)
		})
	}
}

func TestServerThatChecksNoGrantsRecordsThem(t *testing.T) {
	b := start(t, Traits{})
	require.Equal(t, 200, b.mustDo(t, http.MethodPost, "/k", "", routing.HeaderShard, "7", routing.HeaderToken, "9").status)
	require.False(t, b.Ledger()[0].Granted)
	b.putGrant(t, 1, grantTTL, []ShardToken{{7, 9}}, nil)
	b.mustDo(t, http.MethodPost, "/k", "", routing.HeaderShard, "7", routing.HeaderToken, "9")
	require.True(t, b.Ledger()[1].Granted)
}

func TestAdminCallsAnswerWhileTheServerIsFrozenOrKilled(t *testing.T) {
	b := start(t, Traits{})
	admin := httptest.NewServer(b.AdminHandler())
	defer admin.Close()
	cases := []struct {
		name, method, path, body string
		status                   int
		want                     string
	}{
		{"status", http.MethodGet, "status", "", 200, `"running":true,"frozen":false`},
		{"freeze", http.MethodPost, "freeze", "", 200, `"frozen":true`},
		{"thaw", http.MethodPost, "thaw", "", 200, `"frozen":false`},
		{"drain", http.MethodPost, "drain", "", 200, `"drain":"draining"`},
		{"undrain", http.MethodPost, "undrain", "", 200, `"drain":""`},
		{"silence", http.MethodPost, "silence", "", 200, `"running":true`},
		{"traits", http.MethodPut, "traits", `{"slots":3}`, 200, `"slots":3`},
		{"unknown trait", http.MethodPut, "traits", `{"slot":3}`, 400, "unknown field"},
		{"ledger", http.MethodGet, "ledger?from=0", "", 200, "["},
		{"restart of a running server", http.MethodPost, "restart", "", 409, "running"},
		{"kill", http.MethodPost, "kill", "", 200, `"running":false`},
		{"restart", http.MethodPost, "restart", "", 200, `"running":true`},
	}
	for _, c := range cases {
		req, err := http.NewRequestWithContext(t.Context(), c.method, admin.URL+"/-/admin/"+c.path, strings.NewReader(c.body))
		require.NoError(t, err)
		resp, err := admin.Client().Do(req)
		require.NoError(t, err, c.name)
		raw, err := io.ReadAll(resp.Body)
		require.NoError(t, err, c.name)
		resp.Body.Close()
		require.Equal(t, c.status, resp.StatusCode, c.name)
		require.Contains(t, string(raw), c.want, c.name)
	}
}
