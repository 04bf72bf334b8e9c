package routing

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// copyBufferBytes is the size of the parts in which a long answer is written.
	copyBufferBytes = 32 << 10
	// answerWriteTimeout bounds the write of one part to a slow caller.
	answerWriteTimeout = 30 * time.Second
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

// finish ends the exchange.
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

// bodyAllowed reports whether an answer with a status may have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
