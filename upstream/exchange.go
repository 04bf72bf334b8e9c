package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// concurrentWriteSize is the body size from which the body is written while the
// response is read, as a server may answer before it has read the whole body.
const concurrentWriteSize = 8 << 10

// Field is one header line.
type Field struct{ Name, Value string }

// Request is a request to a backend server.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header // without hop-by-hop headers
	Extra  []Field     // set by the router
	// ID is compared with the response's IDHeader, to match it to the request.
	ID       string
	IDHeader string
	Body     []byte
	Rest     io.Reader // follows Body; nil if Body is complete
	Length   int64     // of Body and Rest together; -1 means chunked
	Once     bool      // may run at most once
	Keyed    bool      // the server owns the key of the request
	Retry    bool      // a byte of it was sent before, to this or another server
	// Attempts is shared by all requests that are sent with the same ID.
	Attempts *Attempts
	Deadline time.Time
}

// Attempts records the connections on which a request was sent. A retry with the same
// ID is sent on another connection: there a second copy of the response to an earlier
// attempt cannot be taken for its own.
type Attempts struct{ conns []*conn }

func (a *Attempts) used(c *conn) bool { return a != nil && slices.Contains(a.conns, c) }

func (a *Attempts) add(c *conn) {
	if a != nil {
		a.conns = append(a.conns, c)
	}
}

// Do sends req once and returns the response. Errors of kind Refused, DialFailed,
// Overloaded and NotSent mean that no byte was sent; SendFailed, AnswerCut,
// AnswerMismatch, AnswerTooLarge, Timeout and Canceled mean that the request may have
// run.
func (s *Server) Do(ctx context.Context, req *Request) (*Response, error) {
	now := time.Now()
	c := s.takeIdle(now, req)
	if c == nil {
		var err error
		if c, err = s.dial(ctx); err != nil {
			return nil, s.notSentError(ctx, err)
		}
	}
	if err := s.checkGuard(c, req); err != nil {
		return nil, err
	}
	req.Attempts.add(c)
	x := &exchange{server: s, conn: c, req: req, ctx: ctx}
	return x.run()
}

// notSentError returns the error of a request whose dial failed with err: NotSent if
// ctx has ended, else err.
func (s *Server) notSentError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fault.Wrap(fault.NotSent, ctx.Err(), "the request ended before it was sent")
	}
	return err
}

// exchange is one request and its response on one connection.
type exchange struct {
	server  *Server
	conn    *conn
	req     *Request
	ctx     context.Context
	stop    func() bool // ends the watch that aborts the exchange when ctx ends
	written chan error  // result of a concurrent write of the body; nil if there is none
}

func (x *exchange) run() (*Response, error) {
	_ = x.conn.raw.SetDeadline(x.req.Deadline) // on a closed connection the write fails
	x.stop = context.AfterFunc(x.ctx, func() { _ = x.conn.raw.SetDeadline(time.Unix(1, 0)) })
	if err := x.write(); err != nil {
		return nil, x.fail(err)
	}
	resp, err := x.read()
	if err != nil {
		return nil, x.fail(x.classify(err))
	}
	return resp, nil
}

// fail ends the exchange with an error and closes the connection, which cannot be
// reused.
func (x *exchange) fail(err error) error {
	x.stop()
	x.server.discard(x.conn)
	return err
}

func (x *exchange) classify(err error) error {
	var known *fault.Error
	switch {
	case errors.As(err, &known):
		return err
	case errors.Is(context.Cause(x.ctx), context.DeadlineExceeded), !time.Now().Before(x.req.Deadline):
		return fault.Wrap(fault.Timeout, err, "no response before the deadline")
	case x.ctx.Err() != nil:
		return fault.Wrap(fault.Canceled, err, "the caller canceled the request")
	}
	return fault.Wrap(fault.AnswerCut, err, "the connection was closed before the response was complete")
}

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
	go func() { x.written <- x.writeBody() }()
	return nil
}

func (x *exchange) writeError(n int, err error) error {
	if err == nil {
		return nil
	}
	if n == 0 {
		return fault.Wrap(fault.NotSent, err, "no byte was written")
	}
	return fault.Wrap(fault.SendFailed, err, "the request was written only partly")
}

func (x *exchange) writeBody() error {
	if x.req.Length >= 0 {
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
	return x.writeChunks(io.MultiReader(bytes.NewReader(x.req.Body), x.req.Rest))
}

func (x *exchange) writeChunks(from io.Reader) error {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			chunk := strconv.AppendInt(nil, int64(n), 16)
			chunk = append(chunk, '\r', '\n')
			chunk = append(chunk, buf[:n]...)
			if _, werr := x.conn.raw.Write(append(chunk, '\r', '\n')); werr != nil {
				return werr
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

func (x *exchange) head() []byte {
	r := x.req
	b := make([]byte, 0, 512+len(r.Body))
	b = append(append(append(b, r.Method...), ' '), r.URI...)
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

func appendLine(b []byte, name, value string) []byte {
	b = append(append(b, name...), ':', ' ')
	return append(append(b, value...), '\r', '\n')
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
