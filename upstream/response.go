package upstream

import (
	"bytes"
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
	// maxBuffered is the number of bytes of a response body that are read before
	// the response is returned. A shorter response is known to be complete.
	maxBuffered = 1 << 20
	// unreservedBytes of each body are buffered without a reservation.
	unreservedBytes = 32 << 10
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

// skipBody reads the body of a response to another request.
func skipBody(resp *http.Response) error {
	n, err := io.CopyN(io.Discard, resp.Body, maxStrayBytes+1)
	if n > maxStrayBytes {
		return fault.New(fault.AnswerTooLarge, "a response to another request exceeds its limit")
	}
	if err == io.EOF {
		return nil
	}
	return err
}

// readBody reads the response body, or the part of a long one that may be buffered.
// It returns the connection to the idle connections when the body is complete.
func (x *exchange) readBody(resp *http.Response) (*Response, error) {
	if x.req.Method == http.MethodHead {
		x.finish(resp)
		return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, buffers: x.server.buffers}, nil
	}
	if resp.ContentLength > maxBodyBytes {
		return nil, fault.Newf(fault.AnswerTooLarge, "the response body has %d bytes", resp.ContentLength)
	}
	out := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, buffers: x.server.buffers}
	if endsWithConnection(resp) {
		resp.Body = &bodyUntilClose{resp.Body, x}
	}
	complete, err := x.fillBody(out, resp)
	if err != nil {
		out.Close()
		return nil, err
	}
	if complete && x.conn.isInsertedInto(out.Body) {
		out.Close()
		return nil, fault.New(fault.AnswerMismatch, "another response was written into the response body")
	}
	if complete {
		out.Length = int64(len(out.Body))
		x.finish(resp)
		return out, nil
	}
	out.body = &streamedBody{exchange: x, resp: resp, left: maxBodyBytes - int64(len(out.Body))}
	out.Rest = out.body
	return out, nil
}

// fillBody reads the body up to the size of its buffer and reports whether that is
// the whole body.
func (x *exchange) fillBody(out *Response, resp *http.Response) (complete bool, err error) {
	if n := resp.ContentLength; n >= 0 && n <= unreservedBytes {
		out.Body = make([]byte, n)
		_, err = io.ReadFull(resp.Body, out.Body)
		return true, err
	}
	var buf bytes.Buffer
	complete, err = readUpTo(&buf, resp.Body, unreservedBytes)
	if err == nil && !complete && out.reserve(resp.ContentLength) {
		complete, err = readUpTo(&buf, resp.Body, maxBuffered-unreservedBytes)
	}
	out.Body = buf.Bytes()
	return complete, err
}

// reserve reserves the buffer of a body of the given length, -1 if unknown, and
// reports whether there was room for it.
func (r *Response) reserve(length int64) bool {
	if length < 0 || length > maxBuffered {
		length = maxBuffered
	}
	if !r.buffers.take(length) {
		return false
	}
	r.reserved = length
	return true
}

// readUpTo appends up to n bytes of from to buf. It reports whether from ended.
func readUpTo(buf *bytes.Buffer, from io.Reader, n int64) (ended bool, err error) {
	_, err = io.CopyN(buf, from, n)
	if err == io.EOF {
		return true, nil
	}
	return false, err
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

// endsWithConnection reports whether only the end of the connection ends the body.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// bodyUntilClose is a body that the end of the connection ends. It is incomplete if the
// request body was not written completely: the write of it may have got the error of a
// reset, which the system reports once, and reads then find a regular end.
type bodyUntilClose struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *bodyUntilClose) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.exchange.awaitWritten() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
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

// streamedBody reads the unbuffered part of a long response body.
type streamedBody struct {
	exchange *exchange
	resp     *http.Response
	left     int64 // bytes that may still be read
	complete bool
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, fault.Newf(fault.AnswerTooLarge, "the response body exceeds %d bytes", maxBodyBytes)
	}
	n, err := b.resp.Body.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

func (b *streamedBody) close() {
	if b.complete {
		b.exchange.finish(b.resp)
		return
	}
	_ = b.exchange.fail(nil)
}
