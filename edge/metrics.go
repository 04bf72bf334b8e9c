package edge

import (
	"fmt"
	"io"
)

// metric is a metric's name and current value.
type metric struct {
	name  string
	value int64
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// droppedLines returns the number of log lines dropped because the output was blocked.
func (h *Host) droppedLines() int64 {
	if h.opts.DroppedLines == nil {
		return 0
	}
	return h.opts.DroppedLines()
}

// writeClusterMetrics writes the metrics of the cluster and the host, one per line.
func (h *Host) writeClusterMetrics(w io.Writer) {
	s := h.cluster.Stats()
	v := h.cluster.View()
	lines := []metric{
		{"assigner", boolToInt(v.Leads)},
		{"map_age_ms", h.cluster.MapAge().Milliseconds()},
		{"ranges_moved", s.Moves.Count()},
		{"log_lines_dropped", h.droppedLines()},
		{"store_calls", s.StoreCalls.Count()},
		{"store_calls_failed", s.StoreFails.Count()},
		{"grants", s.Grants.Count()},
		{"grants_failed", s.GrantFails.Count()},
		{"releases", s.Releases.Count()},
		{"role_changes", s.Epochs.Count()},
		{"messages_rejected", s.BadMessages.Count()},
		{"message_panics", s.Panics.Count()},
		{"map_changes", s.MapChanges.Count()},
		{"leaving_learnt", s.ServersLeaving.Count()},
		{"full_begun", s.ServersFull.Count()},
		{"backend_servers", int64(len(v.Servers.Servers))},
		{"entry_hosts", int64(v.Hosts)},
		{"requests_active", h.gateway.Active()},
	}
	if v.Owners != nil {
		lines = append(lines, metric{"map_epoch", int64(v.Owners.Version.Epoch)}, metric{"map_change", int64(v.Owners.Version.Change)})
	}
	if v.Routes != nil {
		lines = append(lines, metric{"configuration", int64(v.Routes.Version)})
	}
	for _, b := range h.gateway.Budgets() {
		lines = append(lines, metric{"second_tries_left." + b.Service, b.Left})
	}
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s %d\n", l.name, l.value); err != nil {
			return // the reader has disconnected
		}
	}
}
