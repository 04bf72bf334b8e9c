package logsvc

import (
	"context"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
)

// Outage is the way in which the service fails during an outage.
type Outage string

// The kinds of outage.
const (
	NoOutage Outage = ""
	Refusing Outage = "refusing" // each call is answered with 503
	Silent   Outage = "silent"   // no call is answered
)

// Faults are the failures that the service injects at present.
type Faults struct {
	Outage Outage `json:"outage"`
	// DelayMS delays each answer, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is how many of the next appends take effect but lose their answer.
	LoseAnswers int `json:"lose_answers"`
	// LateAppends is how many of the next appends have their connection cut and
	// take effect LateMS milliseconds afterwards, or when they are released if
	// LateMS is 0.
	LateAppends int `json:"late_appends"`
	LateMS      int `json:"late_ms"`
	// HostListLagMS is the age of the host list that readers see, in milliseconds.
	HostListLagMS int `json:"host_list_lag_ms"`
}

func (f Faults) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

func (f Faults) hostListLag() time.Duration { return time.Duration(f.HostListLagMS) * time.Millisecond }

// lateAppend is an append that has not taken effect yet.
type lateAppend struct {
	stream string
	data   []byte
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults. The counts decrease with each fault injected.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// ReleaseLateAppends lets every late append that waits for it take effect now and
// returns their number.
func (s *Service) ReleaseLateAppends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.late)
	for _, a := range s.late {
		s.appendLocked(a.stream, a.data)
	}
	s.late = nil
	return n
}

// appendOutcome is the way in which an append is handled.
type appendOutcome int

const (
	appendAnswered appendOutcome = iota
	appendAnswerLost
	appendDelayed
)

// nextAppendOutcome returns how to handle the next append and, if it is late, its
// delay. It uses up one of the counted faults, if any is left.
func (s *Service) nextAppendOutcome() (appendOutcome, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.LoseAnswers > 0:
		s.faults.LoseAnswers--
		return appendAnswerLost, 0
	case s.faults.LateAppends > 0:
		s.faults.LateAppends--
		return appendDelayed, time.Duration(s.faults.LateMS) * time.Millisecond
	default:
		return appendAnswered, 0
	}
}

// appendLate appends after the delay, or at ReleaseLateAppends when the delay is 0.
func (s *Service) appendLate(a lateAppend, delay time.Duration) {
	if delay == 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.late = append(s.late, a)
		return
	}
	go func() {
		if sleep(s.closed, delay) {
			s.Append(a.stream, a.data)
		}
	}()
}

// sleep waits for d and reports whether ctx was not done by then.
func sleep(ctx context.Context, d time.Duration) bool { return wait.Sleep(ctx, d) == nil }
