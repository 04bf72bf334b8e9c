package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strings"

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
