package edge

import (
	"fmt"
	"io"
)

// line is one counter with its value.
type line struct {
	name  string
	value int64
}

func toNumber(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// dropped returns the number of log lines that found the output full.
func (h *Host) dropped() int64 {
	if h.opts.DroppedLines == nil {
		return 0
	}
	return h.opts.DroppedLines()
}

// writeClusterMetrics writes the counters of the control loop, one a line.
func (h *Host) writeClusterMetrics(w io.Writer) {
	s := h.cluster.Stats()
	v := h.cluster.View()
	lines := []line{
		{"assigner", toNumber(v.Leads)},
		{"map_age_ms", h.cluster.MapAge().Milliseconds()},
		{"ranges_moved", s.Moves.Count()},
		{"log_lines_dropped", h.dropped()},
		{"store_calls", s.StoreCalls.Count()},
		{"store_calls_failed", s.StoreFails.Count()},
		{"grants", s.Grants.Count()},
		{"grants_failed", s.GrantFails.Count()},
		{"releases", s.Releases.Count()},
		{"role_changes", s.Epochs.Count()},
		{"map_changes", s.MapChanges.Count()},
		{"backend_servers", int64(len(v.Servers.Servers))},
		{"entry_hosts", int64(v.Hosts)},
		{"requests_active", h.gateway.Active()},
	}
	if v.Owners != nil {
		lines = append(lines, line{"map_epoch", int64(v.Owners.Version.Epoch)}, line{"map_change", int64(v.Owners.Version.Change)})
	}
	if v.Routes != nil {
		lines = append(lines, line{"configuration", int64(v.Routes.Version)})
	}
	for _, b := range h.gateway.Budgets() {
		lines = append(lines, line{"second_tries_left." + b.Service, b.Left})
	}
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s %d\n", l.name, l.value); err != nil {
			return // the reader has left
		}
	}
}
