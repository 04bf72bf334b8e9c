package event

import "fmt"

// HostStarted says that an entry host listens.
type HostStarted struct {
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
	Traffic     string `json:"traffic"`
	Peer        string `json:"peer"`
	Metrics     string `json:"metrics"`
}

// Text implements Event.
func (e HostStarted) Text() string { return "started, incarnation " + e.Incarnation }

// StopBegun says that a planned stop began.
type StopBegun struct {
	Active int64 `json:"active"` // requests in hand
}

// Text implements Event.
func (e StopBegun) Text() string {
	return fmt.Sprintf("planned stop begins with %d requests in hand", e.Active)
}

// ConnectionsLeft says that callers' connections were cut at the end of a stop.
type ConnectionsLeft struct {
	Active int64  `json:"active"`
	Error  string `json:"error"`
}

// Text implements Event.
func (e ConnectionsLeft) Text() string {
	return fmt.Sprintf("stopped with %d requests in hand", e.Active)
}

// HostStopped says that the host has ended its work.
type HostStopped struct {
	TookMS float64 `json:"took_ms"`
}

// Text implements Event.
func (e HostStopped) Text() string { return fmt.Sprintf("stopped after %.0f ms", e.TookMS) }

// SettingsReloaded says that settings were read again.
type SettingsReloaded struct {
	Seeds []string `json:"seeds"`
}

// Text implements Event.
func (e SettingsReloaded) Text() string { return "settings reloaded" }

// SettingsRejected says that changed settings cannot be used.
type SettingsRejected struct {
	Error string `json:"error"`
}

// Text implements Event.
func (e SettingsRejected) Text() string { return "changed settings are unusable: " + e.Error }

// ListenerEnded says that one of the host's own servers ended.
type ListenerEnded struct {
	Server string `json:"server"`
	Error  string `json:"error"`
}

// Text implements Event.
func (e ListenerEnded) Text() string { return "stopped to " + e.Server + ": " + e.Error }

// LinesSuppressed says how many lines of one message were beyond its rate in the
// last second.
type LinesSuppressed struct {
	Of      string `json:"of"`
	Lines   int    `json:"lines"`
	Dropped int64  `json:"dropped"` // since the start, as the output was full
}

// Text implements Event.
func (e LinesSuppressed) Text() string {
	return fmt.Sprintf("%d lines of %q were left out in a second; %d lines were dropped since the start", e.Lines, e.Of, e.Dropped)
}
