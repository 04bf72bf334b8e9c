package edge

import (
	"fmt"
	"io"
)

// writeClusterMetrics writes the counters of the control loop, one a line.
func (h *Host) writeClusterMetrics(w io.Writer) {
	s := h.cluster.Stats()
	v := h.cluster.View()
	lines := []struct {
		name  string
		value int64
	}{
		{"store_calls", s.StoreCalls.Value()},
		{"store_calls_failed", s.StoreFails.Value()},
		{"grants", s.Grants.Value()},
		{"grants_failed", s.GrantFails.Value()},
		{"releases", s.Releases.Value()},
		{"role_changes", s.Epochs.Value()},
		{"map_changes", s.MapChanges.Value()},
		{"backend_servers", int64(len(v.Servers.Servers))},
		{"entry_hosts", int64(v.Hosts)},
		{"requests_active", h.gateway.Active()},
	}
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s %d\n", l.name, l.value); err != nil {
			return // the reader has left
		}
	}
}
