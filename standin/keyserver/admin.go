package keyserver

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// maxAdminBytes bounds the body of an admin call.
const maxAdminBytes = 1 << 20

// Status is the response to the admin calls, except that for the ledger.
type Status struct {
	ID       string         `json:"id"`
	Address  string         `json:"address"`
	Running  bool           `json:"running"` // the process has not been killed
	Frozen   bool           `json:"frozen"`
	Conns    int            `json:"conns"` // open connections
	InFlight int            `json:"in_flight"`
	Runs     int            `json:"runs"`
	Refusals map[string]int `json:"refusals"` // by reason
	Traits   Traits         `json:"traits"`
}

// Status returns the server's state.
func (s *Server) Status() Status {
	refusals := s.Refusals()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		ID:       s.id,
		Address:  s.addr,
		Running:  s.stopProcess != nil,
		Frozen:   s.process.isFrozen(),
		Conns:    s.process.openConns(),
		InFlight: s.running,
		Runs:     len(s.ledger),
		Refusals: refusals,
		Traits:   s.traits,
	}
}

// AdminHandler returns the handler of the admin calls, which inject failures.
// Serve it at an address of its own: it answers while the server is frozen or killed.
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/admin/status", s.serveStatus)
	mux.HandleFunc("PUT /-/admin/traits", s.servePutTraits)
	mux.HandleFunc("GET /-/admin/ledger", s.serveLedger)
	for name, act := range s.actions() {
		mux.HandleFunc("POST /-/admin/"+name, func(w http.ResponseWriter, r *http.Request) {
			if err := act(); err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
				return
			}
			s.serveStatus(w, r)
		})
	}
	return mux
}

func (s *Server) actions() map[string]func() error {
	always := func(f func()) func() error {
		return func() error {
			f()
			return nil
		}
	}
	return map[string]func() error{
		"freeze":  always(s.Freeze),
		"thaw":    always(s.Thaw),
		"kill":    always(s.Kill),
		"restart": s.Restart,
		"silence": always(func() { s.SilenceConns() }),
		"drain":   always(func() { s.setDrain(Draining) }),
		"undrain": always(func() { s.setDrain(NotDraining) }),
	}
}

func (s *Server) setDrain(d Drain) {
	t := s.Traits()
	t.Drain = d
	s.SetTraits(t)
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Status())
}

// servePutTraits changes the traits that the body names and leaves the others.
func (s *Server) servePutTraits(w http.ResponseWriter, r *http.Request) {
	traits := s.Traits()
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&traits); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetTraits(traits)
	s.serveStatus(w, r)
}

// serveLedger responds with the runs from index from on.
func (s *Server) serveLedger(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	ledger := s.Ledger()
	if err != nil || from < 0 || from > len(ledger) {
		from = 0
	}
	writeJSON(w, http.StatusOK, ledger[from:])
}
