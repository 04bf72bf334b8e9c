package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/detect"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// SendCheck is called immediately before the first byte of a request is written.
// An error prevents the write; it must be a *fault.Error with outcome NotRun.
type SendCheck func() *fault.Error

// exchange tracks one request through http.Transport, which may use more than one
// connection for it.
type exchange struct {
	server       *Server
	start        time.Time
	check        SendCheck
	refusal      atomic.Pointer[fault.Error] // error of check
	conn         *conn
	writesBefore uint64 // conn's writes when the request got it
	sent         bool   // an earlier connection may have taken bytes
	trace        httptrace.ClientTrace
}

// runCheck calls check and keeps its error for classify.
func (e *exchange) runCheck() error {
	if refusal := e.check(); refusal != nil {
		e.refusal.Store(refusal)
		return refusal
	}
	return nil
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		e.sent = true
		return
	}
	if e.conn != nil && e.conn.writes() > e.writesBefore {
		e.sent = true
	}
	c.inUse.Store(true)
	if e.check != nil {
		c.check = e.runCheck
	}
	e.conn, e.writesBefore = c, c.writes()
}

func (e *exchange) putIdleConn(err error) {
	if err == nil && e.conn != nil {
		e.conn.inUse.Store(false)
	}
}

// closeConn closes the request's connection and reports whether bytes of the
// request may have been handed to the kernel. None can be after it returns.
func (e *exchange) closeConn() bool {
	if e.conn != nil && e.conn.seal() > e.writesBefore {
		e.sent = true
	}
	return e.sent
}

// RoundTrip sends req under ctx and returns the response with its body unread. req
// must have no GetBody. Errors are *fault.Error; a kind with outcome NotRun means
// that no byte of the request was handed to the kernel. After an error the
// connection is closed. A nil check allows every request.
func (s *Server) RoundTrip(ctx context.Context, req *http.Request, check SendCheck) (*http.Response, error) {
	e := &exchange{server: s, start: time.Now(), check: check}
	e.trace.GotConn = e.gotConn
	e.trace.PutIdleConn = e.putIdleConn
	resp, err := s.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, &e.trace)))
	if err == nil {
		s.observe(detect.Answered, time.Since(e.start))
		return resp, nil
	}
	failure := e.classify(ctx, err)
	s.RecordFailure(failure.Kind, e.start)
	return nil, failure
}

// classify maps err to a fault kind by how far the request got.
func (e *exchange) classify(ctx context.Context, err error) *fault.Error {
	if !e.closeConn() {
		if refusal := e.refusal.Load(); refusal != nil {
			return refusal
		}
		return classifyUnsent(ctx, err)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.Wrap(fault.Timeout, err, "no answer before the deadline")
	}
	if ctx.Err() != nil {
		return fault.Wrap(fault.Canceled, err, "the caller canceled the request")
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fault.Wrap(fault.Timeout, err, "the connection timed out before an answer")
	}
	return fault.Wrap(fault.SendFailed, err, "the connection failed after bytes of the request may have been sent")
}

// classifyUnsent is classify for a request of which no byte was sent.
func classifyUnsent(ctx context.Context, err error) *fault.Error {
	var overloaded *fault.Error
	if errors.As(err, &overloaded) {
		return overloaded
	}
	if ctx.Err() != nil {
		return fault.Wrap(fault.NotSent, err, "the request ended before it was sent")
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return fault.Wrap(fault.Refused, err, "dial")
		}
		return fault.Wrap(fault.DialFailed, err, "dial")
	}
	return fault.Wrap(fault.NotSent, err, "the connection failed before the request was sent")
}

// RecordFailure records the failure of a request that began at start. After a
// timeout it closes every idle connection on which nothing has arrived since the
// request began.
func (s *Server) RecordFailure(kind fault.Kind, start time.Time) {
	took := time.Since(start)
	switch kind {
	case fault.Refused:
		s.observe(detect.Refused, took)
	case fault.DialFailed:
		s.observe(detect.Unreachable, took)
	case fault.Timeout:
		s.observe(detect.Silent, took)
		s.closeUnresponsive(start)
	case fault.SendFailed, fault.AnswerCut, fault.AnswerMismatch:
		s.observe(detect.Broken, took)
	}
}
