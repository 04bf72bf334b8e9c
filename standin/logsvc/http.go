package logsvc

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// maxAdminBytes bounds the body of an admin call.
const maxAdminBytes = 1 << 20

// StreamStatus is the range of offsets of one stream.
type StreamStatus struct {
	First tlog.Offset `json:"first"`
	Next  tlog.Offset `json:"next"`
}

// Status is the response to GET /-/admin/streams.
type Status struct {
	Streams map[string]StreamStatus `json:"streams"`
	Late    int                     `json:"late"` // appends that have not taken effect yet
}

// Handler returns the service's HTTP interface, the admin calls included.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.withFaults(s.serveAppend))
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.withFaults(s.serveRead))
	mux.HandleFunc("GET /v1/hosts", s.withFaults(s.serveHosts))
	mux.HandleFunc("GET /-/admin/faults", s.serveFaults)
	mux.HandleFunc("PUT /-/admin/faults", s.servePutFaults)
	mux.HandleFunc("POST /-/admin/release", s.serveRelease)
	mux.HandleFunc("PUT /-/admin/hosts", s.servePutHosts)
	mux.HandleFunc("GET /-/admin/streams", s.serveStatus)
	return mux
}

// withFaults applies outages and delays to a call.
func (s *Service) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults := s.Faults()
		if faults.Outage == Refusing {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if faults.Outage == Silent {
			s.hang(r)
		}
		if !sleep(r.Context(), faults.delay()) {
			return
		}
		next(w, r)
	}
}

// hang blocks a call until its caller disconnects and then cuts the connection.
func (s *Service) hang(r *http.Request) {
	// The body is read first: only then does net/http notice that the caller disconnected.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxRecordBytes))
	select {
	case <-r.Context().Done():
	case <-s.closed.Done():
	}
	panic(http.ErrAbortHandler)
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.limiter.AllowN(s.cfg.Now(), 1) {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	name := r.PathValue("stream")
	outcome, delay := s.nextAppendOutcome()
	switch outcome {
	case appendDelayed:
		s.appendLate(lateAppend{stream: name, data: data}, delay)
		panic(http.ErrAbortHandler)
	case appendAnswerLost:
		s.Append(name, data)
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, tlog.WireAppended{Offset: s.Append(name, data)})
	}
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "bad from", http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	wait := time.Duration(waitMS) * time.Millisecond
	batch := s.read(r.Context(), r.PathValue("stream"), tlog.Offset(from), wait)
	if s.Faults().Outage != NoOutage {
		// An outage that began during a long poll ends the poll as well.
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	status := http.StatusOK
	if tlog.Offset(from) < batch.First {
		status = http.StatusGone
	}
	writeJSON(w, status, batch)
}

func (s *Service) serveHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, tlog.WireHosts{Hosts: s.visibleHosts()})
}

func (s *Service) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults())
}

// servePutFaults changes the faults that the body names and leaves the others.
func (s *Service) servePutFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	if !readJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}

func (s *Service) serveRelease(w http.ResponseWriter, _ *http.Request) {
	s.ReleaseLateAppends()
	s.serveStatus(w, nil)
}

func (s *Service) servePutHosts(w http.ResponseWriter, r *http.Request) {
	var body tlog.WireHosts
	if !readJSON(w, r, &body) {
		return
	}
	s.SetHosts(body.Hosts)
	writeJSON(w, http.StatusOK, body)
}

func (s *Service) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{Streams: map[string]StreamStatus{}, Late: len(s.late)}
	for name, st := range s.streams {
		s.trim(st)
		status.Streams[name] = StreamStatus{First: st.first, Next: st.next()}
	}
	writeJSON(w, http.StatusOK, status)
}

// readJSON decodes a JSON body without unknown fields. It responds with 400 and
// returns false when it cannot.
func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
