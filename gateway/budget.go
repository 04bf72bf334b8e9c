package gateway

import "time"

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
