package profile

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

var (
	profileType = reflect.TypeFor[Profile]()
	serviceType = reflect.TypeFor[Service]()
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "6")
	os.Exit(m.Run())
}

func testProfile(name string) *Profile {
	p := Default(name)
	p.Key = &Key{From: KeyFromPath, Segment: 1}
	p.Rules = []Rule{{Kind: Order, Timeout: time.Second}}
	return &p
}

func testService(name, profileName string) *Service {
	return &Service{Name: name, Profile: profileName, PathPrefix: "/" + name, Servers: []Server{
		{ID: "a", Address: "10.0.0.1:80", Domain: "x"},
		{ID: "b", Address: "10.0.0.2:80", Domain: "y"},
	}}
}

func profileRecord(id string, base tlog.Offset, p *Profile) Record {
	return Record{ID: id, Author: "ana", Cause: "test " + id, Kind: ProfileDocument, Name: p.Name, Base: base, Profile: p}
}

func serviceRecord(id string, base tlog.Offset, s *Service) Record {
	return Record{ID: id, Author: "ben", Cause: "test " + id, Kind: ServiceDocument, Name: s.Name, Base: base, Service: s}
}

func encode(t require.TestingT, r Record) []byte {
	data, err := r.Encode()
	require.NoError(t, err)
	return data
}

// applyRecords applies records at offsets 1, 2, … and returns the error of each.
func applyRecords(t require.TestingT, records ...Record) (*Catalog, []error) {
	c := NewCatalog()
	var errs []error
	for i, r := range records {
		next, err := c.Apply(tlog.Offset(i+1), encode(t, r))
		errs = append(errs, err)
		c = next
	}
	return c, errs
}

func TestFoldRules(t *testing.T) {
	p := testProfile("p")
	changed := func(f func(*Profile)) *Profile {
		out := *testProfile("p")
		f(&out)
		return &out
	}
	moved := testService("s", "p")
	moved.Servers[0].Address = "10.0.0.9:80"
	sameRoute := testService("other", "p")
	sameRoute.PathPrefix = "/s/"
	unkeyed := changed(func(p *Profile) { p.Key = nil })
	base := []Record{profileRecord("r1", 0, p), serviceRecord("r2", 0, testService("s", "p"))}
	cases := []struct {
		name   string
		record Record
		kind   fault.Kind // empty: accepted
		reason string
	}{
		{"next version", profileRecord("x", 1, changed(func(p *Profile) { p.Limits.Queue = 9 })), "", ""},
		{"loser of a race", profileRecord("x", 0, p), fault.Superseded, `profile "p" is at version 1 by ana ("test r1"), not 0`},
		{"re-append", profileRecord("r1", 0, p), fault.Superseded, "accepted before, as version 1"},
		{"unknown base", serviceRecord("x", 7, testService("new", "p")), fault.Superseded, "does not exist"},
		{"unknown profile", serviceRecord("x", 0, testService("new", "none")), fault.BadProfile, "does not exist"},
		{"taken prefix", serviceRecord("x", 0, sameRoute), fault.BadProfile, "belongs to service"},
		{"other address", serviceRecord("x", 2, moved), fault.BadProfile, "needs another id"},
		{"other shards", profileRecord("x", 1, changed(func(p *Profile) { p.Ownership.Shards = 9 })), fault.BadProfile, "cannot become 9"},
		{"no longer keyed", profileRecord("x", 1, unkeyed), fault.BadProfile, "sharded by key"},
		{"invalid by hand", profileRecord("x", 1, changed(func(p *Profile) { p.Rules = nil })), fault.BadProfile, "rules: missing"},
		{"names differ", Record{ID: "x", Kind: ProfileDocument, Name: "q", Profile: p}, fault.BadProfile, "names profile"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			before, _ := applyRecords(t, base...)
			after, errs := applyRecords(t, append(append([]Record{}, base...), tc.record)...)
			err := errs[2]
			if tc.kind == "" {
				require.NoError(t, err)
				return
			}
			require.Equal(t, tc.kind, fault.KindOf(err))
			require.ErrorContains(t, err, tc.reason)
			require.Equal(t, before.Profiles, after.Profiles)
			require.Equal(t, before.Services, after.Services)
			require.Equal(t, uint64(1), after.Void)
		})
	}
}

