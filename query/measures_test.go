package query

import (
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/control"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

func snapshotOf(routes ...ownership.Route) *control.Snapshot {
	c := profile.NewCatalog()
	c.Services["s"] = profile.Versioned[profile.Service]{Value: profile.Service{Name: "s", Servers: []profile.Server{
		{ID: "a", Domain: "x"}, {ID: "b", Domain: "y"},
	}}}
	v := &ownership.View{Member: true, LeaseUntil: time.Hour, Services: map[string]*ownership.ServiceView{"s": {Routes: routes}}}
	return &control.Snapshot{View: v, Catalog: c}
}

func TestMeasures(t *testing.T) {
	a, b := ownership.Route{Server: "a"}, ownership.Route{Server: "b"}
	held := ownership.Route{Server: "a", Held: true}
	m := NewMeasures(metrics.NewRegistry())
	m.Sample(snapshotOf(a, a, a, b), 0, time.Second)
	require.Equal(t, []ServiceMeasures{
		{Service: "s", Domain: "x", Imbalance: 1.5},
		{Service: "s", Domain: "y", Imbalance: 0.5},
	}, m.All(), "the first owner of a shard does not count as churn")
	m.Sample(snapshotOf(a, held, a, b), 0, time.Second)
	require.Equal(t, 250*time.Millisecond, m.All()[0].Unavailable, "one of four shards for a second")
	m.Sample(snapshotOf(a, b, a, b), 0, time.Second)
	require.Equal(t, ServiceMeasures{Service: "s", Domain: "y", Imbalance: 1, Churn: 1}, m.All()[1])
	noLease := snapshotOf(a, b, a, b)
	noLease.View.LeaseUntil = 0
	m.Sample(noLease, time.Second, time.Second)
	require.Equal(t, 500*time.Millisecond, m.All()[1].Unavailable, "without a lease nothing is served")
	require.Equal(t, 750*time.Millisecond, m.All()[0].Unavailable)
}

func TestUnownedShardsAreUnavailable(t *testing.T) {
	m := NewMeasures(metrics.NewRegistry())
	m.Sample(snapshotOf(ownership.Route{Server: "a"}, ownership.Route{}), 0, time.Second)
	require.Equal(t, ServiceMeasures{Service: "s", Domain: noDomain, Unavailable: 500 * time.Millisecond}, m.All()[0])
}

func TestDiffLines(t *testing.T) {
	require.Empty(t, DiffLines("a\nb\n", "a\nb\n"))
	require.Equal(t, []LineChange{{Line: "b"}, {Added: true, Line: "x"}}, DiffLines("a\nb\nc\n", "a\nx\nc\n"))
	require.Equal(t, []LineChange{{Added: true, Line: "n"}}, DiffLines("a\nc\n", "a\nn\nc\n"))
}
