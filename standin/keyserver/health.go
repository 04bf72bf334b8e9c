package keyserver

import (
	"net/http"
	"time"
)

// The states that the health endpoint reports.
const (
	stateOK       = "ok"
	stateStarting = "starting"
	stateDraining = "draining"
	stateDown     = "down"
)

// maxSamples bounds the history that a lagging health endpoint can report.
const maxSamples = 4096

// HealthAnswer is the response to GET /-/health.
type HealthAnswer struct {
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
	Slots    int    `json:"slots"`
}

// healthSample is the actual health from one moment on.
type healthSample struct {
	from   time.Time
	answer HealthAnswer
}

func (s *Server) state() string {
	cold := s.started.Add(milliseconds(s.traits.ColdStartMS))
	switch {
	case s.traits.ColdStartMS > 0 && time.Now().Before(cold):
		return stateStarting
	case s.traits.Drain != NotDraining:
		return stateDraining
	default:
		return stateOK
	}
}

func (s *Server) actualHealth() HealthAnswer {
	return HealthAnswer{State: s.state(), InFlight: s.running, Slots: s.traits.Slots}
}

// recordHealth records the actual health, for a lagging health endpoint.
func (s *Server) recordHealth() {
	s.samples = append(s.samples, healthSample{from: time.Now(), answer: s.actualHealth()})
	if len(s.samples) > maxSamples {
		s.samples = append([]healthSample(nil), s.samples[maxSamples/2:]...)
	}
}

// reportedHealth returns what the endpoint reports, which may be old or wrong.
func (s *Server) reportedHealth() HealthAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.actualHealth()
	if lag := time.Duration(s.traits.Health.LagMS) * time.Millisecond; lag > 0 {
		answer = s.healthAt(time.Now().Add(-lag))
	}
	if s.traits.Health.State != "" {
		answer.State = s.traits.Health.State
	}
	if s.traits.Health.InFlight != nil {
		answer.InFlight = *s.traits.Health.InFlight
	}
	return answer
}

func (s *Server) healthAt(at time.Time) HealthAnswer {
	answer := HealthAnswer{State: stateOK, Slots: s.traits.Slots}
	for _, sample := range s.samples {
		if sample.from.After(at) {
			break
		}
		answer = sample.answer
	}
	return answer
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(milliseconds(s.Traits().ProbeMS))
	answer := s.reportedHealth()
	status := http.StatusOK
	if answer.State == stateDown {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, answer)
}
