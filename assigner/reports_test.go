package assigner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// A report cannot make the assigner's state grow by naming what does not exist.
func TestReportsOfUnknownNamesAreIgnored(t *testing.T) {
	m := New(Config{Self: Host{Name: "h"}}, 0)
	m.SetServers(0, Servers{Snapshot: &directory.Snapshot{}, Sharded: []string{"stock"}})
	m.AddReport(1, "h", Report{
		Keys:      []KeyLoad{{Service: "unknown", Key: 1, Count: 1}, {Service: "stock", Key: 1, Count: 1}},
		Latencies: []ServerLatency{{ID: "unknown", Millis: 1}},
		Refused:   []keyrange.Holder{{ID: "unknown"}},
		Full:      []FullServer{{Holder: keyrange.Holder{ID: "unknown"}, ForMS: 1000}},
	})
	require.Len(t, m.load.services, 1)
	require.Empty(t, m.load.latencies)
	require.Empty(t, m.suspects.suspicions)
	require.Empty(t, m.full.until)
}
