package routing

import (
	"errors"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/steps"
)

// recordSent records that q is sent to a backend server.
func (r *Router) recordSent(q *request, d destination) {
	if r.deps.Steps == nil {
		return
	}
	s := steps.Step{Name: steps.Sent, Service: q.service(), Key: q.key, Server: d.server.Spec.ID}
	if q.keyed() {
		s.Shard, s.Token = uint32(d.shard), uint64(d.route.Token)
	}
	r.deps.Steps.Record(q.id, s)
}

// recordForwarded records that q is forwarded to another entry host.
func (r *Router) recordForwarded(q *request, host string) {
	if r.deps.Steps == nil {
		return
	}
	r.deps.Steps.Record(q.id, steps.Step{Name: steps.Forwarded, Service: q.service(), Key: q.key, Note: "to " + host})
}

// recordFailed records how one attempt failed.
func (r *Router) recordFailed(q *request, d destination, err error) {
	r.recordResult(q, steps.Step{Name: steps.Failed, Server: d.server.Spec.ID}, err)
}

// recordFinished records the outcome that the caller is given.
func (r *Router) recordFinished(q *request, err error) {
	r.recordResult(q, steps.Step{Name: steps.Finished, Outcome: fault.Answered}, err)
}

func (r *Router) recordResult(q *request, s steps.Step, err error) {
	if r.deps.Steps == nil {
		return
	}
	var e *fault.Error
	if errors.As(err, &e) {
		s.Outcome, s.Kind, s.Note = e.Answer().Outcome, e.Kind, e.Detail
	}
	r.deps.Steps.Record(q.id, s)
}