func TestLateAppendOfACanceledRecordIsVoid(t *testing.T) {
	p := testProfile("p")
	cancel := Record{ID: "c", Author: "ana", Kind: CancelDocument, Cancel: &Cancel{ID: "late", Kind: ProfileDocument, Name: "p", Base: 1}}
	c, errs := applyRecords(t, profileRecord("r1", 0, p), cancel, profileRecord("late", 1, p))
	require.NoError(t, errs[1])
	require.Equal(t, fault.Superseded, fault.KindOf(errs[2]))
	require.Equal(t, tlog.Offset(1), c.Profiles["p"].Version)
	c, errs = applyRecords(t, profileRecord("r1", 0, p), cancel, profileRecord("r2", 1, p), profileRecord("late", 1, p))
	require.NoError(t, errs[2])
	require.Error(t, errs[3])
	require.Empty(t, c.Canceled, "the base voids the late record, so the cancellation is discarded")
	_, errs = applyRecords(t, profileRecord("r1", 0, p), profileRecord("late", 1, p), cancel)
	require.Equal(t, fault.Superseded, fault.KindOf(errs[2]), "the record was accepted before its cancellation")
}

func TestOlderAndNewerRecordVersions(t *testing.T) {
	older := `{"id":"a","author":"ana","kind":"profile","name":"p","base":0,"profile":{"name":"p","rules":[{"kind":"order","timeout":1000000000}]}}`
	newer := `{"v":9,"id":"b","author":"ana","kind":"profile","name":"p","base":1,"shape":{"x":1},"profile":{"name":"p","color":"red","rules":[{"kind":"order","timeout":1000000000,"fast":true}],"limits":{"slots":7}}}`
	unknown := `{"v":9,"id":"c","kind":"fleet","name":"f"}`
	c, err := NewCatalog().Apply(1, []byte(older))
	require.NoError(t, err)
	want := Default("p")
	want.Rules = []Rule{{Kind: Order, Timeout: time.Second}}
	require.Equal(t, want, c.Profiles["p"].Value)
	c, err = c.Apply(2, []byte(newer))
	require.NoError(t, err)
	require.Equal(t, 7, c.Profiles["p"].Value.Limits.Slots)
	require.Equal(t, want.Limits.Connections, c.Profiles["p"].Value.Limits.Connections)
	c, err = c.Apply(3, []byte(unknown))
	require.Equal(t, fault.BadRecord, fault.KindOf(err))
	require.Equal(t, tlog.Offset(3), c.Applied)
}

// drawRecord generates a record that often is superseded, repeated, a
// cancellation, invalid or not decodable.
func drawRecord(t *rapid.T, i int, earlier [][]byte) []byte {
	if len(earlier) > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
		return rapid.SampledFrom(earlier).Draw(t, "earlier")
	}
	id := fmt.Sprintf("r%d", i)
	name := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "name")
	base := tlog.Offset(rapid.IntRange(0, i).Draw(t, "base"))
	switch rapid.IntRange(0, 7).Draw(t, "what") {
	case 0:
		return []byte(rapid.SampledFrom([]string{"", "{}", "null", `{"kind":"x"}`}).Draw(t, "junk"))
	case 1, 2:
		return encode(t, serviceRecord(id, base, testService("s"+name, name)))
	case 3:
		c := &Cancel{ID: fmt.Sprintf("r%d", rapid.IntRange(0, i+3).Draw(t, "canceled")), Kind: ProfileDocument, Name: name, Base: base}
		return encode(t, Record{ID: id, Kind: CancelDocument, Cancel: c})
	case 4:
		p := testProfile(name)
		p.Limits.Slots = 0
		return encode(t, profileRecord(id, base, p))
	default:
		p := testProfile(name)
		p.Limits.Queue = i
		return encode(t, profileRecord(id, base, p))
	}
}

func drawStream(t *rapid.T) [][]byte {
	var stream [][]byte
	n := rapid.IntRange(1, 25).Draw(t, "records")
	for i := range n {
		stream = append(stream, drawRecord(t, i, stream))
	}
	return stream
}

func applyAll(c *Catalog, stream [][]byte, from int) *Catalog {
	for i := from; i < len(stream); i++ {
		c, _ = c.Apply(tlog.Offset(i+1), stream[i])
	}
	return c
}

