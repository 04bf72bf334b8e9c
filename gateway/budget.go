package gateway

import "time"

// budgetSlots is the number of slices that a budget's window is counted in.
const budgetSlots = 20

// budgetMargin is the share of the allowed second tries that is used; the rest
// covers hosts that count at different moments.
const budgetMargin = 0.75

// BudgetRule is how many second tries a service may get from all hosts together.
type BudgetRule struct {
	Ratio  float64 // for each request
	Extra  float64 // besides, in each window, shared by all hosts
	Window time.Duration
}

// budget counts a service's requests and second tries at this host in a sliding
// window. The host uses what its own requests allow and its part of the rest.
type budget struct {
	rule  BudgetRule
	slots [budgetSlots]budgetSlot
	last  int64         // number of the newest slice
	told  time.Duration // when it was last told that the budget is spent
}

// budgetState is what a decision on a second try depends on.
type budgetState struct {
	requests int // in the window
	tries    int
	allowed  float64
}

type budgetSlot struct{ requests, tries int }

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

// request counts a request.
func (b *budget) request(now time.Duration) { b.advance(now).requests++ }

// try takes one second try and reports whether it is allowed.
func (b *budget) try(now time.Duration, hosts int) bool {
	slot := b.advance(now)
	if s := b.state(hosts); float64(s.tries+1) > s.allowed {
		return false
	}
	slot.tries++
	return true
}

// state adds the window up. The caller has advanced it.
func (b *budget) state(hosts int) budgetState {
	var out budgetState
	for _, s := range b.slots {
		out.requests += s.requests
		out.tries += s.tries
	}
	out.allowed = budgetMargin * (b.rule.Ratio*float64(out.requests) + b.rule.Extra/float64(max(hosts, 1)))
	return out
}

// tell reports whether it is to be told that the budget is spent: once a window.
func (b *budget) tell(now time.Duration) bool {
	if b.told > 0 && now-b.told < b.rule.Window {
		return false
	}
	b.told = now
	return true
}
