package upstream

import (
	"context"
	"errors"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// Do sends req once and returns the response. Errors of kind Refused, DialFailed,
// Overloaded and NotSent mean that no byte was sent; SendFailed, AnswerCut,
// AnswerMismatch, AnswerTooLarge, Timeout and Canceled, and those with which Rest ends,
// mean that the request may have run.
func (s *Server) Do(ctx context.Context, req *Request) (*Response, error) {
	now := time.Now()
	c := s.takeIdle(now, req)
	if c == nil {
		var err error
		if c, err = s.dial(ctx); err != nil {
			return nil, s.notSentError(ctx, err)
		}
	}
	if err := s.notSentError(ctx, nil); err != nil {
		s.putIdle(c)
		return nil, err
	}
	if err := s.checkGuard(c, req); err != nil {
		return nil, err
	}
	req.Attempts.add(c)
	x := &exchange{server: s, conn: c, req: req, ctx: ctx}
	return x.run()
}

// notSentError returns the error of a request that is not sent, as its dial failed with
// err: NotSent if ctx has ended, else err.
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

// run sends the request and returns the response.
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

// classify gives an error of a read the kind that tells what ended it.
func (x *exchange) classify(err error) error {
	if source := x.sourceError(); source != nil {
		return source
	}
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
