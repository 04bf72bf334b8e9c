package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/command"
	"github.com/lacewingsaddle/lacewingsaddle/internal/fleet"
	"github.com/lacewingsaddle/lacewingsaddle/query"
)

const inventario = "../examples/arrieta/profiles/inventario.yaml"

// runner runs commands against one host.
type runner struct {
	t     *testing.T
	host  *fleet.Host
	token string
}

// run runs a command and returns its exit code and its output.
func (s runner) run(line ...string) (code int, stdout, stderr string) {
	s.t.Helper()
	var args Arguments
	parser, err := arg.NewParser(arg.Config{IgnoreEnv: true}, &args)
	require.NoError(s.t, err)
	require.NoError(s.t, parser.Parse(line))
	var out, errs bytes.Buffer
	env := Env{Stdout: &out, Stderr: &errs, Now: time.Now, Transport: s.host, Getenv: func(name string) string {
		return map[string]string{"LACEWINGSADDLE_TOKEN": s.token, "USER": "ana"}[name]
	}}
	code, ok := args.Run(s.t.Context(), env)
	require.True(s.t, ok)
	require.NotContains(s.t, out.String()+errs.String(), s.token, "no secrets in output")
	return code, out.String(), errs.String()
}

// mustRun runs a command that has to succeed and returns its output.
func (s runner) mustRun(line ...string) string {
	s.t.Helper()
	code, stdout, stderr := s.run(line...)
	require.Equal(s.t, ExitOK, code, stderr)
	return stdout
}

func withRunner(t *testing.T, test func(s runner, f *fleet.Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(3, []string{"bilbao", "santander", "oviedo"}, 4*time.Millisecond, time.Hour)
		defer f.Stop()
		time.Sleep(5 * time.Second)
		s := runner{t: t, host: f.Hosts[0], token: fleet.WriteToken}
		s.mustRun("profile", "publish", inventario, "--reason", "first start")
		s.mustRun("service", "publish", inventario, "--reason", "first start")
		time.Sleep(5 * time.Second)
		test(s, f)
	})
}

func TestOperatorCommands(t *testing.T) {
	withRunner(t, func(s runner, f *fleet.Fleet) {
		require.Contains(t, s.mustRun("profile", "list"), "stock")
		require.NotContains(t, s.mustRun("profile", "show", "stock"), "max_pins")
		require.Contains(t, s.mustRun("profile", "show", "stock", "--effective"), "max_pins: 64")
		require.Contains(t, s.mustRun("service", "history", "inventario"), "first start")
		require.Contains(t, s.mustRun("status"), "routes keyed requests")
		require.Contains(t, s.mustRun("hosts"), "santander")
		require.Equal(t, 1025, strings.Count(s.mustRun("owners"), "\n"))
		require.Contains(t, s.mustRun("explain", "wheelset-7"), "may send now")
		out := s.mustRun("drain", "inventario", "inv-03", "--reason", "repair")
		require.Contains(t, out, "bilbao 1/1, oviedo 1/1, santander 1/1")
		require.Contains(t, out, "in force in every failure domain after")
		require.Contains(t, out, "drained after")
		require.Contains(t, s.mustRun("servers", "inventario"), "draining")
		require.Contains(t, s.mustRun("audit", "--since", "1h", "--subject", "inv-03"), "repair")
		s.mustRun("undrain", "inventario", "inv-03", "--reason", "repaired")
		s.mustRun("move", "inventario", "--key", "wheelset-7", "--to", "inv-05", "--reason", "test")
		s.mustRun("pin", "inventario", "wheelset-7", "--to", "inv-06", "--reason", "hot")
		require.Contains(t, s.mustRun("explain", "wheelset-7", "--service", "inventario"), "the key is pinned")
		s.mustRun("unpin", "inventario", "wheelset-7", "--reason", "cold")
		require.Contains(t, s.mustRun("watch", "--times", "1"), "inv-20")
	})
}

