// Package query implements the operators' read operations. It changes no state.
package query

import (
	"context"

	"github.com/lacewingsaddle/lacewingsaddle/control"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/steps"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// Control is the part of control.Loop that reads need.
type Control interface {
	Snapshot() *control.Snapshot
	Now() ownership.Instant
	Progress(ctx context.Context) ([]control.MemberProgress, error)
	State(ctx context.Context) (*ownership.State, error)
}

// StepSource returns the steps of recent requests.
type StepSource interface {
	Steps(requestID string) ([]steps.Step, bool)
}

// Service answers the operators' read operations on one entry host. It is safe
// for concurrent use.
type Service struct {
	control  Control
	log      tlog.Log
	steps    StepSource
	measures *Measures
	trail    *trail
}

// New returns a service of a host in cell.
func New(c Control, log tlog.Log, cell string, recent StepSource, m *Measures) *Service {
	return &Service{control: c, log: log, steps: recent, measures: m, trail: newTrail(log, cell)}
}

// RequestSteps are the steps that one host recorded for a request.
type RequestSteps struct {
	RequestID string       `json:"request_id"`
	Host      string       `json:"host"`
	Steps     []steps.Step `json:"steps"`
}

// Request returns the steps of a recent request. Errors are of kind NotFound.
func (s *Service) Request(id string) (RequestSteps, error) {
	host := string(s.control.Snapshot().View.Self)
	list, ok := s.steps.Steps(id)
	if !ok {
		return RequestSteps{}, fault.Newf(fault.NotFound, "host %s has no record of request %q; ask the host that received it", host, id)
	}
	return RequestSteps{RequestID: id, Host: host, Steps: list}, nil
}
