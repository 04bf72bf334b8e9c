package event

import (
	"fmt"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// RequestReceived says that a caller's request was matched to its route.
type RequestReceived struct {
	Request    string  `json:"request"`
	Route      string  `json:"route"`
	Service    string  `json:"service"`
	Keyed      bool    `json:"keyed"`
	Key        uint16  `json:"key"`
	Bytes      int64   `json:"bytes"`       // of the body; -1 when unknown
	Config     uint64  `json:"config"`      // version in force
	DeadlineMS float64 `json:"deadline_ms"` // from now
}

// Text implements Event.
func (e RequestReceived) Text() string {
	key := ""
	if e.Keyed {
		key = fmt.Sprintf(", key %d", e.Key)
	}
	return fmt.Sprintf("taken: route %s to service %s%s, %d bytes, %.0f ms left, by configuration %d",
		e.Route, e.Service, key, e.Bytes, e.DeadlineMS, e.Config)
}

// RequestSent says where a request was sent and by what knowledge.
type RequestSent struct {
	Request  string `json:"request"`
	Server   string `json:"server"`
	Address  string `json:"address"`
	Send     int    `json:"send"` // 1 for the first
	Keyed    bool   `json:"keyed"`
	Key      uint16 `json:"key"`
	MapEpoch uint64 `json:"map_epoch"`
	// MapChange is the change of the epoch that the map is from, MapAgeMS the time
	// since an assigner last confirmed it to this host.
	MapChange   uint64  `json:"map_change"`
	MapAgeMS    float64 `json:"map_age_ms"`
	Directory   uint64  `json:"directory"` // change of the list of backend servers
	WaitedMS    float64 `json:"waited_ms"` // for an owner and for room
	Outstanding int     `json:"outstanding"`
	Limit       int     `json:"room"` // requests that this host keeps there at most
}

// Text implements Event.
func (e RequestSent) Text() string {
	by := fmt.Sprintf("directory %d", e.Directory)
	if e.Keyed {
		by = fmt.Sprintf("map %d.%d, confirmed %.0f ms before", e.MapEpoch, e.MapChange, e.MapAgeMS)
	}
	return fmt.Sprintf("send %d to %s at %s by %s, after %.0f ms of waiting; %d of %d places there were in use",
		e.Send, e.Server, e.Address, by, e.WaitedMS, e.Outstanding, e.Limit)
}

// SendFailed says how a send ended without an answer that could be passed on.
type SendFailed struct {
	Request    string     `json:"request"`
	Server     string     `json:"server"`
	Address    string     `json:"address"`
	Send       int        `json:"send"`
	TookMS     float64    `json:"took_ms"`
	Kind       fault.Kind `json:"kind"`
	MayHaveRun bool       `json:"may_have_run"`
	Keyed      bool       `json:"keyed"`
	Key        uint16     `json:"key"`
	MapEpoch   uint64     `json:"map_epoch"`
	MapChange  uint64     `json:"map_change"`
	MapAgeMS   float64    `json:"map_age_ms"`
	Error      string     `json:"error"`
}

// Text implements Event.
func (e SendFailed) Text() string {
	run := "it did not run there"
	if e.MayHaveRun {
		run = "it may have run there"
	}
	by := ""
	if e.Keyed {
		by = fmt.Sprintf(", by map %d.%d", e.MapEpoch, e.MapChange)
	}
	return fmt.Sprintf("send %d to %s at %s%s failed after %.0f ms: %s; %s", e.Send, e.Server, e.Address, by, e.TookMS, e.Error, run)
}

// Retry says that a request is sent again, and why it may be.
type Retry struct {
	Request string     `json:"request"`
	Send    int        `json:"send"` // the one that failed
	Kind    fault.Kind `json:"kind"`
	LeftMS  float64    `json:"left_ms"` // until the deadline
	// WaitedMS is how long it waited for news of its owner, or for room.
	WaitedMS float64 `json:"waited_ms"`
}

// Text implements Event.
func (e Retry) Text() string {
	return fmt.Sprintf("sent again after %s, %.0f ms later, with %.0f ms left", e.Kind, e.WaitedMS, e.LeftMS)
}

// Reason says why a request is not sent again.
type Reason string

// The reasons.
const (
	ReasonEnded        Reason = "the request has ended"
	ReasonStreamed     Reason = "part of its body was streamed"
	ReasonMaxSends     Reason = "it was sent as often as allowed"
	ReasonMayHaveRun   Reason = "it may have run and is not idempotent"
	ReasonBudget       Reason = "the budget of second tries is spent"
	ReasonNoNewOwner   Reason = "its key got no other owner in time"
	ReasonNoTime       Reason = "too little time is left"
	ReasonNotRetryable Reason = "errors of this kind are final"
)

// RetryDenied says why a request is not sent again.
type RetryDenied struct {
	Request string     `json:"request"`
	Send    int        `json:"send"`
	Kind    fault.Kind `json:"kind"`
	Reason  Reason     `json:"reason"`
	LeftMS  float64    `json:"left_ms"`
}

// Text implements Event.
func (e RetryDenied) Text() string {
	return fmt.Sprintf("not sent again after %s: %s (%.0f ms left)", e.Kind, e.Reason, e.LeftMS)
}

// RequestAnswered says that a backend server's answer was passed on.
type RequestAnswered struct {
	Request string  `json:"request"`
	Route   string  `json:"route"`
	Service string  `json:"service"`
	Server  string  `json:"server"`
	Status  int     `json:"status"`
	Sends   int     `json:"sends"`
	TookMS  float64 `json:"took_ms"`
	// TargetMS is the latency target, 0 for none.
	TargetMS float64 `json:"target_ms"`
}

// Text implements Event.
func (e RequestAnswered) Text() string {
	late := ""
	if e.TargetMS > 0 && e.TookMS > e.TargetMS {
		late = fmt.Sprintf(", %.0f ms late", e.TookMS-e.TargetMS)
	}
	return fmt.Sprintf("answered with %s's status %d after %.0f ms%s", e.Server, e.Status, e.TookMS, late)
}

// RequestRefused says that this host gave an answer of its own.
type RequestRefused struct {
	Request string        `json:"request"`
	Route   string        `json:"route"`
	Service string        `json:"service"`
	Keyed   bool          `json:"keyed"`
	Key     uint16        `json:"key"`
	Status  int           `json:"status"`
	Outcome fault.Outcome `json:"outcome"` // not-run or unknown
	Kind    fault.Kind    `json:"kind"`
	Sends   int           `json:"sends"`
	AfterMS float64       `json:"after_ms"`
	// RetryMS is the time that the caller is told to wait, 0 for none.
	RetryMS   float64 `json:"retry_ms"`
	Config    uint64  `json:"config"`
	MapEpoch  uint64  `json:"map_epoch"`
	MapChange uint64  `json:"map_change"`
	MapAgeMS  float64 `json:"map_age_ms"`
	Error     string  `json:"error"`
}

// Text implements Event.
func (e RequestRefused) Text() string {
	retry := ""
	if e.RetryMS > 0 {
		retry = fmt.Sprintf("; told to come back in %.0f ms", e.RetryMS)
	}
	return fmt.Sprintf("refused with %d after %.0f ms and %d sends, outcome %s: %s%s", e.Status, e.AfterMS, e.Sends, e.Outcome, e.Error, retry)
}

// CallerLeft says that the caller ended the request before its answer.
type CallerLeft struct {
	Request string  `json:"request"`
	Route   string  `json:"route"`
	Sends   int     `json:"sends"`
	AfterMS float64 `json:"after_ms"`
	Error   string  `json:"error,omitempty"`
}

// Text implements Event.
func (e CallerLeft) Text() string {
	return fmt.Sprintf("given up by its caller after %.0f ms and %d sends", e.AfterMS, e.Sends)
}

// AnswerBroken says that a long answer ended early, here or at the backend server;
// the caller's connection was broken, so that it does not look complete.
type AnswerBroken struct {
	Request string  `json:"request"`
	Server  string  `json:"server"`
	Bytes   int64   `json:"bytes"` // passed on
	AfterMS float64 `json:"after_ms"`
	Error   string  `json:"error"`
}

// Text implements Event.
func (e AnswerBroken) Text() string {
	return fmt.Sprintf("answer of %s broken off after %d bytes and %.0f ms: %s", e.Server, e.Bytes, e.AfterMS, e.Error)
}

// RetryBudgetExhausted says that a service's second tries have used up the budget of this
// host. It is written once in each window of the budget.
type RetryBudgetExhausted struct {
	Service  string  `json:"service"`
	Requests int     `json:"requests"` // in the window
	Tries    int     `json:"tries"`
	Allowed  float64 `json:"allowed"`
	Hosts    int     `json:"hosts"` // that share the budget
}

// Text implements Event.
func (e RetryBudgetExhausted) Text() string {
	return fmt.Sprintf("budget of second tries of %s spent: %d of %.1f after %d requests, shared by %d hosts", e.Service, e.Tries, e.Allowed, e.Requests, e.Hosts)
}
