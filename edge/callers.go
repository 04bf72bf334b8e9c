package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/internal/httpdrain"
)

// stopPollInterval is the interval of the decisions of a stop.
const stopPollInterval = 10 * time.Millisecond

// requests are the callers' requests that a host has accepted.
type requests interface {
	// Active returns the number of requests in flight.
	Active() int64
	// LastActive returns now if requests are in flight, else when the last one ended.
	LastActive(now time.Time) time.Time
	// RejectNew has new requests rejected. It reports whether they were accepted before.
	RejectNew() bool
	// CutOff has the requests in flight answered at once.
	CutOff()
	// LogCutOff logs the requests that are in flight.
	LogCutOff()
}

// callerServer serves callers, and stops so that each request that arrives is answered or
// refused.
type callerServer struct {
	server   *httpdrain.Server
	requests requests
	log      func(event.Event)
}

// newCallerServer returns a server of handler that is not started. r are the requests that
// the handler has accepted.
func newCallerServer(handler http.Handler, r requests, log func(event.Event)) *callerServer {
	return &callerServer{server: httpdrain.New(handler), requests: r, log: log}
}

// stopRun is one planned stop of a callerServer.
type stopRun struct {
	*callerServer
	begin      time.Time // of the stop
	plan       stopPlan
	idleClosed bool // idle connections are closed from now on
}

// stop stops the server as planned. begin is the time of the stop signal.
func (s *callerServer) stop(begin time.Time, plan stopPlan) {
	r := &stopRun{callerServer: s, begin: begin, plan: plan}
	s.server.StopKeepAlive()
	t := time.NewTicker(stopPollInterval)
	defer t.Stop()
	for !r.step() {
		<-t.C
	}
	r.drain()
}

// spent returns the time since the stop began.
func (r *stopRun) spent() time.Duration { return time.Since(r.begin) }

// spentMS returns that time in milliseconds.
func (r *stopRun) spentMS() float64 { return event.Millis(r.spent()) }

// step does what the plan says for this moment, and reports whether the stop ends.
func (r *stopRun) step() (ended bool) {
	now := time.Now()
	quiet := min(now.Sub(r.requests.LastActive(now)), now.Sub(r.begin))
	action := r.plan.next(stopState{Spent: now.Sub(r.begin), Quiet: quiet})
	if action.CloseIdle {
		r.closeIdleConnections()
	}
	if action.Refuse {
		r.refuse()
	}
	return action.End
}

// closeIdleConnections closes the connections without a request, and logs the first time.
func (r *stopRun) closeIdleConnections() {
	if !r.idleClosed {
		r.idleClosed = true
		r.log(event.IdleClosed{AfterMS: r.spentMS(), Active: r.requests.Active()})
	}
	r.server.CloseIdle()
}

// refuse has new requests refused, and logs the first time.
func (r *stopRun) refuse() {
	if r.requests.RejectNew() {
		r.log(event.RefusalBegun{AfterMS: r.spentMS(), Active: r.requests.Active()})
	}
}

// drain closes the listener and ends the connections once they have no request. Requests
// that are active at the end of the plan are given up. They have answerTime from then on,
// however late that is.
func (r *stopRun) drain() {
	if r.drainUntil(r.begin.Add(r.plan.end)) == 0 {
		return
	}
	if active := r.requests.Active(); active > 0 {
		r.log(event.RequestsDropped{AfterMS: r.spentMS(), Active: active})
	}
	r.requests.CutOff()
	if left := r.drainUntil(time.Now().Add(answerTime)); left > 0 {
		r.log(event.ConnectionsLeft{Active: r.requests.Active(), Connections: left})
		r.requests.LogCutOff()
	}
	_ = r.server.Close() // the connections that are left belong to no request that can be answered
}

// drainUntil drains the server. It returns the number of connections that are left.
func (r *stopRun) drainUntil(end time.Time) int {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	return r.server.Drain(ctx)
}