func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	require.NoError(t, os.WriteFile(bad, []byte("kind: profile\nname: P!\n"), 0o600))
	fresh := filepath.Join(t.TempDir(), "fresh.yaml")
	require.NoError(t, os.WriteFile(fresh, []byte("kind: profile\nname: fresh\nrules:\n  - {kind: order, timeout: 2s}\n"), 0o600))
	withRunner(t, func(s runner, f *fleet.Fleet) {
		reader := runner{t: s.t, host: f.Hosts[0], token: fleet.ReadToken}
		cases := []struct {
			who    runner
			line   string
			code   int
			stderr string
		}{
			{s, "check " + bad, ExitInvalid, `2:7: name: wrong value "P!"`},
			{s, "profile publish " + bad + " --reason x", ExitInvalid, "rules: missing field"},
			{s, "profile publish " + inventario + " --reason x", ExitSuperseded, "nothing to do"},
			{s, "profile publish " + inventario + " --reason x --base 9", ExitSuperseded, `"stock" is at version 1 by ben`},
			{s, "profile publish " + fresh + " --reason x --base 9", ExitSuperseded, "does not exist, so it has no version 9"},
			{s, "profile show none", ExitNotFound, "there is no profile"},
			{s, "move inventario --to inv-01 --reason x", ExitInvalid, "--shard or --key"},
			{s, "move inventario --shard 1 --key k --to inv-01 --reason x", ExitInvalid, "--shard or --key"},
			{s, "pin inventario k --to none --reason x", ExitNotFound, "declares no server"},
			{s, "drain inventario inv-01 --reason x --wait maybe", ExitInvalid, "--wait"},
			{s, "audit --since yesterday", ExitInvalid, "--since"},
			{s, "status --logs x.log", ExitInvalid, "--logs needs --store"},
			{s, "completion tcsh", ExitInvalid, "tcsh"},
			{reader, "drain inventario inv-01 --reason x", ExitDenied, "write token"},
		}
		for _, tc := range cases {
			code, _, stderr := tc.who.run(strings.Fields(tc.line)...)
			require.Equal(t, tc.code, code, "%s: %s", tc.line, stderr)
			require.Contains(t, stderr, tc.stderr, tc.line)
		}
		f.Log.SetOutage(true)
		code, _, _ := s.run("drain", "inventario", "inv-01", "--reason", "x")
		require.Equal(t, ExitUnavailable, code)
		f.Log.SetOutage(false)
		time.Sleep(5 * time.Second)
		f.Crash(2)
		code, _, stderr := s.run("drain", "inventario", "inv-01", "--reason", "x", "--timeout", "1s")
		require.Equal(t, ExitNotInForce, code)
		require.Contains(t, stderr, "not acknowledged by host-2 (oviedo)")
	})
}

func TestJSONOutputIsOneDocument(t *testing.T) {
	withRunner(t, func(s runner, f *fleet.Fleet) {
		var st query.Status
		require.NoError(t, json.Unmarshal([]byte(s.mustRun("status", "--json")), &st))
		require.True(t, st.MayRoute)
		var r command.Result
		out := s.mustRun("move", "inventario", "--shard", "3", "--to", "inv-07", "--reason", "x", "--json")
		require.NoError(t, json.Unmarshal([]byte(out), &r), out)
		require.Equal(t, command.InForce, r.State)
		var dry command.Result
		out = s.mustRun("drain", "inventario", "inv-07", "--reason", "x", "--json", "--dry-run")
		require.NoError(t, json.Unmarshal([]byte(out), &dry), out)
		require.Equal(t, command.DryRun, dry.State)
		require.NotEmpty(t, dry.Effect.Moves)
		var entries []query.AuditEntry
		require.NoError(t, json.Unmarshal([]byte(s.mustRun("audit", "--json")), &entries))
		require.NotEmpty(t, entries)
	})
}

func TestCompletionNamesEverySubcommand(t *testing.T) {
	for _, script := range []string{bash(completionRules()), zsh(completionRules()), fish(completionRules())} {
		for _, w := range []string{"check", "publish", "rollback", "forget", "unpin", "dry-run", "effective", "token-file"} {
			require.Contains(t, script, w)
		}
	}
}

func TestTerminalGetsNoControlCharacters(t *testing.T) {
	var out bytes.Buffer
	table := newTable(&out)
	table.row("a\x1b[2Jb", "c\nd")
	require.NoError(t, table.flush())
	require.Equal(t, "a?[2Jb  c?d\n", out.String())
}

// explain --logs reads the hosts' log files and contacts no host.
func TestExplainFromLogs(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry-1.log")
	line := `{"ts":"2026-12-04T10:00:00Z","host":"entry-1","msg":"gateway: request not answered","request":"r1","status":503,"outcome":"not-run","kind":"queue-timeout","error":"no room"}`
	require.NoError(t, os.WriteFile(file, []byte(line+"\n"), 0o600))
	run := func(line ...string) (int, string) {
		var args Arguments
		parser, err := arg.NewParser(arg.Config{IgnoreEnv: true}, &args)
		require.NoError(t, err)
		require.NoError(t, parser.Parse(line))
		var out bytes.Buffer
		code, ok := args.Run(t.Context(), Env{Stdout: &out, Stderr: &out, Getenv: func(string) string { return "" }})
		require.True(t, ok)
		return code, out.String()
	}
	code, out := run("explain", "r1", "--logs", file)
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, "10:00:00.000  entry-1  refused with 503")
	require.Contains(t, out, "The request did not run (status 503).")
	code, out = run("explain", "r1", "--json", "--logs", file)
	require.Equal(t, ExitOK, code, out)
	var x struct {
		Steps []struct {
			Message string         `json:"message"`
			Event   map[string]any `json:"event"`
		} `json:"steps"`
	}
	require.NoError(t, json.Unmarshal([]byte(out), &x))
	require.Equal(t, "gateway: request not answered", x.Steps[0].Message)
	require.Equal(t, "queue-timeout", x.Steps[0].Event["kind"])
	code, _ = run("explain", "r2", "--logs", file)
	require.Equal(t, ExitNotFound, code)
	code, _ = run("explain", "r1", "--logs", file+".none")
	require.Equal(t, ExitInvalid, code)
}
