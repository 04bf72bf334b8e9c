package upstream

import (
	"bytes"
	"io"
	"net/http"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// maxBuffered is the number of bytes of a response body that are read before
	// the response is returned. A shorter response is known to be complete.
	maxBuffered = 1 << 20
	// unreservedBytes of each body are buffered without a reservation.
	unreservedBytes = 32 << 10
)

// readBody reads the response body, or the part of a long one that may be buffered.
// It returns the connection to the idle connections when the body is complete.
func (x *exchange) readBody(resp *http.Response) (*Response, error) {
	out := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, buffers: x.server.buffers}
	if x.req.Method == http.MethodHead {
		x.finish(resp)
		return out, nil
	}
	if resp.ContentLength > maxBodyBytes {
		return nil, fault.Newf(fault.AnswerTooLarge, "the response body has %d bytes", resp.ContentLength)
	}
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

// close ends the exchange, and closes the connection unless the body was read to its end.
func (b *streamedBody) close() {
	if b.complete {
		b.exchange.finish(b.resp)
		return
	}
	_ = b.exchange.fail(nil) // returns the error that it is given
}
