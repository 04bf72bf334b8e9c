package profile

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

func readExamples(t testing.TB) [][]byte {
	t.Helper()
	paths, err := filepath.Glob("../examples/*/profiles/*.yaml")
	require.NoError(t, err)
	require.Len(t, paths, 4)
	var out [][]byte
	for _, path := range paths {
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		out = append(out, data)
	}
	return out
}

// publishAll applies documents in order and fails the test if one is void.
func publishAll(t testing.TB, c *Catalog, docs []Document) *Catalog {
	t.Helper()
	for _, doc := range docs {
		r := RecordOf(doc, "r-"+doc.Name(), "ana", "test", c.current(doc.Kind, doc.Name()).Version)
		data, err := r.Encode()
		require.NoError(t, err)
		c, err = c.Apply(c.Applied+1, data)
		require.NoError(t, err)
	}
	return c
}

func TestExamplesAreAccepted(t *testing.T) {
	c := NewCatalog()
	for _, data := range readExamples(t) {
		docs, err := Parse(data)
		require.NoError(t, err)
		require.Len(t, docs, 2)
		c = publishAll(t, c, docs)
	}
	require.Len(t, c.Services, 4)
	for name, servers := range map[string]int{"inventario": 20, "compras-inspeccion": 6, "grower-portal": 23, "mill-scheduler": 8} {
		require.Len(t, c.Services[name].Value.Servers, servers, name)
		p, ok := c.ProfileOf(name)
		require.True(t, ok)
		for _, rule := range p.Rules {
			require.Equal(t, rule.Kind == Lookup, rule.Idempotent, "%s: only lookups are idempotent", name)
		}
	}
	stock, _ := c.ProfileOf("inventario")
	require.Equal(t, 3, stock.Limits.Slots)
	require.Equal(t, 110, stock.Limits.Connections)
	require.Equal(t, 5*time.Minute, stock.Ownership.MinRest)
	require.Equal(t, Default("").Ownership.MaxPins, stock.Ownership.MaxPins)
}

func TestEffectiveParsesToTheSameValue(t *testing.T) {
	for _, data := range readExamples(t) {
		docs, err := Parse(data)
		require.NoError(t, err)
		for _, doc := range docs {
			reparsed, err := Parse([]byte(doc.Effective()))
			require.NoError(t, err, doc.Effective())
			require.Equal(t, doc.Profile, reparsed[0].Profile)
			require.Equal(t, doc.Service, reparsed[0].Service)
			fromSource, err := Parse([]byte(doc.Source))
			require.NoError(t, err)
			require.Equal(t, doc.Profile, fromSource[0].Profile)
		}
	}
}

// validProfile is the text that cases of TestInvalidDocuments make invalid.
const validProfile = `kind: profile
name: p
rules:
  - {kind: order, timeout: 2s}
`

