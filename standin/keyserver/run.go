package keyserver

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/routing"
)

// The values of the Lacewingsaddle-Not-Run header.
const (
	reasonStaleToken = "stale-token"
	reasonNoGrant    = "no-grant"
	reasonOverloaded = "overloaded"
	reasonDraining   = "draining"
	reasonStarting   = "starting"
)

const retryAfterSeconds = "1"

// Run is one request that the server ran. It is in the ledger from its start.
type Run struct {
	Server    string    `json:"server"`
	RequestID string    `json:"request_id"`
	OrderID   string    `json:"order_id"` // the caller's Idempotency-Key
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Key       string    `json:"key"`
	Shard     uint64    `json:"shard"`
	Token     uint64    `json:"token"`
	BodyBytes int       `json:"body_bytes"`
	Start     time.Time `json:"start"`
	End       time.Time `json:"end"`      // zero while it runs, and when its process was killed
	Granted   bool      `json:"granted"`  // it began under a valid grant
	Canceled  bool      `json:"canceled"` // it ended early because its caller had disconnected
	Draining  bool      `json:"draining"` // it began after the server had announced that it drains
}

// Ledger returns a copy of every run so far.
func (s *Server) Ledger() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.ledger...)
}

// Refusals returns how many requests were refused, by reason.
func (s *Server) Refusals() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.refusals))
	for reason, n := range s.refusals {
		out[reason] = n
	}
	return out
}

// attempt is one request that the server handles.
type attempt struct {
	process  *process
	request  *http.Request
	body     []byte
	deadline time.Time // zero means none
}

func (s *Server) serveRequest(p *process, w http.ResponseWriter, r *http.Request) {
	a := &attempt{process: p, request: r, deadline: deadlineOf(r)}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a.body = body
	index, refusal := s.startRun(a)
	if refusal != "" {
		s.refuse(w, r, refusal)
		return
	}
	canceled := s.execute(a)
	if !s.finishRun(a, index, canceled) {
		panic(http.ErrAbortHandler)
	}
	s.writeAnswer(w, a)
}

func deadlineOf(r *http.Request) time.Time {
	ms, err := strconv.ParseInt(r.Header.Get(routing.HeaderDeadlineMS), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}

// startRun waits for a slot and enters the run in the ledger, or returns the
// reason for a refusal.
func (s *Server) startRun(a *attempt) (index int, refusal string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.refusalReason(); reason != "" {
		return 0, reason
	}
	if s.full() && s.waiting >= s.traits.Queue {
		return 0, reasonOverloaded
	}
	s.waiting++
	ready := s.waitForSlot(a)
	s.waiting--
	if !ready {
		return 0, reasonOverloaded
	}
	run := s.newRun(a)
	reason := s.checkGrant(run.Shard, run.Key, run.Token, run.Start)
	run.Granted = reason == ""
	if s.traits.ChecksGrants && !run.Granted {
		return 0, reason
	}
	s.running++
	s.recordHealth()
	s.ledger = append(s.ledger, run)
	return len(s.ledger) - 1, ""
}

// refusalReason returns why the server refuses requests at present; empty when
// it accepts them.
func (s *Server) refusalReason() string {
	switch {
	case s.state() == stateStarting:
		return reasonStarting
	case s.traits.Drain == Draining:
		return reasonDraining
	case s.traits.Shedding:
		return reasonOverloaded
	default:
		return ""
	}
}

func (s *Server) full() bool { return s.traits.Slots > 0 && s.running >= s.traits.Slots }

// waitForSlot waits until a slot is free and the process runs. It reports
// false when the process ended, the caller disconnected or the deadline passed
// first. It is called with mu held, releases it to wait and returns with it held.
func (s *Server) waitForSlot(a *attempt) bool {
	for {
		frozen := a.process.isFrozen()
		if !frozen && a.abandoned(s.traits) {
			return false
		}
		if !frozen && !s.full() {
			return true
		}
		freed := s.slotFreed
		s.mu.Unlock()
		if frozen {
			a.process.waitThawed(nil)
		} else {
			a.waitForFreedSlot(freed)
		}
		s.mu.Lock()
	}
}

// abandoned reports whether the request should no longer start.
func (a *attempt) abandoned(t Traits) bool {
	if a.process.isTerminated() {
		return true
	}
	if !t.IgnoresCancel && a.request.Context().Err() != nil {
		return true
	}
	return !t.IgnoresDeadline && !a.deadline.IsZero() && !time.Now().Before(a.deadline)
}

// waitForFreedSlot waits until freed is closed or the request may be abandoned.
func (a *attempt) waitForFreedSlot(freed <-chan struct{}) {
	ctx := a.request.Context()
	if !a.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, a.deadline)
		defer cancel()
	}
	select {
	case <-freed:
	case <-ctx.Done():
	case <-a.process.ended:
	}
}

