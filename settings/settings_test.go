package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/yamldoc"
)

const minimal = `name: entry-1
domain: bilbao
listen: 127.0.0.1:8080
peer: 127.0.0.1:8081
admin: 127.0.0.1:8082
platform: http://127.0.0.1:7000
`

const full = minimal + `region: cantabrico
cell: main
log: {format: console, level: debug}
tokens:
  read: [{name: ane, value: reader-secret}]
  write: [{name: jon, value: writer-secret}]
tls: {cert: a.pem, key: b.pem, ca: c.pem, admin: true}
limits: {connections: 10, header_bytes: 4096, read_header_timeout: 1s, idle_timeout: 2s, drain_timeout: 3s}
`

func TestMinimalSettingsTakeTheDefaults(t *testing.T) {
	h, err := Parse([]byte(minimal))
	require.NoError(t, err)
	require.Equal(t, "main", h.Cell)
	require.Equal(t, DefaultLimits(), h.Limits)
	require.Equal(t, LogJSON, h.Log.Format)
	require.Nil(t, h.TLS)
}

func TestFullSettings(t *testing.T) {
	h, err := Parse([]byte(full))
	require.NoError(t, err)
	require.Equal(t, "cantabrico", h.Region)
	require.Equal(t, Token{Name: "jon", Value: "writer-secret"}, h.Tokens.Write[0])
	require.True(t, h.TLS.Admin)
	require.Equal(t, 3*time.Second, h.Limits.DrainTimeout)
}

// TestErrors checks the whole error line of each kind of invalid field.
func TestErrors(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown field", minimal + "colour: red\n", `7:1: colour: unknown field "colour"; allowed: name, domain, region, cell, listen, peer, admin, platform, seeds, log, tokens, tls, limits`},
		{"unknown nested field", minimal + "log: {form: json}\n", `7:7: log.form: unknown field "form"; allowed: format, level`},
		{"field twice", minimal + "name: entry-2\n", `7:1: name: duplicate "name"; allowed: each field once`},
		{"wrong type", minimal + "limits: {connections: many}\n", `7:23: limits.connections: wrong type "many"; allowed: a whole number`},
		{"time without unit", minimal + "limits: {idle_timeout: 30}\n", `7:24: limits.idle_timeout: wrong type "30"; allowed: a time with its unit, such as 250ms, 2s or 10m`},
		{"out of range", minimal + "limits: {connections: 0}\n", `7:23: limits.connections: wrong value "0"; allowed: 1 to 1000000`},
		{"log format", minimal + "log: {format: xml}\n", `7:15: log.format: wrong value "xml"; allowed: json or console`},
		{"log level", minimal + "log: {level: loud}\n", `7:14: log.level: wrong value "loud"; allowed: debug, info, warn, error`},
		{"host name in place of an IP", replace("listen: 127.0.0.1:8080", "listen: localhost:8080"), `3:9: listen: wrong value "localhost:8080"; allowed: an IP and a port, such as 10.0.0.1:8080`},
		{"port 0", replace("listen: 127.0.0.1:8080", "listen: 127.0.0.1:0"), `3:9: listen: wrong value "127.0.0.1:0"; allowed: an IP and a port, such as 10.0.0.1:8080`},
		{"unreachable peer address", replace("peer: 127.0.0.1:8081", "peer: 0.0.0.0:8081"), `4:7: peer: wrong value "0.0.0.0:8081"; allowed: an IP that other entry hosts can reach`},
		{"seed", minimal + "seeds: [127.0.0.1:1, entry-2:8081]\n", `7:22: seeds[1]: wrong value "entry-2:8081"; allowed: an IP and a port, such as 10.0.0.1:8080`},
		{"address twice", replace("peer: 127.0.0.1:8081", "peer: 127.0.0.1:8080"), `4:7: peer: duplicate "127.0.0.1:8080"; allowed: another address than listen`},
		{"missing domain", replace("domain: bilbao\n", ""), `1:1: domain: missing field; allowed: ` + allowedName},
		{"bad name", replace("name: entry-1", "name: Entry 1"), `1:7: name: wrong value "Entry 1"; allowed: ` + allowedName},
		{"platform", replace("http://127.0.0.1:7000", "127.0.0.1:7000"), `6:11: platform: wrong value "127.0.0.1:7000"; allowed: ` + allowedURL},
		{"token without value", minimal + "tokens: {read: [{name: ane}]}\n", `7:17: tokens.read[0]: inconsistent; allowed: either value or file`},
		{"short token", minimal + "tokens: {read: [{name: ane, value: abc}]}\n", `7:36: tokens.read[0].value: wrong value; allowed: at least 8 bytes`},
		{"token that is not text", minimal + "tokens: {read: [{name: ane, value: 12345678}]}\n", `7:36: tokens.read[0].value: wrong type; allowed: text; put numbers and true or false in quotes`},
		{"token twice", minimal + "tokens: {read: [{name: a, value: 12345678x}], write: [{name: b, value: 12345678x}]}\n", `7:72: tokens.write[0].value: duplicate; allowed: another token than that of tokens.read[0]`},
		{"tls without key", minimal + "tls: {cert: a, ca: c}\n", `7:6: tls.key: missing field; allowed: the path of a PEM file`},
		{"empty", "", `1:1: missing field; allowed: one YAML document`},
		{"not a mapping", "- a\n", `1:1: wrong type "a list"; allowed: a mapping with name, domain, region, cell, listen, peer, admin, platform, seeds, log, tokens, tls, limits`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			require.Equal(t, fault.BadSettings, fault.KindOf(err))
			var errs yamldoc.FieldErrors
			require.True(t, errors.As(err, &errs))
			require.Contains(t, lines(errs), c.want)
		})
	}
}

