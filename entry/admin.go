package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"strings"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/routing"
	"github.com/lacewingsaddle/lacewingsaddle/settings"
)

// Readiness is the response to GET /readyz: the conditions under which the load
// balancer may send callers to this host.
type Readiness struct {
	Ready    bool `json:"ready"`
	Member   bool `json:"member"`   // the join record is in force and the profiles are current
	Lease    bool `json:"lease"`    // the view lease is valid
	Stopping bool `json:"stopping"` // a planned stop has begun
}

// Readiness reports whether this host is ready for callers at present.
func (h *Host) Readiness() Readiness {
	view := h.Control.Snapshot().View
	r := Readiness{
		Member:   view.Member,
		Lease:    view.MayRoute(h.Control.Now()),
		Stopping: h.stopping.Load(),
	}
	r.Ready = r.Member && r.Lease && !r.Stopping
	return r
}

// HandleAdmin mounts a handler on the admin address. Call it before Start.
func (h *Host) HandleAdmin(pattern string, handler http.Handler) {
	h.adminMux.Handle(pattern, handler)
}

// newAdminMux returns the endpoints that every host has. /healthz and /readyz
// need no token, because the load balancer polls them.
func (h *Host) newAdminMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("GET /readyz", h.serveReady)
	guarded := func(pattern string, handler http.HandlerFunc) {
		mux.Handle(pattern, requireToken(h.Settings.Tokens, handler))
	}
	guarded("GET /metrics", h.serveMetrics)
	guarded("/debug/pprof/", pprof.Index)
	guarded("/debug/pprof/cmdline", pprof.Cmdline)
	guarded("/debug/pprof/profile", pprof.Profile)
	guarded("/debug/pprof/symbol", pprof.Symbol)
	guarded("/debug/pprof/trace", pprof.Trace)
	return mux
}

func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	r := h.Readiness()
	status := http.StatusOK
	if !r.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, r)
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

// requireToken admits only requests that carry a read or a write token. If the
// settings name no token, it admits every request.
func requireToken(tokens settings.Tokens, next http.Handler) http.Handler {
	known := append(append([]settings.Token(nil), tokens.Read...), tokens.Write...)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if len(known) > 0 && !anyMatches(known, given) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			routing.WriteProblem(w, "", fault.New(fault.PermissionDenied, "a bearer token is required"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// anyMatches reports whether given is one of the tokens. Each comparison takes
// constant time.
func anyMatches(known []settings.Token, given string) bool {
	sum := sha256.Sum256([]byte(given))
	found := 0
	for _, t := range known {
		want := sha256.Sum256([]byte(t.Value))
		found |= subtle.ConstantTimeCompare(sum[:], want[:])
	}
	return found == 1
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

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
		_ = h.Metrics.Register(name, metrics.NewFunctionalGauge(read))
	}
}

func boolToInt64(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// listenAdmin opens the admin listener, with mutual TLS if the settings enable it.
func (h *Host) listenAdmin() (net.Listener, error) {
	l, err := h.listen(h.Settings.Admin, "operators")
	if err != nil || h.tlsSource == nil || !h.Settings.TLS.Admin {
		return l, err
	}
	return tls.NewListener(l, h.tlsSource.AdminServerConfig()), nil
}

// listenPeers opens the listener for peers, with mutual TLS if the settings enable it.
func (h *Host) listenPeers() (net.Listener, error) {
	l, err := h.listen(h.Settings.Peer, "peers")
	if err != nil || h.tlsSource == nil {
		return l, err
	}
	return tls.NewListener(l, h.tlsSource.PeerServerConfig()), nil
}

// listen opens one of the host's listeners. The error names its clients.
func (h *Host) listen(addr, clients string) (net.Listener, error) {
	open := h.listenFunc
	if open == nil {
		open = net.Listen
	}
	l, err := open("tcp", addr)
	if err != nil {
		return nil, fault.Wrap(fault.BadSettings, err, "listen for "+clients)
	}
	return l, nil
}
