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
	answerWriteTimeout = 30 * time.Second // for writing one part of an answer to a slow caller
)

// Reasons that a backend server gives for not running a request.
const (
	reasonStaleToken = "stale-token"
	reasonNoGrant    = "no-grant"
	reasonOverloaded = "overloaded"
	reasonDraining   = "draining"
	reasonStarting   = "starting"
)

// reply is an answer on its way to the caller. Either body is the whole answer,
// or rest streams what follows body.
type reply struct {
	status  int
	header  http.Header
	outcome fault.Outcome
	length  int64 // of the whole answer; below 0 when unknown
	body    []byte
	rest    io.Reader
	done    func() // ends the exchange; nil when nothing is left to end
}

func (a *reply) buffered() bool { return a.rest == nil }

func (a *reply) finish() {
	if a.done != nil {
		a.done()
		a.done = nil
	}
}

// checkAnswer refuses answers that do not belong to the request, that say the
// request did not run, or whose end cannot be told.
func (q *request) checkAnswer(resp *http.Response) error {
	if q.target.service.EchoesID && resp.Header.Get(HeaderRequestID) != q.id {
		return fault.New(fault.AnswerMismatch, "the server echoed another request id")
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return fault.New(fault.AnswerMismatch, "the server switched protocols unasked")
	}
	if reason := resp.Header.Get(HeaderNotRun); reason != "" {
		if err := notRunError(resp, reason); err != nil {
			return err
		}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && q.in.Method != http.MethodHead {
		return fault.New(fault.AnswerCut, "the answer's end cannot be told: it has no length")
	}
	return nil
}

// notRunError returns the error for a server's word that it did not run a request,
// or nil when the status does not go with it.
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

// readAnswer reads an answer up to the profile's limit. A longer one is
// streamed. The reply's header belongs to the caller.
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

// errOverLimit says that a body goes on beyond the limit.
var errOverLimit = errors.New("the body goes on")

// readUpTo reads a body of at most limit bytes to its end. With known, limit is
// the body's length unless the body is longer. errMore means that the body goes
// on; what was read is returned with it.
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
		return fault.Wrap(fault.Timeout, err, "the answer was not whole in time")
	}
	if ctx.Err() != nil {
		return fault.Wrap(fault.Canceled, err, "the caller ended the request")
	}
	return fault.Wrap(fault.AnswerCut, err, "the answer broke off")
}

// write sends the reply to the caller. An answer that breaks off while it is
// streamed aborts the caller's connection, so that it never looks complete.
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

// writeWithDeadlines writes an answer that a slow caller may block. Each part must be
// taken within a time-out.
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
