package event

import "fmt"

// HostStarted records that an entry host has started and listens.
type HostStarted struct {
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
	Traffic     string `json:"traffic"`
	Peer        string `json:"peer"`
	Metrics     string `json:"metrics"`
}

// Text implements Event.
func (e HostStarted) Text() string { return "started, incarnation " + e.Incarnation }

// StopBegun records that a planned stop began.
type StopBegun struct {
	Active int64 `json:"active"` // active requests
}

// Text implements Event.
func (e StopBegun) Text() string {
	return fmt.Sprintf("planned stop begins with %d active requests", e.Active)
}

// RefusalBegun records that a stopping host refuses new requests from now on.
type RefusalBegun struct {
	AfterMS float64 `json:"after_ms"` // since the stop signal
	Active  int64   `json:"active"`   // active requests, which are completed
}

// Text implements Event.
func (e RefusalBegun) Text() string {
	return fmt.Sprintf("new requests are refused, %.0f ms after the stop signal; %d are active", e.AfterMS, e.Active)
}

// IdleClosed records that a stopping host begins to close callers' connections without
// a request.
type IdleClosed struct {
	AfterMS float64 `json:"after_ms"` // since the stop signal
	Active  int64   `json:"active"`
}

// Text implements Event.
func (e IdleClosed) Text() string {
	return fmt.Sprintf("idle connections of callers are closed, %.0f ms after the stop signal; %d requests are active", e.AfterMS, e.Active)
}

// RequestsDropped records that a stopping host has reached the end of its grace period
// with active requests, which it answers with what is known of them.
type RequestsDropped struct {
	AfterMS float64 `json:"after_ms"` // since the stop signal
	Active  int64   `json:"active"`
}

// Text implements Event.
func (e RequestsDropped) Text() string {
	return fmt.Sprintf("the grace period ends, %.0f ms after the stop signal; %d requests are given up", e.AfterMS, e.Active)
}

// ConnectionsLeft records that callers' connections were still open at the end of a
// stop.
type ConnectionsLeft struct {
	Active      int64 `json:"active"`
	Connections int   `json:"connections"`
}

// Text implements Event.
func (e ConnectionsLeft) Text() string {
	return fmt.Sprintf("stopped with %d active requests and %d open connections", e.Active, e.Connections)
}

// HostStopped records that the host has stopped.
type HostStopped struct {
	TookMS float64 `json:"took_ms"`
}

// Text implements Event.
func (e HostStopped) Text() string { return fmt.Sprintf("stopped after %.0f ms", e.TookMS) }

// SettingsReloaded records that the settings were reloaded.
type SettingsReloaded struct {
	Seeds []string `json:"seeds"`
}

// Text implements Event.
func (e SettingsReloaded) Text() string { return "settings reloaded" }

// SettingsRejected records that changed settings are invalid; the previous ones stay
// in force.
type SettingsRejected struct {
	Error string `json:"error"`
}

// Text implements Event.
func (e SettingsRejected) Text() string { return "changed settings are invalid: " + e.Error }

// ListenerEnded records that one of the host's own servers ended unexpectedly.
type ListenerEnded struct {
	Server string `json:"server"`
	Error  string `json:"error"`
}

// Text implements Event.
func (e ListenerEnded) Text() string { return "can no longer " + e.Server + ": " + e.Error }

// LinesSuppressed records how many lines of one message exceeded its rate limit in
// the last second.
type LinesSuppressed struct {
	Of      string `json:"of"`
	Lines   int    `json:"lines"`
	Dropped int64  `json:"dropped"` // since the start, because the output was blocked
}

// Text implements Event.
func (e LinesSuppressed) Text() string {
	return fmt.Sprintf("%d lines of %q were suppressed in a second; %d lines were dropped since the start", e.Lines, e.Of, e.Dropped)
}
