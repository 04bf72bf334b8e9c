package upstream

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// maxStrayResponses is the number of responses to other requests that are
	// skipped on a connection before it is given up.
	maxStrayResponses = 3
	// maxInformational is the number of informational (1xx) responses that are
	// skipped in one exchange.
	maxInformational = 8
)

// Response is a backend server's response. It must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest follows Body if the response exceeds its buffer, else it is nil.
	Rest   io.Reader
	Length int64 // length of the complete body, -1 if unknown

	body     *streamedBody // of Rest; nil if there is none
	buffers  *Buffers
	reserved int64 // bytes of buffers that Body occupies
}

// Close ends the response. It closes the connection if Rest was not read to its end.
func (r *Response) Close() {
	if r.body != nil {
		r.body.close()
		r.body = nil
	}
	r.buffers.put(r.reserved)
	r.reserved = 0
}

// read returns the response that matches the request. It skips a bounded number of
// informational responses and of responses to other requests.
func (x *exchange) read() (*Response, error) {
	x.conn.source.startExchange()
	for informational, stray := 0, 0; ; {
		resp, err := x.readHead()
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			if informational++; informational > maxInformational {
				return nil, fault.New(fault.AnswerTooLarge, "the server sends informational responses without end")
			}
			continue
		}
		matches, err := x.matches(resp)
		if err != nil {
			return nil, err
		}
		if matches {
			x.server.guard.Answered(resp.StatusCode, resp.Header)
			return x.readBody(resp)
		}
		if stray++; stray > maxStrayResponses {
			return nil, fault.New(fault.AnswerMismatch, "the connection carries responses to other requests")
		}
		if err := skipBody(resp); err != nil {
			return nil, err
		}
	}
}

// readHead reads one response head within the limits.
func (x *exchange) readHead() (*http.Response, error) {
	source := x.conn.source
	source.inHead = true
	resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.req.Method})
	source.inHead = false
	if err != nil && source.exceeded {
		return nil, errHeadTooLarge // the parser may report a truncated line instead
	}
	if err == nil && ContainsHead(resp) {
		return nil, fault.New(fault.AnswerMismatch, "a response head was cut off and continues with another response")
	}
	return resp, err
}

// matches reports whether a response belongs to the request.
//
// A server that fails before it has read the id answers without one. On a connection
// without an earlier request such an error response belongs to this one. On a reused
// connection it may as well be a second copy of an earlier response: the outcome of
// the request is then unknown, also where the response says that it did not run.
func (x *exchange) matches(resp *http.Response) (bool, error) {
	id := resp.Header.Get(x.req.IDHeader)
	if id != "" {
		return id == x.req.ID, nil
	}
	if resp.StatusCode < http.StatusBadRequest {
		return false, nil
	}
	if x.conn.reused {
		return false, fault.Newf(fault.AnswerMismatch, "an error response (status %d) without an id on a reused connection", resp.StatusCode)
	}
	return true, nil
}

// finish ends the exchange after a complete response. The connection is not reused if
// bytes may follow that the next request would take for its response: a second copy
// of the response to HEAD would announce a body that it does not have.
func (x *exchange) finish(resp *http.Response) {
	x.stop()
	if resp.Close || endsWithConnection(resp) || x.req.Method == http.MethodHead || !x.bodyWritten() || x.ctx.Err() != nil {
		x.server.discard(x.conn)
		return
	}
	c := x.conn
	c.lastUsed = time.Now()
	c.reused = true
	c.expires = keepAliveExpiry(c.lastUsed, resp.Header.Get("Keep-Alive"))
	_ = c.raw.SetDeadline(time.Time{}) // a closed connection is detected at its next use
	x.server.putIdle(c)
}

// keepAliveExpiry returns until when a connection can be reused according to a
// Keep-Alive header, or the zero time if the header has no timeout.
func keepAliveExpiry(now time.Time, header string) time.Time {
	for part := range strings.SplitSeq(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return now.Add(max(time.Duration(n)*time.Second-keepAliveMargin, 0))
		}
	}
	return time.Time{}
}