func TestInvalidDocuments(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string
	}{
		{"unknown field", validProfile + "limit: 3\n", []string{"5:1: limit: unknown field"}},
		{"no unit", "kind: profile\nname: p\nrules:\n  - {kind: order, timeout: 2}\n", []string{"4:28: rules[0].timeout: wrong type \"2\"; allowed: a time with its unit"}},
		{"several at once", "kind: profile\nname: P!\nrules:\n  - kind: ordr\n    timeout: soon\nlimits:\n  slots: many\n", []string{
			"2:7: name: wrong value \"P!\"",
			"4:11: rules[0].kind: wrong value \"ordr\"; allowed: lookup, order or upload",
			"5:14: rules[0].timeout: wrong value \"soon\"",
			"7:10: limits.slots: wrong type \"many\"; allowed: a whole number",
		}},
		{"missing", "kind: profile\nrules:\n  - kind: order\n", []string{"1:1: name: missing field", "3:5: rules[0].timeout: missing field"}},
		{"inconsistent", validProfile + "limits: {slots: 9, connections: 8}\n", []string{"5:17: limits.slots: inconsistent \"9\"; allowed: at most limits.connections, which is 8"}},
		{"window below timeout", validProfile + "duplicates: {window: 1s}\n", []string{"5:22: duplicates.window: inconsistent \"1s\"; allowed: at least rules[0].timeout"}},
		{"hedged order", "kind: profile\nname: p\nrules:\n  - {kind: order, timeout: 2s, hedge: true}\n", []string{"rules[0].hedge: inconsistent"}},
		{"lookup not idempotent", "kind: profile\nname: p\nrules:\n  - {kind: lookup, timeout: 2s, idempotent: false}\n", []string{"rules[0].idempotent: inconsistent"}},
		{"duplicate field", validProfile + "name: q\n", []string{"5:1: name: duplicate"}},
		{"no kind", "name: p\n", []string{"1:1: kind: missing field"}},
		{"unknown kind", "kind: thing\n", []string{"1:7: kind: wrong value \"thing\"; allowed: profile or service"}},
		{"empty", "", []string{"1:1: kind: missing field"}},
		{"anchor", "kind: profile\nname: &a p\nrules: [{kind: order, timeout: 2s}]\n", []string{"2:7: name: wrong type \"an anchor"}},
		{"not a mapping", "kind: profile\nname: p\nrules: 3\n", []string{"3:8: rules: wrong type \"3\"; allowed: a list"}},
		{"syntax", "kind: profile\nname: [\n", []string{"not valid YAML"}},
		{"service", "kind: service\nname: s\nprofile: p\npath_prefix: s\nservers:\n  - {id: a, address: host:80, domain: d}\n  - {id: a, address: 10.0.0.1:80}\n", []string{
			"4:14: path_prefix: wrong value \"s\"",
			"6:22: servers[0].address: wrong value \"host:80\"; allowed: an IP and a port",
			"7:5: servers[1].domain: missing field",
			"7:10: servers[1].id: duplicate \"a\"",
		}},
		{"second document", validProfile + "---\nkind: service\nname: s\nprofile: p\npath_prefix: /s\nservers: []\n", []string{"10:10: servers: missing field"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse([]byte(tc.text))
			require.Equal(t, fault.BadProfile, fault.KindOf(err))
			var list FieldErrors
			require.True(t, errors.As(err, &list))
			require.Len(t, list, len(tc.want), list.Error())
			for i, want := range tc.want {
				require.Contains(t, list[i].Error(), want)
			}
		})
	}
}

func TestOrderIsIdempotentOnlyIfTheRuleSaysSo(t *testing.T) {
	docs, err := Parse([]byte("kind: profile\nname: p\nrules:\n  - {kind: order, timeout: 2s}\n  - {kind: order, timeout: 2s, idempotent: true}\n"))
	require.NoError(t, err)
	require.False(t, docs[0].Profile.Rules[0].Idempotent)
	require.True(t, docs[0].Profile.Rules[1].Idempotent)
}

func TestSchemaNamesEveryField(t *testing.T) {
	schema, err := Schema()
	require.NoError(t, err)
	for _, name := range strings.Split(yamldoc.FieldList(profileType)+", "+yamldoc.FieldList(serviceType), ", ") {
		require.Contains(t, string(schema), `"`+name+`"`)
	}
}

func FuzzParse(f *testing.F) {
	for _, data := range readExamples(f) {
		f.Add(data)
	}
	f.Add([]byte(validProfile))
	f.Add([]byte("kind: profile\nname: [\n"))
	f.Add([]byte("kind: service\n? {a: b}\n: &x *x\n<<: !!map {}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		docs, err := Parse(data)
		if err != nil {
			require.Equal(t, fault.BadProfile, fault.KindOf(err))
			return
		}
		for _, doc := range docs {
			require.Empty(t, doc.Check())
			reparsed, err := Parse([]byte(doc.Effective()))
			require.NoError(t, err, doc.Effective())
			require.Equal(t, doc.Profile, reparsed[0].Profile)
			require.Equal(t, doc.Service, reparsed[0].Service)
		}
	})
}
