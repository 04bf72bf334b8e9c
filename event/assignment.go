package event

import (
	"fmt"
	"strings"
)

// AssignmentRecorded records the result of appending an assignment record.
type AssignmentRecorded struct {
	Epoch  uint64  `json:"epoch"`
	Change uint64  `json:"change"`
	At     uint64  `json:"at"` // offset at which the partition was expected to end
	Bytes  int     `json:"bytes"`
	TookMS float64 `json:"took_ms"`
	Error  string  `json:"error,omitempty"`
}

// Text implements Event.
func (e AssignmentRecorded) Text() string {
	if e.Error != "" {
		return fmt.Sprintf("record %d.%d was not confirmed by the store: %s", e.Epoch, e.Change, e.Error)
	}
	return fmt.Sprintf("record %d.%d is in the store", e.Epoch, e.Change)
}

// RecordUnreadable records that the store's newest assignment record cannot be
// decoded.
type RecordUnreadable struct {
	Error string `json:"error"`
}

// Text implements Event.
func (e RecordUnreadable) Text() string { return "the assignment record cannot be decoded: " + e.Error }

// RecordUnwritable records that an assignment record could not be encoded.
type RecordUnwritable struct {
	Error string `json:"error"`
}

// Text implements Event.
func (e RecordUnwritable) Text() string { return "an assignment record cannot be encoded: " + e.Error }

// RangeMoved records that a range of keys gets another owner, and the load on it.
type RangeMoved struct {
	Service string `json:"service"`
	From    uint16 `json:"from"`
	To      uint16 `json:"to"`
	Owner   string `json:"owner"`
	Before  string `json:"before"` // previous owner; empty for none
	Fence   uint64 `json:"fence"`
	Why     string `json:"why"`
	// Load is the share of the service's recorded requests that are for these keys.
	// OwnerUse is the new owner's load relative to the mean of all servers.
	Load     float64 `json:"load"`
	OwnerUse float64 `json:"owner_use"`
	Epoch    uint64  `json:"epoch"`
	Change   uint64  `json:"change"`
}

// Text implements Event.
func (e RangeMoved) Text() string {
	before := "nobody"
	if e.Before != "" {
		before = e.Before
	}
	return fmt.Sprintf("keys %d to %d of %s move from %s to %s under token %d (%s; %.1f%% of the load)", e.From, e.To, e.Service, before, e.Owner, e.Fence, e.Why, 100*e.Load)
}

// GrantCall is a grant or release that was sent to a backend server.
type GrantCall struct {
	Server string `json:"server"`
	Fence  uint64 `json:"fence"` // the owner's token; in a release, the next owner's
	From   uint16 `json:"from"`
	To     uint16 `json:"to"`
	Result string `json:"result"`
	Error  string `json:"error,omitempty"`
}

// KeysReleased records the result of a release.
type KeysReleased GrantCall

// Text implements Event.
func (e KeysReleased) Text() string {
	return fmt.Sprintf("release of keys %d to %d at %s under token %d: %s", e.From, e.To, e.Server, e.Fence, e.Result)
}

// GrantFailed records that a grant or its renewal was not accepted.
type GrantFailed GrantCall

// Text implements Event.
func (e GrantFailed) Text() string {
	return fmt.Sprintf("grant of keys %d to %d to %s under token %d: %s", e.From, e.To, e.Server, e.Fence, e.Result)
}

// MapApplied records that this host routes by a newer map.
type MapApplied struct {
	Epoch   uint64 `json:"epoch"`
	Change  uint64 `json:"change"`
	Ranges  int    `json:"ranges"`
	Granted int    `json:"granted"` // ranges whose owner has accepted its grant
}

// Text implements Event.
func (e MapApplied) Text() string {
	return fmt.Sprintf("routes by map %d.%d: %d of %d ranges granted", e.Epoch, e.Change, e.Granted, e.Ranges)
}

// MapInvalid records that another host sent a map that is invalid.
type MapInvalid struct {
	Epoch uint64 `json:"epoch"`
}

// Text implements Event.
func (e MapInvalid) Text() string { return "received an invalid map from another host" }

// AdmissionChanged records for which hot keys hosts admit only a share of the requests
// from now on.
type AdmissionChanged struct {
	Epoch  uint64   `json:"epoch"`
	Change uint64   `json:"change"`
	Keys   []string `json:"keys"`   // service/key
	Lowest float64  `json:"lowest"` // lowest of the shares, 0 to 1
}

// Text implements Event.
func (e AdmissionChanged) Text() string {
	if len(e.Keys) == 0 {
		return "the requests for every key are admitted"
	}
	return fmt.Sprintf("admits a share of the requests for %s, at the least %.1f%%", strings.Join(e.Keys, ", "), 100*e.Lowest)
}