// Applying a stream in arbitrary batches, some of which overlap earlier ones,
// gives the same catalog as applying it once, and no version ever decreases.
func TestFoldDoesNotDependOnBatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := drawStream(t)
		want := applyAll(NewCatalog(), stream, 0)
		c := NewCatalog()
		for at := 0; at < len(stream); {
			from := rapid.IntRange(0, at).Draw(t, "read again from")
			to := rapid.IntRange(at, len(stream)).Draw(t, "to")
			for i := from; i < to; i++ {
				before := c
				c, _ = c.Apply(tlog.Offset(i+1), stream[i])
				requireVersionsNotDecreasing(t, before, c)
			}
			at = max(at, to)
			if from == to {
				at++
				c = applyAll(c, stream[:at], at-1)
			}
		}
		require.Equal(t, want, c)
	})
}

func requireVersionsNotDecreasing(t *rapid.T, before, after *Catalog) {
	require.GreaterOrEqual(t, after.Applied, before.Applied)
	for name, v := range before.Profiles {
		require.GreaterOrEqual(t, after.Profiles[name].Version, v.Version)
	}
	for name, v := range before.Services {
		require.GreaterOrEqual(t, after.Services[name].Version, v.Version)
	}
}

// A checkpoint taken at any offset decodes to the catalog it was taken of, and
// applying the remaining records to it gives the same catalog as applying all.
func TestCheckpointReplacesItsRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := drawStream(t)
		at := rapid.IntRange(0, len(stream)).Draw(t, "checkpoint")
		early := applyAll(NewCatalog(), stream[:at], 0)
		r, err := early.EncodeCheckpoint("cp", "host", "older than a third of the retention")
		require.NoError(t, err)
		got, err := DecodeCatalogCheckpoint(encode(t, r))
		require.NoError(t, err)
		require.Equal(t, early, got)
		require.Equal(t, applyAll(NewCatalog(), stream, 0), applyAll(got, stream, at))
	})
}

func TestDamagedCheckpointIsRefused(t *testing.T) {
	c, _ := applyRecords(t, profileRecord("r1", 0, testProfile("p")), serviceRecord("r2", 0, testService("s", "p")))
	good, err := c.EncodeCheckpoint("cp", "host", "test")
	require.NoError(t, err)
	damage := func(f func(*CheckpointRecord)) []byte {
		point := *good.Checkpoint
		f(&point)
		r := good
		r.Checkpoint = &point
		return encode(t, r)
	}
	cases := map[string][]byte{
		"other state":   damage(func(p *CheckpointRecord) { p.State = json.RawMessage(`{"profiles":{}}`) }),
		"other hash":    damage(func(p *CheckpointRecord) { p.Hash = "00" }),
		"no checkpoint": encode(t, profileRecord("r1", 0, testProfile("p"))),
		"invalid inside": damage(func(p *CheckpointRecord) {
			p.State = json.RawMessage(`{"services":{"s":{"value":{}}}}`)
			p.Hash = hashOf(p.State)
		}),
		"not JSON": []byte("{"),
	}
	for name, data := range cases {
		_, err := DecodeCatalogCheckpoint(data)
		require.Equal(t, fault.BadRecord, fault.KindOf(err), name)
	}
}

func FuzzDecodeRecord(f *testing.F) {
	c, _ := applyRecords(f, profileRecord("r1", 0, testProfile("p")), serviceRecord("r2", 0, testService("s", "p")))
	point, err := c.EncodeCheckpoint("cp", "host", "test")
	require.NoError(f, err)
	for _, r := range []Record{profileRecord("r1", 0, testProfile("p")), serviceRecord("r2", 0, testService("s", "p")), point} {
		f.Add(encode(f, r))
	}
	f.Add([]byte(`{"kind":"cancel","cancel":{"id":"x"}}`))
	f.Add([]byte(`{"kind":"profile","profile":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		next, err := c.Apply(3, data)
		require.Equal(t, tlog.Offset(3), next.Applied)
		if err != nil {
			require.Equal(t, c.Profiles, next.Profiles)
			require.Equal(t, c.Services, next.Services)
		}
		if got, err := DecodeCatalogCheckpoint(data); err == nil {
			require.NotNil(t, got.Profiles)
		}
	})
}
