package loadgen

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/routing"
	"github.com/lacewingsaddle/lacewingsaddle/standin/keyserver"
	"github.com/lacewingsaddle/lacewingsaddle/yamldoc"
)

const scenarioText = `name: small
seed: 7
duration: 10s
rate: 100
resubmit: {delay: 50ms, within: 2s}
hosts: [127.0.0.1:1, 127.0.0.1:2]
platform: http://127.0.0.1:3
services:
  - name: stock
    path_prefix: /stock
    upload_path: /scans
    keyed: true
    weight: 1
    keys: 100
    zipf: 1.1
    mix: {lookup: 7, order: 2, upload: 1}
    servers: [{id: s1, admin: http://127.0.0.1:4}, {id: s2, admin: http://127.0.0.1:5}]
faults:
  - {at: 2s, server: s1, action: freeze}
  - {at: 3s, platform: {outage: refusing}}
  - {at: 4s, tell: end entry host 1}
`

func smallScenario(t testing.TB) Scenario {
	t.Helper()
	s, err := ParseScenario([]byte(scenarioText))
	require.NoError(t, err)
	return s
}

func TestScenarioErrors(t *testing.T) {
	cases := []struct{ name, old, with, want string }{
		{"unknown field", "seed: 7", "sead: 7", "sead"},
		{"no rate", "rate: 100", "rate: 0", "rate"},
		{"host name", "127.0.0.1:1,", "entry-1:1,", "hosts[0]"},
		{"unknown server", "server: s1", "server: s9", "faults[0].server"},
		{"unknown action", "action: freeze", "action: melt", "faults[0].action"},
		{"fault past the end", "at: 4s", "at: 40s", "faults[2].at"},
		{"two faults in one step", "tell: end", "server: s1, action: thaw, tell: end", "faults[2]"},
		{"id twice", "id: s2", "id: s1", "services[0].servers[1].id"},
		{"zipf below 1", "zipf: 1.1", "zipf: 0.9", "services[0].zipf"},
		{"uploads without path", "upload_path: /scans", "upload_path: ''", "services[0].upload_path"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseScenario(bytes.Replace([]byte(scenarioText), []byte(c.old), []byte(c.with), 1))
			var errs yamldoc.FieldErrors
			require.True(t, errors.As(err, &errs), "%v", err)
			require.Equal(t, c.want, errs[0].Path)
			require.Positive(t, errs[0].Line)
		})
	}
}

func FuzzParseScenario(f *testing.F) {
	f.Add([]byte(scenarioText))
	f.Add([]byte("faults: [{platform: 1}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseScenario(data)
		if err == nil {
			require.Empty(t, s.Check())
		}
	})
}

func TestTheSameSeedSendsTheSameRequests(t *testing.T) {
	draw := func(seed int) (out []arrival) {
		s := smallScenario(t)
		s.Seed = seed
		for a := newArrivals(s); ; {
			next, ok := a.next()
			if !ok {
				return out
			}
			out = append(out, next)
		}
	}
	require.Equal(t, draw(1), draw(1))
	require.NotEqual(t, draw(1), draw(2))
	require.InDelta(t, 1000, len(draw(1)), 150)
}

// fakeDeployment simulates a deployment in virtual time: server s1 owns every key,
// and s2 takes over takeoverTime after s1 is frozen.
type fakeDeployment struct {
	mu           sync.Mutex
	serviceTime  time.Duration
	takeoverTime time.Duration
	runsTwice    bool // after the takeover, the former owner executes each request as well
	frozenAt     time.Time
	runs         map[string][]keyserver.Run
	applied      []Fault
}

func (f *fakeDeployment) Apply(_ context.Context, step Fault) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = append(f.applied, step)
	if step.Action == "freeze" {
		f.frozenAt = time.Now()
	}
	return nil
}

func (f *fakeDeployment) Ledger(_ context.Context, s Server) ([]keyserver.Run, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[s.ID], nil
}

func (f *fakeDeployment) recordRun(server string, token uint64, r Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[server] = append(f.runs[server], keyserver.Run{Server: server, Path: r.Path, Key: "k", Token: token, Start: time.Now()})
}

