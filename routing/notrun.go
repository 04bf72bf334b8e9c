package routing

import (
	"net/http"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// Values of HeaderNotRun: why a backend server did not run a request.
const (
	reasonStaleToken = "stale-token"
	reasonNoGrant    = "no-grant"
	reasonOverloaded = "overloaded"
	reasonDraining   = "draining"
	reasonStarting   = "starting"
)

// notRunError returns the error for an answer that gives a reason for not
// running the request. It returns nil when the status is none that a server may
// use for that.
func notRunError(resp *http.Response, reason string) error {
	var e *fault.Error
	switch resp.StatusCode {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
	default:
		return nil
	}
	switch reason {
	case reasonStaleToken, reasonNoGrant:
		e = fault.New(fault.StaleToken, reason)
	case reasonOverloaded:
		e = fault.New(fault.Overloaded, "the server shed the request")
	default:
		e = fault.New(fault.NotAccepted, reason)
	}
	e.RetryAfter = retryAfter(resp.Header)
	return e
}
