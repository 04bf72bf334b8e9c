package client

import (
	"errors"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/yamldoc"
)

// Problem is the body of an error answer, in the form of RFC 9457.
type Problem struct {
	Type      string               `json:"type"`
	Title     string               `json:"title"`
	Status    int                  `json:"status"`
	Detail    string               `json:"detail,omitempty"`
	Kind      fault.Kind           `json:"kind"`
	Outcome   fault.Outcome        `json:"outcome"`
	Retryable bool                 `json:"retryable"`
	Fields    []yamldoc.FieldError `json:"fields,omitempty"` // the invalid fields of a document
}

// ProblemOf returns the problem that describes err.
func ProblemOf(err error) Problem {
	kind := fault.KindOf(err)
	a := fault.AnswerOf(kind)
	p := Problem{
		Type:      kind.ProblemURI(),
		Title:     a.Title,
		Status:    a.Status,
		Detail:    detailOf(err),
		Kind:      kind,
		Outcome:   a.Outcome,
		Retryable: a.Retryable,
	}
	var fields yamldoc.FieldErrors
	if errors.As(err, &fields) {
		p.Fields = fields
	}
	return p
}

// detailOf returns the details of err and its causes, one per line, without field
// errors, which a problem lists separately.
func detailOf(err error) string {
	var e *fault.Error
	if !errors.As(err, &e) {
		return "unclassified"
	}
	if e.Cause == nil {
		return e.Detail
	}
	var cause *fault.Error
	if errors.As(e.Cause, &cause) {
		return e.Detail + "\n" + detailOf(cause)
	}
	return e.Detail
}

// Err returns the error that p describes.
func (p Problem) Err() error {
	if p.Kind == "" {
		return fault.Newf(fault.Internal, "the admin API answered with status %d", p.Status)
	}
	e := fault.New(p.Kind, p.Detail)
	if len(p.Fields) > 0 {
		e.Cause = yamldoc.FieldErrors(p.Fields)
	}
	return e
}
