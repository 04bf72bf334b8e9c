package gateway

import (
	"sort"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/event"
)

// budgetSlots is the number of slots that a budget's window is divided into.
const budgetSlots = 20

// budgetUsableShare is the share of the allowed retries that a host uses. The rest
// is a margin for hosts that count at different moments.
const budgetUsableShare = 0.75

// BudgetRule limits the retries to one service by all hosts together.
type BudgetRule struct {
	Ratio  float64 // retries per request
	Extra  float64 // additional retries per window, divided among all hosts
	Window time.Duration
}

// budget counts a service's requests and retries at this host in a sliding window.
// The host may use what its own requests allow plus its share of BudgetRule.Extra.
type budget struct {
	rule       BudgetRule
	slots      [budgetSlots]budgetSlot
	last       int64         // number of the newest slot
	lastReport time.Duration // when it was last logged that the budget is spent
}

// budgetState holds the totals that a decision on a retry depends on.
type budgetState struct {
	requests int // in the window
	retries  int
	allowed  float64
}

// budgetSlot counts the requests and retries in one slot of the window.
type budgetSlot struct{ requests, retries int }

func newBudget(rule BudgetRule) *budget { return &budget{rule: rule} }

// advance clears the slots that have left the window and returns the current one.
func (b *budget) advance(now time.Duration) *budgetSlot {
	n := int64(now / (b.rule.Window / budgetSlots))
	for b.last < n {
		b.last = max(b.last+1, n-budgetSlots+1)
		b.slots[b.last%budgetSlots] = budgetSlot{}
	}
	return &b.slots[b.last%budgetSlots]
}

func (b *budget) countRequest(now time.Duration) { b.advance(now).requests++ }

// takeRetry takes one retry from the budget and reports whether it is allowed.
func (b *budget) takeRetry(now time.Duration, hosts int) bool {
	slot := b.advance(now)
	if s := b.state(hosts); float64(s.retries+1) > s.allowed {
		return false
	}
	slot.retries++
	return true
}

// state sums up the window. advance must have been called before.
func (b *budget) state(hosts int) budgetState {
	var out budgetState
	for _, s := range b.slots {
		out.requests += s.requests
		out.retries += s.retries
	}
	out.allowed = budgetUsableShare * (b.rule.Ratio*float64(out.requests) + b.rule.Extra/float64(max(hosts, 1)))
	return out
}

// shouldReport reports whether to log that the budget is spent: once per window.
func (b *budget) shouldReport(now time.Duration) bool {
	if b.lastReport > 0 && now-b.lastReport < b.rule.Window {
		return false
	}
	b.lastReport = now
	return true
}

// countRequest counts a request to a service.
func (g *Gateway) countRequest(service string) {
	g.mu.Lock()
	g.budget(service).countRequest(time.Since(g.started))
	g.mu.Unlock()
}

// budgetAllowsRetry takes a retry from the budget of a service and reports whether
// it was allowed.
func (g *Gateway) budgetAllowsRetry(service string) bool {
	hosts := g.control.View().Hosts
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budget(service)
	now := time.Since(g.started)
	if b.takeRetry(now, hosts) {
		return true
	}
	if b.shouldReport(now) {
		s := b.state(hosts)
		g.writeEvent(event.RetryBudgetExhausted{Service: service, Requests: s.requests, Tries: s.retries, Allowed: s.allowed, Hosts: hosts})
	}
	return false
}

// BudgetLeft is the number of retries left in a service's budget at this host.
type BudgetLeft struct {
	Service string
	Left    int64
}

// Budgets returns what is left of each budget, sorted by service.
func (g *Gateway) Budgets() []BudgetLeft {
	hosts := g.control.View().Hosts
	now := time.Since(g.started)
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]BudgetLeft, 0, len(g.budgets))
	for service, b := range g.budgets {
		b.advance(now)
		s := b.state(hosts)
		out = append(out, BudgetLeft{Service: service, Left: int64(s.allowed) - int64(s.retries)})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

// budget returns the budget of a service. g.mu must be held.
func (g *Gateway) budget(service string) *budget {
	b := g.budgets[service]
	if b == nil {
		b = newBudget(g.cfg.Budget)
		g.budgets[service] = b
	}
	return b
}
