package logsvc

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
	"github.com/lacewingsaddle/lacewingsaddle/tlog/tlogtest"
)

// clock is a manual clock: only advance moves it.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0)} }

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// start serves a service over loopback.
func start(t *testing.T, cfg Config) (*Service, *tlog.Client, string) {
	t.Helper()
	s := NewWithConfig(cfg)
	h := httptest.NewServer(s.Handler())
	t.Cleanup(func() {
		s.Close()
		h.CloseClientConnections()
		h.Close()
	})
	return s, tlog.NewClient(h.URL, nil), h.URL
}

func TestClientAndServiceKeepTheLogContract(t *testing.T) {
	tlogtest.Run(t, func(t *testing.T) tlogtest.Subject {
		s, client, _ := start(t, Config{})
		return tlogtest.Subject{
			Log: client,
			SetOutage: func(on bool) {
				s.SetFaults(Faults{Outage: map[bool]Outage{true: Refusing, false: NoOutage}[on]})
			},
			LoseNextAnswer: func() { s.SetFaults(Faults{LoseAnswers: 1}) },
			DelayNextAppend: func() func() {
				s.SetFaults(Faults{LateAppends: 1})
				return func() { s.ReleaseLateAppends() }
			},
			DropOldest: func(stream string, n int) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.cfg.MaxRecords = n
				s.trim(s.stream(stream))
			},
		}
	})
}

func TestRetentionByAgeDropsOldRecords(t *testing.T) {
	c := newClock()
	_, client, _ := start(t, Config{Retention: time.Hour, Now: c.Now})
	_, err := client.Append(t.Context(), "a", []byte("old"))
	require.NoError(t, err)
	c.advance(2 * time.Hour)
	batch, err := client.Read(t.Context(), "a", 1, 0)
	require.Equal(t, fault.LogGap, fault.KindOf(err))
	require.Equal(t, tlog.Offset(2), batch.First)
	offset, err := client.Append(t.Context(), "a", []byte("new"))
	require.NoError(t, err)
	require.Equal(t, tlog.Offset(2), offset)
}

func TestAppendsPerSecondAreCapped(t *testing.T) {
	c := newClock()
	_, client, _ := start(t, Config{AppendsPerSecond: 3, Now: c.Now})
	for range 3 {
		_, err := client.Append(t.Context(), "a", nil)
		require.NoError(t, err)
	}
	_, err := client.Append(t.Context(), "a", nil)
	require.Equal(t, fault.LogUnavailable, fault.KindOf(err))
	c.advance(time.Second)
	_, err = client.Append(t.Context(), "a", nil)
	require.NoError(t, err)
}

func TestSilentOutageAnswersNothingAndTakesNothing(t *testing.T) {
	s, client, _ := start(t, Config{})
	s.SetFaults(Faults{Outage: Silent})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err := client.Append(ctx, "a", []byte("x"))
	require.Equal(t, fault.InDoubt, fault.KindOf(err))
	s.SetFaults(Faults{})
	batch, err := client.Read(t.Context(), "a", 1, 0)
	require.NoError(t, err)
	require.Empty(t, batch.Records)
}

func TestSlownessDelaysEachAnswer(t *testing.T) {
	s, client, _ := start(t, Config{})
	s.SetFaults(Faults{DelayMS: 60_000})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err := client.Hosts(ctx)
	require.Equal(t, fault.LogUnavailable, fault.KindOf(err))
	s.SetFaults(Faults{DelayMS: 1})
	_, err = client.Hosts(t.Context())
	require.NoError(t, err)
}

func TestHostListLags(t *testing.T) {
	c := newClock()
	s, client, _ := start(t, Config{Now: c.Now})
	live := []tlog.Host{{Name: "entry-1", Domain: "pampa", State: tlog.HostLive}}
	s.SetHosts(live)
	c.advance(time.Minute)
	s.SetFaults(Faults{HostListLagMS: 5000})
	s.SetHosts(nil)
	hosts, err := client.Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, live, hosts)
	c.advance(5 * time.Second)
	hosts, err = client.Hosts(t.Context())
	require.NoError(t, err)
	require.Empty(t, hosts)
}

func TestLateAppendTakesEffectAfterItsDelay(t *testing.T) {
	s, client, _ := start(t, Config{})
	s.SetFaults(Faults{LateAppends: 1, LateMS: 1})
	_, err := client.Append(t.Context(), "a", []byte("late"))
	require.Equal(t, fault.InDoubt, fault.KindOf(err))
	batch, err := client.Read(t.Context(), "a", 1, 10*time.Second)
	require.NoError(t, err)
	require.Len(t, batch.Records, 1)
}

func TestAdminCalls(t *testing.T) {
	s, _, url := start(t, Config{})
	cases := []struct {
		name, method, path, body string
		status                   int
		want                     string
	}{
		{"faults are merged", http.MethodPut, "/-/admin/faults", `{"outage":"refusing","delay_ms":3}`, 200, `"delay_ms":3`},
		{"faults are told", http.MethodGet, "/-/admin/faults", ``, 200, `"outage":"refusing"`},
		{"an unnamed fault stays", http.MethodPut, "/-/admin/faults", `{"delay_ms":0}`, 200, `"outage":"refusing"`},
		{"an unknown fault is refused", http.MethodPut, "/-/admin/faults", `{"outrage":true}`, 400, "outrage"},
		{"hosts are set", http.MethodPut, "/-/admin/hosts", `{"hosts":[{"name":"a","domain":"d","state":"live"}]}`, 200, `"name":"a"`},
		{"late appends are released", http.MethodPost, "/-/admin/release", ``, 200, `"late":0`},
		{"streams are told", http.MethodGet, "/-/admin/streams", ``, 200, `"streams"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, body := call(t, c.method, url+c.path, c.body)
			require.Equal(t, c.status, status)
			require.Contains(t, body, c.want)
		})
	}
	require.Len(t, s.visibleHosts(), 1)
}

func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(raw)
}
