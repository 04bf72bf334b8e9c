package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// concurrentWriteSize is the body size in bytes from which the body is written
	// while the response is read, as a server may answer before it has read the whole
	// body.
	concurrentWriteSize = 8 << 10
	// chunkBytes is the largest chunk of a body of unknown length.
	chunkBytes = 16 << 10
	// usualHeadBytes is the space that is set aside for the head of a request.
	usualHeadBytes = 512
)

// write sends the head and the body. A long body is written by a goroutine while
// the response is read.
func (x *exchange) write() error {
	head := x.head()
	if len(x.req.Body) < concurrentWriteSize && x.req.Rest == nil {
		n, err := x.conn.raw.Write(append(head, x.req.Body...))
		return x.writeError(n, err)
	}
	n, err := x.conn.raw.Write(head)
	if err != nil {
		return x.writeError(n, err)
	}
	x.written = make(chan error, 1)
	go func() {
		err := x.writeBody()
		x.written <- err
		if isSourceError(err) {
			x.conn.close() // the server would wait for the rest of the body
		}
	}()
	return nil
}

// isSourceError reports whether a write of a body failed with err because its source did:
// Rest ends with a *fault.Error then.
func isSourceError(err error) bool {
	var e *fault.Error
	return errors.As(err, &e)
}

// sourceError returns the error of the body's source, or nil if it did not fail.
func (x *exchange) sourceError() error {
	if x.written == nil {
		return nil
	}
	select {
	case err := <-x.written:
		x.written <- err
		if isSourceError(err) {
			return err
		}
	default: // the body is still being written
	}
	return nil
}

// writeError returns the error of a write that failed with err after n bytes, or nil.
func (x *exchange) writeError(n int, err error) error {
	if err == nil {
		return nil
	}
	if n == 0 {
		return fault.Wrap(fault.NotSent, err, "no byte was written")
	}
	return fault.Wrap(fault.SendFailed, err, "the request was written only partly")
}

// writeBody writes the body, in chunks if its length is unknown.
func (x *exchange) writeBody() error {
	if x.req.Length < 0 {
		return x.writeChunks(io.MultiReader(bytes.NewReader(x.req.Body), x.req.Rest))
	}
	if _, err := x.conn.raw.Write(x.req.Body); err != nil {
		return err
	}
	if x.req.Rest == nil {
		return nil
	}
	n, err := io.Copy(x.conn.raw, x.req.Rest)
	if err == nil && n != x.req.Length-int64(len(x.req.Body)) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// writeChunks writes a body in the chunked transfer coding.
func (x *exchange) writeChunks(from io.Reader) error {
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, err := x.conn.raw.Write(chunk(buf[:n])); err != nil {
				return err
			}
		}
		if err == io.EOF {
			_, err = x.conn.raw.Write([]byte("0\r\n\r\n"))
			return err
		}
		if err != nil {
			return err
		}
	}
}

// chunk encodes one chunk of a body.
func chunk(data []byte) []byte {
	out := strconv.AppendInt(nil, int64(len(data)), 16)
	out = append(out, '\r', '\n')
	out = append(out, data...)
	return append(out, '\r', '\n')
}

// head returns the request line and the headers.
func (x *exchange) head() []byte {
	r := x.req
	b := make([]byte, 0, usualHeadBytes+len(r.Body))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendLine(b, "Host", r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			b = appendLine(b, name, v)
		}
	}
	for _, f := range r.Extra {
		b = appendLine(b, f.Name, f.Value)
	}
	switch {
	case r.Length < 0:
		b = appendLine(b, "Transfer-Encoding", "chunked")
	case r.Length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b = appendLine(b, "Content-Length", strconv.FormatInt(r.Length, 10))
	}
	return append(b, '\r', '\n')
}

// appendLine appends a header line.
func appendLine(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// bodyWritten reports whether the whole request body was sent. If a server answered
// earlier, it would take the next request's bytes for the rest of the body.
func (x *exchange) bodyWritten() bool {
	if x.written == nil {
		return true
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// awaitWritten closes the connection, which ends a write in progress, and reports whether
// the whole request body was sent before.
func (x *exchange) awaitWritten() bool {
	if x.written == nil {
		return true
	}
	x.conn.close()
	select {
	case err := <-x.written:
		x.written <- err
		return err == nil
	case <-x.ctx.Done():
		return false
	}
}
