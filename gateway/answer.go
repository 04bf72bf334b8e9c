package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/upstream"
)

const (
	// retrySpread is the random part of the time that callers are told to wait,
	// so that they do not return together.
	retrySpread = 0.5
	// textType is the type of this host's own answers.
	textType = "text/plain; charset=utf-8"
)

// answer passes a backend server's answer on.
func (g *Gateway) answer(w http.ResponseWriter, q *request, a *upstream.Response) {
	h := w.Header()
	for name, values := range endToEnd(a.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from adding one
	}
	if a.Length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(a.Length, 10)}
	}
	g.closeIfStopping(h)
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	if a.Rest != nil {
		err = g.answerRest(w, a, err)
	}
	g.noteAnswered(q, a.Status, err)
}

// answerRest passes the rest of a long answer on. An answer that is cut off must
// not look complete, so the caller's connection is broken.
func (g *Gateway) answerRest(w http.ResponseWriter, a *upstream.Response, err error) error {
	defer a.Rest.Close()
	if err == nil {
		_, err = io.Copy(w, a.Rest)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func (g *Gateway) closeIfStopping(h http.Header) {
	if g.stopping.Load() {
		h.Set("Connection", "close")
	}
}

// refuse answers a request that no backend server answered. Q may lack its route.
func (g *Gateway) refuse(w http.ResponseWriter, q *request, err error) {
	status := g.refusalStatus(q, err)
	h := w.Header()
	if q.id != "" {
		h.Set(g.cfg.Headers.RequestID, q.id)
	}
	h.Set("Content-Type", textType)
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfter(err))
	}
	g.closeIfStopping(h)
	g.noteRefused(q, status, err)
	if q.in.Context().Err() != nil {
		panic(http.ErrAbortHandler) // the caller has left
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, string(fault.KindOf(err))+"\n") // the caller may have left
}

// refusalStatus maps an error to a status. A status that promises "not run" is
// given only when no send of the request may have run.
func (g *Gateway) refusalStatus(q *request, err error) int {
	kind := fault.KindOf(err)
	switch kind {
	case fault.Timeout, fault.Canceled:
		return http.StatusGatewayTimeout
	case fault.SendFailed, fault.AnswerCut, fault.AnswerMismatch:
		if q.ctx != nil && q.ctx.Err() != nil {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	if q.mayHaveRun {
		return http.StatusBadGateway
	}
	status := fault.AnswerOf(kind).Status
	if status >= http.StatusInternalServerError {
		return http.StatusServiceUnavailable
	}
	return status
}

// retryAfter returns the seconds that a caller is told to wait.
func retryAfter(err error) string {
	d := retryOther
	var e *fault.Error
	if errors.As(err, &e) && e.RetryAfter > 0 {
		d = e.RetryAfter
	} else if fault.KindOf(err) == fault.NotAccepted {
		d = retryFull
	}
	d += time.Duration(retrySpread * rand.Float64() * float64(d))
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

func (g *Gateway) noteAnswered(q *request, status int, err error) {
	g.Metrics.answered(q, status, time.Since(q.arrived))
	if err != nil {
		g.logger.Info("gateway: caller left during the answer", zap.String("request", q.id), zap.Error(err))
	}
}

func (g *Gateway) noteFailed(q *request, s *server, err error, took time.Duration) {
	g.Metrics.sendFailed(err)
	g.logger.Info("gateway: send failed", zap.String("request", q.id), zap.String("server", s.Holder.ID),
		zap.String("address", s.Address), zap.Int("send", q.sends), zap.Duration("took", took), zap.Error(err))
}

func (g *Gateway) noteRefused(q *request, status int, err error) {
	g.Metrics.refused(q, status, err)
	g.logger.Info("gateway: request not answered", zap.String("request", q.id), zap.Int("status", status),
		zap.String("route", q.routeName()), zap.Int("sends", q.sends), zap.Duration("after", time.Since(q.arrived)), zap.Error(err))
}

func (q *request) routeName() string {
	if q.route == nil {
		return ""
	}
	return q.route.Name
}
