// Package fault defines the closed list of error kinds and the table that maps
// each kind to the answer that a caller receives.
//
// Every error that crosses a package boundary on a request's path is an *Error
// with one Kind. A kind that is missing from the table is a programming error.
package fault

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome tells a caller what happened to a request.
type Outcome string

const (
	// Answered means that the backend server's complete response was returned.
	Answered Outcome = "answered"
	// NotRun means that the request certainly did not run.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Kind names one kind of error. The list is closed.
type Kind string

// The error kinds.
const (
	BadRequest       Kind = "bad-request"
	NoService        Kind = "no-service"
	NoKey            Kind = "no-key"
	TooLarge         Kind = "request-too-large"
	NotReady         Kind = "not-ready"
	NoLease          Kind = "no-view-lease"
	NoOwner          Kind = "no-owner"
	Moving           Kind = "moving"
	Overloaded       Kind = "overloaded"
	QueueTimeout     Kind = "queue-timeout"
	Refused          Kind = "connection-refused"
	DialFailed       Kind = "dial-failed"
	NotSent          Kind = "not-sent"
	NotAccepted      Kind = "not-accepted-by-server"
	StaleToken       Kind = "stale-token"
	InProgress       Kind = "in-progress"
	NoClaim          Kind = "no-claim"
	Duplicate        Kind = "duplicate"
	SendFailed       Kind = "send-failed"
	Timeout          Kind = "timeout"
	Canceled         Kind = "canceled"
	AnswerCut        Kind = "answer-cut-off"
	AnswerMismatch   Kind = "answer-mismatch"
	AnswerTooLarge   Kind = "answer-too-large"
	BadSettings      Kind = "bad-settings"
	BadProfile       Kind = "bad-profile"
	BadRecord        Kind = "bad-record"
	BadMessage       Kind = "bad-message"
	LogUnavailable   Kind = "log-unavailable"
	LogGap           Kind = "log-gap"
	LogConflict      Kind = "log-conflict"
	InDoubt          Kind = "in-doubt"
	Superseded       Kind = "superseded"
	PermissionDenied Kind = "permission-denied"
	NotFound         Kind = "not-found"
	PeerUnavailable  Kind = "peer-unavailable"
	Internal         Kind = "internal"
)

// ProblemType is the media type of an error answer in the form of RFC 9457.
const ProblemType = "application/problem+json"

// ProblemURI returns the URI that names the kind in an error answer, as its type.
func (k Kind) ProblemURI() string { return "urn:lacewingsaddle:error:" + string(k) }

// Answer describes the response to a caller for one error kind.
type Answer struct {
	Status    int     // HTTP status code
	Outcome   Outcome // what happened to the request
	Retryable bool    // whether the caller may retry the unchanged request
	Title     string  // short text for the problem body
}

var answers = map[Kind]Answer{
	BadRequest:       {http.StatusBadRequest, NotRun, false, "The request is malformed."},
	NoService:        {http.StatusNotFound, NotRun, false, "No service matches the request."},
	NoKey:            {http.StatusBadRequest, NotRun, false, "The request carries no key."},
	TooLarge:         {http.StatusRequestEntityTooLarge, NotRun, false, "The request is too large."},
	NotReady:         {http.StatusServiceUnavailable, NotRun, true, "The entry host is not ready."},
	NoLease:          {http.StatusServiceUnavailable, NotRun, true, "The entry host holds no view lease."},
	NoOwner:          {http.StatusServiceUnavailable, NotRun, true, "The key has no owner at present."},
	Moving:           {http.StatusServiceUnavailable, NotRun, true, "The key is moving to another backend server."},
	Overloaded:       {http.StatusServiceUnavailable, NotRun, true, "The service is overloaded."},
	QueueTimeout:     {http.StatusServiceUnavailable, NotRun, true, "No slot became free in time."},
	Refused:          {http.StatusServiceUnavailable, NotRun, true, "The backend server refused the connection."},
	DialFailed:       {http.StatusServiceUnavailable, NotRun, true, "No connection to the backend server could be opened."},
	NotSent:          {http.StatusServiceUnavailable, NotRun, true, "The request ended before any byte of it was sent."},
	NotAccepted:      {http.StatusServiceUnavailable, NotRun, true, "The backend server did not accept the request."},
	StaleToken:       {http.StatusServiceUnavailable, NotRun, true, "The backend server refused the fence token."},
	InProgress:       {http.StatusConflict, Unknown, true, "The same request is in progress."},
	NoClaim:          {http.StatusServiceUnavailable, NotRun, true, "The request could not be claimed."},
	Duplicate:        {http.StatusConflict, Unknown, false, "The same request was taken before; its answer is not kept."},
	SendFailed:       {http.StatusBadGateway, Unknown, false, "The connection failed while the request was sent."},
	Timeout:          {http.StatusGatewayTimeout, Unknown, false, "No answer arrived in time."},
	Canceled:         {http.StatusGatewayTimeout, Unknown, false, "The caller ended the request."},
	AnswerCut:        {http.StatusBadGateway, Unknown, false, "The answer was cut off."},
	AnswerMismatch:   {http.StatusBadGateway, Unknown, false, "The answer belongs to another request."},
	AnswerTooLarge:   {http.StatusBadGateway, Unknown, false, "The answer exceeds its size limit."},
	BadSettings:      {http.StatusBadRequest, NotRun, false, "The settings are invalid."},
	BadProfile:       {http.StatusUnprocessableEntity, NotRun, false, "The profile is invalid."},
	BadRecord:        {http.StatusInternalServerError, NotRun, false, "The log record is unreadable."},
	BadMessage:       {http.StatusBadRequest, NotRun, false, "The peer message is invalid."},
	LogUnavailable:   {http.StatusServiceUnavailable, NotRun, true, "The log service is unavailable."},
	LogGap:           {http.StatusServiceUnavailable, NotRun, true, "The log no longer holds the wanted records."},
	LogConflict:      {http.StatusConflict, NotRun, true, "The log ends at another record than expected."},
	InDoubt:          {http.StatusAccepted, Unknown, false, "It is not known whether the log took the change."},
	Superseded:       {http.StatusConflict, NotRun, false, "A newer version exists."},
	PermissionDenied: {http.StatusForbidden, NotRun, false, "The token does not permit this."},
	NotFound:         {http.StatusNotFound, NotRun, false, "The subject does not exist."},
	PeerUnavailable:  {http.StatusServiceUnavailable, NotRun, true, "No other entry host could take the request."},
	Internal:         {http.StatusInternalServerError, Unknown, false, "An internal error occurred."},
}

// AnswerOf returns the answer for k. The answer for an unlisted kind is that of
// Internal.
func AnswerOf(k Kind) Answer {
	a, ok := answers[k]
	if !ok {
		return answers[Internal]
	}
	return a
}

// Error is an error of one kind.
type Error struct {
	Kind       Kind
	Detail     string
	RetryAfter time.Duration // hint for the caller; 0 means none
	Cause      error
}

// New returns an error of kind k.
func New(k Kind, detail string) *Error {
	return &Error{Kind: k, Detail: detail}
}

// Newf returns an error of kind k with a formatted detail.
func Newf(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k that wraps cause.
func Wrap(k Kind, cause error, detail string) *Error {
	return &Error{Kind: k, Detail: detail, Cause: cause}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return string(e.Kind) + ": " + e.Detail
	}
	return string(e.Kind) + ": " + e.Detail + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Answer returns the answer for the error's kind.
func (e *Error) Answer() Answer { return AnswerOf(e.Kind) }

// KindOf returns the kind of the first *Error in err's chain, or Internal.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Kinds returns every listed kind in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for k := range answers {
		kinds = append(kinds, k)
	}
	return kinds
}

// IsRefused reports whether err is a refused connection: no process listens at the
// address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
