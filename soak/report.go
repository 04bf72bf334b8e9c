package soak

import (
	"fmt"
	"time"
)

// Report is the outcome of a run.
type Report struct {
	Seed       uint64        `json:"seed"`
	ReadyAfter time.Duration `json:"ready_after_ns"` // from the start until every host served
	Took       time.Duration `json:"took_ns"`
	Requests   int           `json:"requests"` // sent by callers
	Served     int           `json:"served"`   // answered with status 200
	// Lookups are the requests that may run more than once, Orders the others.
	Lookups Outcomes `json:"lookups"`
	Orders  Outcomes `json:"orders"`
	Faults  []string `json:"faults"` // faults and new configurations, in order
	// Crossed lists requests whose connection a host closed within lossSlack, without
	// having passed them on: their bytes crossed the close.
	Crossed    []string    `json:"crossed"`
	Violations []Violation `json:"violations"`
}

// Outcomes counts requests by what their callers learnt.
type Outcomes struct {
	Served   int `json:"served"`   // answered with status 200
	Rejected int `json:"rejected"` // answered that they did not run and never will
	Unknown  int `json:"unknown"`  // no answer, or one that leaves open whether they ran
}

// outcome is what a caller learnt of one request.
type outcome uint8

const (
	unknown outcome = iota
	served
	rejected
)

func (o *Outcomes) count(result outcome) {
	switch result {
	case served:
		o.Served++
	case rejected:
		o.Rejected++
	default:
		o.Unknown++
	}
}

// Violation is a guarantee that did not hold.
type Violation struct {
	Rule   string        `json:"rule"`
	Detail string        `json:"detail"`
	At     time.Duration `json:"at_ns"` // since the start of the run
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3f s  %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// Guarantee is what a run checks, with the rule by which violations name it.
type Guarantee struct {
	Rule string
	Text string
}

// Guarantees lists what a run checks.
var Guarantees = []Guarantee{
	{ruleOwner, "each key has one owner at a time"},
	{ruleTwice, "an order runs at most once"},
	{ruleRefused, "an order that was rejected has not run"},
	{ruleUnrun, "a request that was answered has run"},
	{ruleUnasked, "nothing runs that no caller sent"},
	{ruleMixed, "an answer is whole and belongs to its request"},
	{ruleLost, "a planned stop cuts no request off"},
	{ruleDrain, "a server that leaves gets no new requests"},
	{ruleBudget, "a full server is left alone as long as it asks"},
	{ruleConfig, "a configuration takes effect and stays in effect"},
	{ruleDenied, "no well-formed request is denied"},
	{ruleRecover, "every host serves every key after the last fault"},
	{ruleExit, "no host ends by itself"},
	{ruleSoak, "the run itself can be carried out"},
}

// Rules of violations.
const (
	ruleOwner   = "OWNER"
	ruleTwice   = "TWICE"
	ruleRefused = "REFUSED"
	ruleUnrun   = "UNRUN"
	ruleUnasked = "UNASKED"
	ruleMixed   = "MIXED"
	ruleLost    = "LOST"
	ruleDrain   = "DRAIN"
	ruleBudget  = "BUDGET"
	ruleConfig  = "CONFIG"
	ruleDenied  = "DENIED"
	ruleRecover = "RECOVER"
	ruleExit    = "EXIT"
	ruleSoak    = "SOAK"
)

// Count returns the number of violations of a rule.
func (r *Report) Count(rule string) int {
	n := 0
	for _, v := range r.Violations {
		if v.Rule == rule {
			n++
		}
	}
	return n
}