func (s *Server) newRun(a *attempt) Run {
	h := a.request.Header
	shard, _ := strconv.ParseUint(h.Get(routing.HeaderShard), 10, 64)
	token, _ := strconv.ParseUint(h.Get(routing.HeaderToken), 10, 64)
	return Run{
		Server:    s.id,
		RequestID: h.Get(routing.HeaderRequestID),
		OrderID:   h.Get("Idempotency-Key"),
		Method:    a.request.Method,
		Path:      a.request.URL.Path,
		Key:       keyOf(a.request.URL.Path, s.traits.KeySegment),
		Shard:     shard,
		Token:     token,
		BodyBytes: len(a.body),
		Start:     time.Now(),
		Draining:  s.traits.Drain != NotDraining,
	}
}

func keyOf(path string, segment int) string {
	parts := strings.Split(strings.Trim(path, "/"), "/")
	if segment < 1 || segment > len(parts) {
		return ""
	}
	return parts[segment-1]
}

// execute waits for the request's service time and reports whether it was
// canceled. A change of the traits applies to running requests as well.
func (s *Server) execute(a *attempt) (canceled bool) {
	start := time.Now()
	for {
		s.mu.Lock()
		remaining := s.serviceTime() - time.Since(start)
		changed, ignoresCancel := s.traitsChanged, s.traits.IgnoresCancel
		s.mu.Unlock()
		done, canceled := a.waitServiceTime(remaining, changed, ignoresCancel)
		a.process.waitThawed(nil)
		if done || canceled {
			return canceled
		}
	}
}

// waitServiceTime waits for the remaining service time, a change of the traits,
// the end of the process or the caller's disconnect.
func (a *attempt) waitServiceTime(remaining time.Duration, changed <-chan struct{}, ignoresCancel bool) (done, canceled bool) {
	disconnected := a.request.Context().Done()
	if ignoresCancel {
		disconnected = nil
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true, false
	case <-disconnected:
		return false, true
	case <-a.process.ended:
		return true, false
	case <-changed:
		return false, false
	}
}

// serviceTime is longer while the server warms up after a start.
func (s *Server) serviceTime() time.Duration {
	d := milliseconds(s.traits.ServiceMS)
	warm := s.started.Add(milliseconds(s.traits.ColdStartMS) + milliseconds(s.traits.WarmUpMS))
	if s.traits.WarmUpFactor > 1 && time.Now().Before(warm) {
		d = time.Duration(float64(d) * s.traits.WarmUpFactor)
	}
	return d
}

// finishRun enters the end of the run and reports whether its process still runs.
func (s *Server) finishRun(a *attempt, index int, canceled bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.recordHealth()
	s.signalSlotFreed()
	if a.process.isTerminated() {
		return false
	}
	s.ledger[index].End = time.Now()
	s.ledger[index].Canceled = canceled
	return true
}

func (s *Server) signalSlotFreed() {
	close(s.slotFreed)
	s.slotFreed = make(chan struct{})
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, reason string) {
	s.echoRequestID(w, r)
	s.mu.Lock()
	s.refusals[reason]++
	s.mu.Unlock()
	status := http.StatusServiceUnavailable
	if reason == reasonStaleToken || reason == reasonNoGrant {
		status = http.StatusConflict
	}
	w.Header().Set(routing.HeaderNotRun, reason)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(status)
}

// echoRequestID copies the request ID to the response, also of a refusal. It
// proves that the response belongs to the request.
func (s *Server) echoRequestID(w http.ResponseWriter, r *http.Request) {
	if s.Traits().EchoID {
		w.Header().Set(routing.HeaderRequestID, r.Header.Get(routing.HeaderRequestID))
	}
}

// writeAnswer repeats the request in the response, so that a caller can detect
// an answer to another request.
func (s *Server) writeAnswer(w http.ResponseWriter, a *attempt) {
	r := a.request
	s.echoRequestID(w, r)
	w.Header().Set(routing.HeaderServer, s.id)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, r.Method+" "+r.URL.Path+" "+r.Header.Get("Idempotency-Key")+" ")
	const echoLimit = 4 << 10
	_, _ = w.Write(a.body[:min(len(a.body), echoLimit)])
}
