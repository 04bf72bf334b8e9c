package trial

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/soak"
)

// small returns a trial with short faults.
func small() *Command {
	return &Command{Hosts: 4, Backends: 4, Callers: 6, Length: 400 * time.Millisecond, Seed: 1, JSON: true}
}

// TestGuaranteesHoldInASmallTrial runs the whole trial.
func TestGuaranteesHoldInASmallTrial(t *testing.T) {
	var stdout, stderr bytes.Buffer
	code := small().Run(t.Context(), &stdout, &stderr)
	var report soak.Report
	require.NoError(t, json.Unmarshal(stdout.Bytes(), &report), stderr.String())
	require.Empty(t, report.Violations)
	require.Equal(t, exitOK, code, stderr.String())
	require.Positive(t, report.Lookups.Served)
	require.Positive(t, report.Orders.Served)
	for _, event := range []string{
		"configuration", "crashes", "drains", "is full", "the store: down", "planned stop", "is killed",
	} {
		require.Contains(t, stdout.String(), event)
	}
}

func TestFlagsOutOfRangeAreRefused(t *testing.T) {
	for name, change := range map[string]func(*Command){
		"one host":         func(c *Command) { c.Hosts = 1 },
		"too many hosts":   func(c *Command) { c.Hosts = maxHosts + 1 },
		"two servers":      func(c *Command) { c.Backends = 2 },
		"too many servers": func(c *Command) { c.Backends = maxBackends + 1 },
		"no callers":       func(c *Command) { c.Callers = 0 },
		"no length":        func(c *Command) { c.Length = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			c := small()
			change(c)
			var stdout, stderr bytes.Buffer
			require.Equal(t, exitUsage, c.Run(t.Context(), &stdout, &stderr))
			require.Empty(t, stdout.String())
		})
	}
}

func TestAViolationIsPrintedAndFails(t *testing.T) {
	report := &soak.Report{Violations: []soak.Violation{{Rule: "TWICE", Detail: "r-1 ran 2 times", At: time.Second}}}
	var out bytes.Buffer
	require.NoError(t, small().writeText(report, &out))
	require.Regexp(t, `an order runs at most once +1 +TWICE`, out.String())
	require.Regexp(t, `an order that was rejected has not run +0 +REFUSED`, out.String())
	require.Contains(t, out.String(), "r-1 ran 2 times")
	require.Equal(t, exitFailed, exitCode(report))
	require.Equal(t, exitOK, exitCode(&soak.Report{}))
}
