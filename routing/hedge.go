package routing

import (
	"context"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

// attemptHedged makes one attempt and, for lookups whose rule allows hedging, a
// second one when the first has taken longer than the hedgeQuantile of latencies. The first
// answer is used; the other attempt is canceled.
func (r *Router) attemptHedged(ctx context.Context, q *request) (*reply, error) {
	if q.rule.Kind != profile.Lookup || !q.rule.Hedge {
		return r.attempt(ctx, q)
	}
	start := time.Now()
	h := &hedge{router: r, q: q, results: make(chan hedgeResult, 2)}
	h.start(ctx)
	a, err := h.wait(ctx, q.target.latency.estimate())
	if err == nil {
		q.target.latency.add(time.Since(start))
	}
	return a, err
}

// hedge runs up to two attempts of one lookup.
type hedge struct {
	router  *Router
	q       *request
	results chan hedgeResult
	cancels []context.CancelFunc
}

// hedgeResult is the result of attempt n.
type hedgeResult struct {
	n     int
	reply *reply
	err   error
}

// start makes another attempt in the background.
func (h *hedge) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	n := len(h.cancels)
	h.cancels = append(h.cancels, cancel)
	go func() {
		a, err := h.router.attempt(ctx, h.q)
		h.results <- hedgeResult{n: n, reply: a, err: err}
	}()
}

// wait returns the first answer, or an error when every attempt failed.
func (h *hedge) wait(ctx context.Context, after time.Duration) (*reply, error) {
	timer := time.NewTimer(after)
	defer timer.Stop()
	var failed attemptErrors
	for pending := 1; ; {
		select {
		case <-timer.C:
			if h.q.target.budget.withdraw(false) {
				h.start(ctx)
				pending++
			}
		case result := <-h.results:
			pending--
			if result.err == nil {
				h.cancelOthers(result, pending)
				return result.reply, nil
			}
			err := failed.add(result.err)
			if pending == 0 {
				h.cancelOthers(result, 0)
				return nil, err
			}
		}
	}
}

// cancelOthers cancels the other attempts and closes a late answer of theirs in
// the background. The winner's context is canceled once its reply is finished.
func (h *hedge) cancelOthers(winner hedgeResult, pending int) {
	for n, cancel := range h.cancels {
		if n != winner.n || winner.reply == nil || winner.reply.buffered() {
			cancel()
		}
	}
	if winner.reply != nil && !winner.reply.buffered() {
		done := winner.reply.done
		winner.reply.done = func() {
			done()
			h.cancels[winner.n]()
		}
	}
	if pending == 0 {
		return
	}
	go func() {
		if late := <-h.results; late.reply != nil {
			late.reply.finish()
		}
	}()
}
