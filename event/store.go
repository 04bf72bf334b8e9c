package event

import "fmt"

// StoreCall is a call to the store that failed.
type StoreCall struct {
	Call  string `json:"call"`
	Error string `json:"error"`
}

// StoreCallFailed records that a call to the store failed.
type StoreCallFailed StoreCall

// Text implements Event.
func (e StoreCallFailed) Text() string { return "the store did not " + e.Call + ": " + e.Error }

// StoreLost records that calls to the store have started to fail.
type StoreLost StoreCall

// Text implements Event.
func (e StoreLost) Text() string { return "the store is unavailable: " + e.Error }

// StoreRegained records that calls to the store succeed again.
type StoreRegained struct {
	AfterMS float64 `json:"after_ms"`
	Failed  int     `json:"failed"` // calls that failed in between
}

// Text implements Event.
func (e StoreRegained) Text() string {
	return fmt.Sprintf("the store is available again after %.0f ms and %d failed calls", e.AfterMS, e.Failed)
}

// ConfigInForce records that requests are routed by a newer configuration.
type ConfigInForce struct {
	Version uint64 `json:"version"`
	Before  uint64 `json:"before"`
	Routes  int    `json:"routes"`
}

// Text implements Event.
func (e ConfigInForce) Text() string {
	return fmt.Sprintf("configuration %d in force, after %d", e.Version, e.Before)
}

// ConfigUnusable records that a new configuration is invalid.
type ConfigUnusable struct {
	Error string `json:"error"`
}

// Text implements Event.
func (e ConfigUnusable) Text() string { return "configuration unusable: " + e.Error }
