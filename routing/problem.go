package routing

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// Problem is the body of an error answer that the router gives itself, in the
// form of RFC 9457.
type Problem struct {
	Type      string        `json:"type"`
	Title     string        `json:"title"`
	Status    int           `json:"status"`
	Detail    string        `json:"detail,omitempty"`
	Outcome   fault.Outcome `json:"outcome"`
	Kind      fault.Kind    `json:"kind"`
	Retryable bool          `json:"retryable"`
	RequestID string        `json:"request_id,omitempty"`
}

// WriteProblem writes err to w as a problem body.
func WriteProblem(w http.ResponseWriter, requestID string, err error) {
	var e *fault.Error
	if !errors.As(err, &e) {
		e = fault.Wrap(fault.Internal, err, "unclassified")
	}
	a := e.Answer()
	body, _ := json.Marshal(Problem{
		Type:      e.Kind.ProblemURI(),
		Title:     a.Title,
		Status:    a.Status,
		Detail:    e.Detail,
		Outcome:   a.Outcome,
		Kind:      e.Kind,
		Retryable: a.Retryable,
		RequestID: requestID,
	})
	h := w.Header()
	h.Set("Content-Type", fault.ProblemType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(a.Outcome))
	h.Set(headerKind, string(e.Kind))
	h.Set(HeaderRequestID, requestID)
	if e.RetryAfter > 0 {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(body)
}