func replace(old, with string) string {
	i := strings.Index(minimal, old)
	return minimal[:i] + with + minimal[i+len(old):]
}

func lines(errs yamldoc.FieldErrors) []string {
	var out []string
	for _, e := range errs {
		out = append(out, e.Error())
	}
	return out
}

func TestAllErrorsAreReportedTogether(t *testing.T) {
	_, err := Parse([]byte("name: entry-1\nlisten: x\ncolour: red\nlog: {level: loud}\n"))
	var errs yamldoc.FieldErrors
	require.True(t, errors.As(err, &errs))
	var paths []string
	for _, e := range errs {
		paths = append(paths, e.Path)
		require.Positive(t, e.Line)
		require.Positive(t, e.Column)
	}
	require.ElementsMatch(t, []string{"domain", "peer", "admin", "platform", "listen", "colour", "log.level"}, paths)
}

func TestTokenFiles(t *testing.T) {
	dir := t.TempDir()
	token := filepath.Join(dir, "token")
	text := minimal + "tokens: {write: [{name: jon, file: " + token + "}]}\n"
	path := filepath.Join(dir, "host.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	_, err := Load(path)
	require.Equal(t, fault.BadSettings, fault.KindOf(err), "a missing token file")
	require.NoError(t, os.WriteFile(token, []byte("a-long-secret\n"), 0o600))
	h, err := Load(path)
	require.NoError(t, err)
	require.Equal(t, "a-long-secret", h.Tokens.Write[0].Value)
	require.NoError(t, os.WriteFile(token, []byte("\n"), 0o600))
	_, err = Load(path)
	require.Equal(t, fault.BadSettings, fault.KindOf(err), "an empty token file")
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{minimal, full, "", "a: [", "&a a: *a", "? {a: b}\n", "name: !!binary x\n", "tokens: {read: [1, {}]}\n", "tls:\n", "a: b\n---\na: c\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := Parse(data)
		if err == nil {
			require.Empty(t, h.Check())
			return
		}
		require.Equal(t, fault.BadSettings, fault.KindOf(err))
	})
}
