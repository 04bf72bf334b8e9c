package gateway

import "time"

// budgetSlots is the number of slices that a budget's window is counted in.
const budgetSlots = 20

// budgetUsableShare is the share of the allowed second tries that is used; the rest
// covers hosts that count at different moments.
const budgetUsableShare = 0.75

// BudgetRule is how many second tries a service may get from all hosts together.
type BudgetRule struct {
	Ratio  float64 // for each request
	Extra  float64 // besides, in each window, shared by all hosts
	Window time.Duration
}

// budget counts a service's requests and second tries at this host in a sliding
// window. The host uses what its own requests allow and its part of the rest.
type budget struct {
	rule       BudgetRule
	slots      [budgetSlots]budgetSlot
	last       int64         // number of the newest slice
	lastReport time.Duration // when it was last told that the budget is spent
}

// budgetState is what a decision on a second try depends on.
type budgetState struct {
	requests int // in the window
	retries  int
	allowed  float64
}

type budgetSlot struct{ requests, retries int }

func newBudget(rule BudgetRule) *budget { return &budget{rule: rule} }

// advance clears the slices that the window has left behind.
func (b *budget) advance(now time.Duration) *budgetSlot {
	n := int64(now / (b.rule.Window / budgetSlots))
	for b.last < n {
		b.last = max(b.last+1, n-budgetSlots+1)
		b.slots[b.last%budgetSlots] = budgetSlot{}
	}
	return &b.slots[b.last%budgetSlots]
}

// countRequest counts a countRequest.
func (b *budget) countRequest(now time.Duration) { b.advance(now).requests++ }

// takeRetry takes one second takeRetry and reports whether it is allowed.
func (b *budget) takeRetry(now time.Duration, hosts int) bool {
	slot := b.advance(now)
	if s := b.state(hosts); float64(s.retries+1) > s.allowed {
		return false
	}
	slot.retries++
	return true
}

// state adds the window up. The caller has advanced it.
func (b *budget) state(hosts int) budgetState {
	var out budgetState
	for _, s := range b.slots {
		out.requests += s.requests
		out.retries += s.retries
	}
	out.allowed = budgetUsableShare * (b.rule.Ratio*float64(out.requests) + b.rule.Extra/float64(max(hosts, 1)))
	return out
}

// shouldReport reports whether it is to be told that the budget is spent: once a window.
func (b *budget) shouldReport(now time.Duration) bool {
	if b.lastReport > 0 && now-b.lastReport < b.rule.Window {
		return false
	}
	b.lastReport = now
	return true
}
