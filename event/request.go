package event

import (
	"fmt"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// RequestReceived records that a caller's request was matched to a route.
type RequestReceived struct {
	Request    string  `json:"request"`
	Route      string  `json:"route"`
	Service    string  `json:"service"`
	Keyed      bool    `json:"keyed"`
	Key        uint16  `json:"key"`
	Bytes      int64   `json:"bytes"`       // of the body; -1 when unknown
	Config     uint64  `json:"config"`      // version in force
	DeadlineMS float64 `json:"deadline_ms"` // remaining time until the deadline
}

// Text implements Event.
func (e RequestReceived) Text() string {
	key := ""
	if e.Keyed {
		key = fmt.Sprintf(", key %d", e.Key)
	}
	return fmt.Sprintf("received: route %s to service %s%s, %d bytes, %.0f ms left, by configuration %d",
		e.Route, e.Service, key, e.Bytes, e.DeadlineMS, e.Config)
}

// RequestSent records where a request was sent, and the versions of the map and the
// directory that the choice was based on.
type RequestSent struct {
	Request  string `json:"request"`
	Server   string `json:"server"`
	Address  string `json:"address"`
	Send     int    `json:"send"` // 1 for the first
	Keyed    bool   `json:"keyed"`
	Key      uint16 `json:"key"`
	MapEpoch uint64 `json:"map_epoch"`
	// MapChange is the map's change number within its epoch. MapAgeMS is the time
	// since an assigner last confirmed the map to this host.
	MapChange   uint64  `json:"map_change"`
	MapAgeMS    float64 `json:"map_age_ms"`
	Directory   uint64  `json:"directory"` // change number of the directory of backend servers
	WaitedMS    float64 `json:"waited_ms"` // for an owner and for the concurrency limit
	Outstanding int     `json:"outstanding"`
	Limit       int     `json:"room"` // this host's limit of concurrent requests to the server
}

// Text implements Event.
func (e RequestSent) Text() string {
	by := fmt.Sprintf("directory %d", e.Directory)
	if e.Keyed {
		by = fmt.Sprintf("map %d.%d, confirmed %.0f ms before", e.MapEpoch, e.MapChange, e.MapAgeMS)
	}
	return fmt.Sprintf("send %d to %s at %s by %s, after %.0f ms of waiting; %d of at most %d requests there were active",
		e.Send, e.Server, e.Address, by, e.WaitedMS, e.Outstanding, e.Limit)
}

// SendFailed records a send that ended without a response that could be forwarded.
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

// Retry records that a request is sent again, and the kind of the failure that allows
// it.
type Retry struct {
	Request string     `json:"request"`
	Send    int        `json:"send"` // the one that failed
	Kind    fault.Kind `json:"kind"`
	LeftMS  float64    `json:"left_ms"` // until the deadline
	// WaitedMS is how long it waited for a new owner or for the concurrency limit.
	WaitedMS float64 `json:"waited_ms"`
}

// Text implements Event.
func (e Retry) Text() string {
	return fmt.Sprintf("sent again after %s, %.0f ms later, with %.0f ms left", e.Kind, e.WaitedMS, e.LeftMS)
}

// Reason is the reason why a request is not sent again.
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
	ReasonFull         Reason = "its key's owner is full and asked for a pause"
	ReasonNotRetryable Reason = "errors of this kind are final"
)

// RetryDenied records why a request is not sent again.
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

// RequestAnswered records that a backend server's response was forwarded.
type RequestAnswered struct {
	Request string  `json:"request"`
	Route   string  `json:"route"`
	Service string  `json:"service"`
	Server  string  `json:"server"`
	Status  int     `json:"status"`
	Sends   int     `json:"sends"`
	TookMS  float64 `json:"took_ms"`
	// TargetMS is the route's latency target; 0 for none.
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

// RequestRefused records that this host responded itself, without a backend server's
// response.
type RequestRefused struct {
	Request string        `json:"request"`
	Route   string        `json:"route"`
	Service string        `json:"service"`
	Server  string        `json:"server,omitempty"` // full owner of the key, if it was refused for that
	Keyed   bool          `json:"keyed"`
	Key     uint16        `json:"key"`
	Status  int           `json:"status"`
	Outcome fault.Outcome `json:"outcome"` // not-run or unknown
	Kind    fault.Kind    `json:"kind"`
	Sends   int           `json:"sends"`
	AfterMS float64       `json:"after_ms"`
	// RetryMS is the delay after which the caller is told to retry; 0 for none.
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
		retry = fmt.Sprintf("; told to retry after %.0f ms", e.RetryMS)
	}
	return fmt.Sprintf("refused with %d after %.0f ms and %d sends, outcome %s: %s%s", e.Status, e.AfterMS, e.Sends, e.Outcome, e.Error, retry)
}

// CallerLeft records that the caller cancelled the request before it was answered.
type CallerLeft struct {
	Request string  `json:"request"`
	Route   string  `json:"route"`
	Sends   int     `json:"sends"`
	AfterMS float64 `json:"after_ms"`
	Error   string  `json:"error,omitempty"`
}

// Text implements Event.
func (e CallerLeft) Text() string {
	return fmt.Sprintf("cancelled by its caller after %.0f ms and %d sends", e.AfterMS, e.Sends)
}

// AnswerBroken records that a streamed response ended early, at this host or at the
// backend server. The caller's connection was closed so that the response does not
// look complete.
type AnswerBroken struct {
	Request string  `json:"request"`
	Server  string  `json:"server"`
	Bytes   int64   `json:"bytes"` // forwarded
	AfterMS float64 `json:"after_ms"`
	Error   string  `json:"error"`
}

// Text implements Event.
func (e AnswerBroken) Text() string {
	return fmt.Sprintf("response of %s interrupted after %d bytes and %.0f ms: %s", e.Server, e.Bytes, e.AfterMS, e.Error)
}

// RequestCutOff records that the process ended while a request was active: its caller
// gets neither an answer nor a refusal.
type RequestCutOff struct {
	Request string  `json:"request"`
	AfterMS float64 `json:"after_ms"` // since its arrival
}

// Text implements Event.
func (e RequestCutOff) Text() string {
	return fmt.Sprintf("cut off without an answer after %.0f ms: the process ended", e.AfterMS)
}

// RetryBudgetExhausted records that the retries of a service have used up this host's
// budget. It is written once per window of the budget.
type RetryBudgetExhausted struct {
	Service  string  `json:"service"`
	Requests int     `json:"requests"` // in the window
	Tries    int     `json:"tries"`
	Allowed  float64 `json:"allowed"`
	Hosts    int     `json:"hosts"` // entry hosts that share the budget
}

// Text implements Event.
func (e RetryBudgetExhausted) Text() string {
	return fmt.Sprintf("retry budget of %s exhausted: %d of %.1f retries after %d requests, shared by %d hosts", e.Service, e.Tries, e.Allowed, e.Requests, e.Hosts)
}
