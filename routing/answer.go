package routing

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	copyBufferBytes    = 32 << 10
	answerWriteTimeout = 30 * time.Second // to write one part of an answer to a slow caller
)

// Values of HeaderNotRun: why a backend server did not run a request.
const (
	reasonStaleToken = "stale-token"
	reasonNoGrant    = "no-grant"
	reasonOverloaded = "overloaded"
	reasonDraining   = "draining"
	reasonStarting   = "starting"
)

// reply is an answer to be written to the caller. Either body is the complete
// answer, or rest streams what follows body.
type reply struct {
	status  int
	header  http.Header
	outcome fault.Outcome
	length  int64 // of the complete answer; negative when unknown
	body    []byte
	rest    io.Reader
	done    func() // ends the exchange; nil when there is nothing to end
}

// buffered reports whether body holds the complete answer.
func (a *reply) buffered() bool { return a.rest == nil }

func (a *reply) finish() {
	if a.done != nil {
		a.done()
		a.done = nil
	}
}

// checkAnswer returns an error for answers that do not belong to the request,
// that report that the request did not run, or whose length is not delimited.
func (q *request) checkAnswer(resp *http.Response) error {
	if q.target.service.EchoesID && resp.Header.Get(HeaderRequestID) != q.id {
		return fault.New(fault.AnswerMismatch, "the server echoed a different request id")
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return fault.New(fault.AnswerMismatch, "the server switched protocols without an upgrade request")
	}
	if reason := resp.Header.Get(HeaderNotRun); reason != "" {
		if err := notRunError(resp, reason); err != nil {
			return err
		}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && q.in.Method != http.MethodHead {
		return fault.New(fault.AnswerCut, "the answer has neither a length nor a transfer encoding, so truncation cannot be detected")
	}
	return nil
}

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

// readAnswer buffers an answer up to the profile's limit; a longer one is
// streamed. It changes resp.Header in place: the reply takes it over.
func (q *request) readAnswer(ctx context.Context, resp *http.Response) (*reply, error) {
	a := &reply{
		status:  resp.StatusCode,
		header:  removeHopByHop(resp.Header),
		outcome: fault.Answered,
		length:  resp.ContentLength,
	}
	limit := q.target.profile.Limits.AnswerBytes
	size := limit
	if resp.ContentLength >= 0 && resp.ContentLength < int64(limit) {
		size = int(resp.ContentLength)
	}
	if resp.Body == http.NoBody || q.in.Method == http.MethodHead {
		return a, nil
	}
	var err error
	a.body, err = readUpTo(resp.Body, size, resp.ContentLength >= 0)
	if errors.Is(err, errOverLimit) {
		a.rest = resp.Body
		return a, nil
	}
	if err != nil {
		return nil, readError(ctx, err)
	}
	a.length = int64(len(a.body))
	return a, nil
}

// errOverLimit means that a body is longer than the limit.
var errOverLimit = errors.New("the body is longer than the limit")

// readUpTo reads a body of at most limit bytes to its end. It returns
// errOverLimit together with the bytes read when the body is longer. known means
// that the body declares a length: limit is that length or, when the length is
// larger, the maximum to buffer. The buffer then starts at its full size.
func readUpTo(body io.Reader, limit int, known bool) ([]byte, error) {
	buf := make([]byte, 0, initialCapacity(limit, known))
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
		if len(buf) > limit {
			return buf, errOverLimit
		}
	}
}

const unknownSizeCapacity = 4 << 10

func initialCapacity(limit int, known bool) int {
	if known {
		return limit + 1
	}
	return min(limit, unknownSizeCapacity) + 1
}

func readError(ctx context.Context, err error) *fault.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.Wrap(fault.Timeout, err, "the answer was not complete before the deadline")
	}
	if ctx.Err() != nil {
		return fault.Wrap(fault.Canceled, err, "the caller canceled the request")
	}
	return fault.Wrap(fault.AnswerCut, err, "the answer ended early")
}

// write sends the reply to the caller. When an answer ends early while it is
// streamed, the caller's connection is aborted, so that a truncated answer never
// looks complete.
func (a *reply) write(w http.ResponseWriter, q *request) {
	defer a.finish()
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	values := [...]string{string(a.outcome), q.id, ""}
	h[HeaderOutcome] = values[0:1:1]
	h[HeaderRequestID] = values[1:2:2]
	if a.length >= 0 && bodyAllowed(a.status) {
		values[2] = strconv.FormatInt(a.length, 10)
		h["Content-Length"] = values[2:3:3]
	}
	if a.rest != nil || len(a.body) > copyBufferBytes {
		a.writeWithDeadlines(w)
		return
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// writeWithDeadlines writes an answer in parts, each within answerWriteTimeout,
// so that a slow caller cannot block it for ever.
func (a *reply) writeWithDeadlines(w http.ResponseWriter) {
	rc := http.NewResponseController(w)
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	w.WriteHeader(a.status)
	for part := range slices.Chunk(a.body, copyBufferBytes) {
		_ = rc.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
		if _, err := w.Write(part); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if a.rest != nil {
		a.stream(w, rc)
	}
}

// stream copies rest to the caller.
func (a *reply) stream(w http.ResponseWriter, rc *http.ResponseController) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := a.rest.Read(buf)
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
			if _, werr := w.Write(buf[:n]); werr != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
