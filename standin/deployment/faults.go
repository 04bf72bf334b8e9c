package deployment

import (
	"net/http"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

func leave(s *platformtest.Instance, _ *http.Request) error {
	b, err := running(s)
	if err != nil {
		return err
	}
	b.SetLeaving()
	s.Drain()
	return nil
}

func becomeFull(s *platformtest.Instance, r *http.Request) error {
	b, err := running(s)
	if err != nil {
		return err
	}
	d := defaultFullTime
	if text := r.URL.Query().Get("for"); text != "" {
		if d, err = time.ParseDuration(text); err != nil {
			return fault.Wrap(fault.BadSettings, err, "for")
		}
	}
	b.SetFull(d, platformtest.WholeSeconds)
	return nil
}

func crash(s *platformtest.Instance, _ *http.Request) error {
	s.Crash()
	return nil
}

func start(s *platformtest.Instance, _ *http.Request) error {
	if s.Backend() != nil {
		return fault.Newf(fault.BadSettings, "%s is running", s.ID)
	}
	return s.Start()
}

// running returns the backend of a server that is up.
func running(s *platformtest.Instance) (*platformtest.Backend, error) {
	b := s.Backend()
	if b == nil {
		return nil, fault.Newf(fault.BadSettings, "%s is down", s.ID)
	}
	return b, nil
}
