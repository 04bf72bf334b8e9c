package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/upstream"
)

const (
	// retryJitter is the largest random addition to Retry-After, as a share of
	// it, so that callers do not retry at the same moment.
	retryJitter = 0.5
	// maxRetryJitter bounds that addition where a server asked for a long pause.
	maxRetryJitter = time.Second
	// plainTextType is the content type of the responses that this host makes.
	plainTextType = "text/plain; charset=utf-8"
)

// writeResponse forwards a backend server's response to the caller and closes it.
func (g *Gateway) writeResponse(w http.ResponseWriter, q *request, a *upstream.Response) {
	defer a.Close()
	h := w.Header()
	for name, values := range endToEnd(a.Header, g.cfg.Headers.Leaving) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from detecting one
	}
	if a.Length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(a.Length, 10)}
	}
	g.closeIfLast(h, q)
	w.WriteHeader(a.Status)
	n, err := w.Write(a.Body)
	passed := int64(n)
	if a.Rest != nil {
		passed, err = writeRest(w, a, passed, err)
	}
	if err == nil {
		g.recordAnswered(q, a.Status)
		return
	}
	if q.in.Context().Err() != nil {
		g.recordCallerLeft(q, err)
	} else {
		g.recordResponseAborted(q, passed, err)
	}
	abort(w, q.in, a)
}

// abort ends the caller's connection so that a response of which only a part was
// passed on does not look complete. For a caller that speaks HTTP/1.0, a body without
// a length ends with its connection, so that connection is reset.
func abort(w http.ResponseWriter, r *http.Request, a *upstream.Response) {
	if !r.ProtoAtLeast(1, 1) && a.Length < 0 {
		resetConnection(w)
	}
	panic(http.ErrAbortHandler) // net/http closes the connection
}

// resetConnection closes the caller's connection with a reset. The connection is left
// to net/http if it cannot be taken over.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // the connection has ended already
	}
	_ = conn.Close()
}

// writeRest streams the rest of a long response. It returns the number of bytes
// written to the caller, including passed.
func writeRest(w io.Writer, a *upstream.Response, passed int64, err error) (int64, error) {
	if err != nil {
		return passed, err
	}
	n, err := io.Copy(w, a.Rest)
	return passed + n, err
}

// closeIfLast has the caller's connection closed after the response if the host stops, or
// if the request's body was not read completely: to keep the connection, net/http would
// hold back the response until the rest of the body has arrived.
func (g *Gateway) closeIfLast(h http.Header, q *request) {
	if g.stopping.Load() || q.bodyIsUnread() {
		h.Set("Connection", "close")
	}
}

// refuse writes an error response for a request that no backend server answered.
// q.route may be nil.
func (g *Gateway) refuse(w http.ResponseWriter, q *request, err error) {
	// CutOff ends the read of a body, which ends the request's context, too.
	if q.in.Context().Err() != nil && g.ended.Err() == nil {
		g.recordCallerLeft(q, err)
		panic(http.ErrAbortHandler) // the caller has disconnected
	}
	status := g.refusalStatus(q, err)
	h := w.Header()
	if q.id != "" {
		h.Set(g.cfg.Headers.RequestID, q.id)
	}
	h.Set("Content-Type", plainTextType)
	retry := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		retry = retryAfter(err)
		h.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
	}
	g.closeIfLast(h, q)
	g.recordRefused(q, status, err, retry)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, string(fault.KindOf(err))+"\n") // the caller may have disconnected
}

// refusalStatus maps an error to an HTTP status. A status that means "not run"
// is returned only if no attempt of the request may have run.
func (g *Gateway) refusalStatus(q *request, err error) int {
	kind := fault.KindOf(err)
	switch kind {
	case fault.Timeout, fault.Canceled:
		return http.StatusGatewayTimeout
	case fault.SendFailed, fault.AnswerCut, fault.AnswerMismatch, fault.AnswerTooLarge:
		if q.ctx != nil && q.ctx.Err() != nil {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	case fault.TooLarge, fault.BadRequest:
		return fault.AnswerOf(kind).Status // says nothing about whether the request ran
	}
	if q.mayHaveRun {
		return http.StatusBadGateway
	}
	status := fault.AnswerOf(kind).Status
	if status >= http.StatusInternalServerError {
		return http.StatusServiceUnavailable
	}
	return status
}

// retryAfter returns the value of the Retry-After header, with jitter.
func retryAfter(err error) time.Duration {
	d := retryAfterDefault
	var e *fault.Error
	if errors.As(err, &e) && e.RetryAfter > 0 {
		d = e.RetryAfter
	} else if fault.KindOf(err) == fault.NotAccepted {
		d = retryAfterShed
	}
	return d + time.Duration(rand.Float64()*min(retryJitter*float64(d), float64(maxRetryJitter)))
}