func (f *fakeDeployment) Send(ctx context.Context, _ string, r Request) Result {
	f.mu.Lock()
	frozenAt := f.frozenAt
	f.mu.Unlock()
	server, token := "s1", uint64(1)
	if !frozenAt.IsZero() {
		if time.Since(frozenAt) < f.takeoverTime {
			return Result{Outcome: fault.NotRun, Retryable: true}
		}
		server, token = "s2", 2
	}
	f.recordRun(server, token, r)
	if f.runsTwice && server == "s2" {
		f.recordRun("s1", 1, r)
	}
	_ = wait.Sleep(ctx, f.serviceTime)
	return Result{Outcome: fault.Answered}
}

func runSmallScenario(t *testing.T, f *fakeDeployment) *Report {
	t.Helper()
	f.runs = map[string][]keyserver.Run{}
	report, err := Runner{Scenario: smallScenario(t), Sender: f, Standins: f}.Run(t.Context())
	require.NoError(t, err)
	return report
}

func TestRunInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeDeployment{serviceTime: 5 * time.Millisecond, takeoverTime: time.Second}
		report := runSmallScenario(t, f)
		require.False(t, report.HasViolations())
		require.Len(t, f.applied, 2, "a step for the operator of the tool is not applied")
		require.Len(t, report.Steps, 3)
		require.Equal(t, 1, report.Moves)
		lookups := report.Kinds[profile.Lookup]
		require.InDelta(t, 5, lookups.Latency.P50, 0.1)
		require.Positive(t, lookups.Resubmitted)
		// Requests that were due right after the freeze waited for the takeover.
		require.InDelta(t, 1005, lookups.Latency.Max, 60)
		require.Equal(t, report, runSmallScenario(t, &fakeDeployment{serviceTime: 5 * time.Millisecond, takeoverTime: time.Second}), "the same seed gives the same report")
	})
}

func TestRunSeesDoubledOrdersAndFormerOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		report := runSmallScenario(t, &fakeDeployment{runsTwice: true})
		require.Positive(t, report.Violations.Duplicated)
		require.Positive(t, report.Violations.StaleOwner)
	})
}

// TestStallIsSeenByEveryRequestItDelays guards against coordinated omission: slow
// answers must neither delay later arrivals nor be left out of their latencies.
func TestStallIsSeenByEveryRequestItDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		report := runSmallScenario(t, &fakeDeployment{serviceTime: 3 * time.Second})
		total := 0
		for _, k := range report.Kinds {
			total += k.Answered
		}
		require.InDelta(t, 1000, total, 150)
		require.InDelta(t, 3000, report.Kinds[profile.Lookup].Latency.P50, 10)
	})
}

func TestReportFiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		report := runSmallScenario(t, &fakeDeployment{serviceTime: time.Millisecond})
		dir := t.TempDir()
		require.NoError(t, report.WritePlots(dir))
		for _, name := range []string{"latency.png", "outcomes.png", "moves.png"} {
			info, err := os.Stat(filepath.Join(dir, name))
			require.NoError(t, err)
			require.Positive(t, info.Size())
		}
		var text, encoded bytes.Buffer
		require.NoError(t, report.WriteText(&text))
		require.Contains(t, text.String(), "reported as not run but executed")
		require.NoError(t, report.WriteJSON(&encoded))
		require.Contains(t, encoded.String(), `"p99_ms"`)
	})
}

// TestSender checks the result for each way in which an attempt can end.
func TestSender(t *testing.T) {
	answer := func(outcome fault.Outcome, status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(routing.HeaderOutcome, string(outcome))
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    Result
	}{
		{"answered", answer(fault.Answered, 200, "POST /a the rest"), Result{Outcome: fault.Answered}},
		{"answer of another", answer(fault.Answered, 200, "POST /b the rest"), Result{Outcome: fault.Answered, Mismatched: true}},
		{"not run", answer(fault.NotRun, 503, ""), Result{Outcome: fault.NotRun, Retryable: true}},
		{"not run for good", answer(fault.NotRun, 400, ""), Result{Outcome: fault.NotRun}},
		{"unknown", answer(fault.Unknown, 504, ""), Result{Outcome: fault.Unknown}},
		{"cut off", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, Result{Outcome: fault.Unknown}},
	}
	s := NewHTTPSender(nil)
	defer s.Close()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := httptest.NewServer(c.handler)
			defer h.Close()
			require.Equal(t, c.want, s.Send(t.Context(), h.Listener.Addr().String(), Request{Kind: profile.Order, Path: "/a"}))
		})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	want := Result{Outcome: fault.NotRun, Retryable: true, Refused: true}
	require.Equal(t, want, s.Send(t.Context(), l.Addr().String(), Request{Kind: profile.Order, Path: "/a"}))
}
