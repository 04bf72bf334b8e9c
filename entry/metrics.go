package entry

import (
	"net/http"

	metrics "github.com/rcrowley/go-metrics"
)

// registerMetrics registers gauges of the control state and of the callers'
// requests.
func (h *Host) registerMetrics() {
	gauges := map[string]func() int64{
		"control.lease_left_us": func() int64 {
			left := h.Control.Snapshot().View.LeaseUntil - h.Control.Now()
			return max(0, left.Microseconds())
		},
		"control.ready":            func() int64 { return boolToInt64(h.Readiness().Ready) },
		"control.members":          func() int64 { return int64(len(h.Control.Snapshot().View.Members)) },
		"control.records_applied":  func() int64 { return int64(h.Control.Snapshot().View.Applied) },
		"control.records_in_force": func() int64 { return int64(h.Control.Snapshot().View.Active) },
		"control.profiles_applied": func() int64 { return int64(h.Control.Snapshot().Catalog.Applied) },
		"control.profiles_void":    func() int64 { return int64(h.Control.Snapshot().Catalog.Void) },
		"control.profiles_bad":     func() int64 { return int64(h.Control.Snapshot().Catalog.Bad) },
		"entry.requests_in_flight": h.inFlight.Load,
		"entry.requests":           h.requests.Load,
	}
	for name, read := range gauges {
		_ = h.Metrics.Register(name, metrics.NewFunctionalGauge(read)) // fails only for a name that is taken
	}
}

func boolToInt64(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// serveMetrics writes the registry as JSON, or as text with ?format=text.
func (h *Host) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("format") == "text" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(h.Metrics, w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(h.Metrics, w)
}
