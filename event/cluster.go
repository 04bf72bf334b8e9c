package event

import (
	"fmt"
	"strings"
)

// RoleChanged records that this host became the assigner, or no longer is.
type RoleChanged struct {
	Assigner bool   `json:"assigner"`
	Epoch    uint64 `json:"epoch"`
	// SilenceMS is the time since this host last heard from an assigner.
	SilenceMS float64 `json:"silence_ms"`
}

// Text implements Event.
func (e RoleChanged) Text() string {
	if e.Assigner {
		return fmt.Sprintf("became the assigner of epoch %d, after %.0f ms without one", e.Epoch, e.SilenceMS)
	}
	return fmt.Sprintf("is no longer the assigner; newest known epoch %d", e.Epoch)
}

// AssignerFollowed records that this host heard from a new assigner.
type AssignerFollowed struct {
	Assigner string `json:"assigner"`
	Epoch    uint64 `json:"epoch"`
}

// Text implements Event.
func (e AssignerFollowed) Text() string {
	return fmt.Sprintf("follows %s, the assigner of epoch %d", e.Assigner, e.Epoch)
}

// AssignerSilent records the first request that the assigner did not answer after
// one that it did.
type AssignerSilent struct {
	Assigner string `json:"assigner"`
	Epoch    uint64 `json:"epoch"`
	Error    string `json:"error"`
}

// Text implements Event.
func (e AssignerSilent) Text() string {
	return fmt.Sprintf("got no response from %s, the assigner of epoch %d: %s", e.Assigner, e.Epoch, e.Error)
}

// RelayFailed records that another host could not be asked to relay a call to a
// backend server.
type RelayFailed struct {
	Through string `json:"through"`
	Address string `json:"address"` // of the backend server
	Error   string `json:"error"`
}

// Text implements Event.
func (e RelayFailed) Text() string {
	return fmt.Sprintf("could not relay a call through %s to %s: %s", e.Through, e.Address, e.Error)
}

// RelayedCallFailed records that a call which this host relayed for the assigner
// failed at the backend server.
type RelayedCallFailed struct {
	Address string `json:"address"`
	Release bool   `json:"release"`
	Result  string `json:"result"`
	Error   string `json:"error"`
}

// Text implements Event.
func (e RelayedCallFailed) Text() string {
	return fmt.Sprintf("call to %s relayed for the assigner: %s", e.Address, e.Result)
}

// RelayRejected records that this host did not make a call that another host asked it to
// relay, because it could not verify the request.
type RelayRejected struct {
	From    string `json:"from"`
	Epoch   uint64 `json:"epoch"`
	Address string `json:"address"` // of the backend server
	Error   string `json:"error"`
}

// Text implements Event.
func (e RelayRejected) Text() string {
	return fmt.Sprintf("did not relay a call of %s (epoch %d) to %s: %s", e.From, e.Epoch, e.Address, e.Error)
}

// MessageRejected records a message from another host that is invalid.
type MessageRejected struct {
	Error string `json:"error"`
}

// Text implements Event.
func (e MessageRejected) Text() string { return "rejected a message from another host: " + e.Error }

// PanicContained records a panic that was limited to the message that caused it.
type PanicContained struct {
	Message string `json:"message"` // what was handled
	Value   string `json:"value"`   // of the panic
	Stack   string `json:"stack"`
}

// Text implements Event.
func (e PanicContained) Text() string {
	return fmt.Sprintf("an internal error while handling %s: %s", e.Message, e.Value)
}

// ResignBegun records that the assigner resigns because of a planned stop.
type ResignBegun struct {
	Epoch uint64 `json:"epoch"`
}

// Text implements Event.
func (e ResignBegun) Text() string { return "planned stop: another host may become the assigner" }

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

// MapInvalid records that another host sent a map that is invalid.
type MapInvalid struct {
	Epoch uint64 `json:"epoch"`
}

// Text implements Event.
func (e MapInvalid) Text() string { return "received an invalid map from another host" }

// Server is a backend server as listed in the directory.
type Server struct {
	ID        string `json:"server"`
	Born      int64  `json:"born"` // Unix milliseconds
	Service   string `json:"service"`
	Address   string `json:"address"`
	State     string `json:"state"`
	Directory uint64 `json:"directory"` // change number of the directory
}

func (s Server) text(what string) string {
	return fmt.Sprintf("backend server %s of %s at %s %s (%s)", s.ID, s.Service, s.Address, what, s.State)
}

// ServerFound records that a backend server was added to the directory.
type ServerFound Server

// Text implements Event.
func (e ServerFound) Text() string { return Server(e).text("found") }

// ServerRestarted records that a listed server has a later start time.
type ServerRestarted Server

// Text implements Event.
func (e ServerRestarted) Text() string { return Server(e).text("restarted") }

// ServerChanged records that a backend server's state or address changed.
type ServerChanged Server

// Text implements Event.
func (e ServerChanged) Text() string { return Server(e).text("changed") }

// ServerGone records that a backend server is no longer listed.
type ServerGone Server

// Text implements Event.
func (e ServerGone) Text() string { return Server(e).text("gone") }

// LeavingSource tells how it became known that a backend server leaves.
type LeavingSource string

// The sources.
const (
	FromEntry   LeavingSource = "entry"
	FromAnswers LeavingSource = "answers"
	FromRecord  LeavingSource = "record" // an assigner learnt it from answers earlier
)

// ServerLeaving records that a backend server gets no new keys and requests without a
// key from now on, until its process is no longer listed.
type ServerLeaving struct {
	Server string        `json:"server"`
	Born   int64         `json:"born"` // Unix milliseconds
	Source LeavingSource `json:"source"`
	// From is the host that told of the answers; empty for one that does not lead.
	From string `json:"from,omitempty"`
}

// Text implements Event.
func (e ServerLeaving) Text() string {
	if e.Source != FromAnswers {
		return fmt.Sprintf("backend server %s leaves, as the %s says", e.Server, e.Source)
	}
	from := e.From
	if from == "" {
		from = "another host"
	}
	return fmt.Sprintf("backend server %s leaves, as its answers say (told by %s)", e.Server, from)
}

// ServerLeavingEnded records that a leaving backend server is no longer listed, was
// started again, or has an entry that reads ready again.
type ServerLeavingEnded struct {
	Server string `json:"server"`
	Born   int64  `json:"born"` // Unix milliseconds
	Why    string `json:"why"`
}

// Text implements Event.
func (e ServerLeavingEnded) Text() string {
	return fmt.Sprintf("backend server %s no longer leaves: %s", e.Server, e.Why)
}

// ServerFull records, on the assigner, that a backend server gets no more keys for a
// while because it wants no requests from a host.
type ServerFull struct {
	Server string  `json:"server"`
	Born   int64   `json:"born"` // Unix milliseconds
	From   string  `json:"from"` // host that reported it
	ForMS  float64 `json:"for_ms"`
}

// Text implements Event.
func (e ServerFull) Text() string {
	return fmt.Sprintf("backend server %s is full for %.0f ms (told by %s)", e.Server, e.ForMS, e.From)
}

// ServerFullEnded records, on the assigner, that a backend server may get keys again.
type ServerFullEnded struct {
	Server string `json:"server"`
	Born   int64  `json:"born"` // Unix milliseconds
}

// Text implements Event.
func (e ServerFullEnded) Text() string {
	return fmt.Sprintf("backend server %s is no longer full", e.Server)
}

// ServersSuspected records that the assigner asks every host to probe backend servers.
type ServersSuspected struct {
	Servers []string `json:"servers"`
}

// Text implements Event.
func (e ServersSuspected) Text() string {
	return fmt.Sprintf("suspects %v and asks every host to probe them", e.Servers)
}

// SuspectProbed records the result of this host's probe of a suspected server.
type SuspectProbed struct {
	Server  string `json:"server"`
	Address string `json:"address"`
	Refused bool   `json:"refused"`
	Error   string `json:"error,omitempty"`
}

// Text implements Event.
func (e SuspectProbed) Text() string {
	if e.Refused {
		return fmt.Sprintf("no process listens at %s's address %s", e.Server, e.Address)
	}
	if e.Error != "" {
		return fmt.Sprintf("could not determine whether %s listens: %s", e.Server, e.Error)
	}
	return fmt.Sprintf("%s listens", e.Server)
}

// HostCountChanged records a new number of entry hosts that share limits and
// budgets.
type HostCountChanged struct {
	Hosts int `json:"hosts"`
}

// Text implements Event.
func (e HostCountChanged) Text() string {
	return fmt.Sprintf("%d entry hosts share limits and budgets", e.Hosts)
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

// ExpiryDeferred records that entries of backend servers which expired during a store
// outage stay in use for a while, so that the servers can renew them.
type ExpiryDeferred struct {
	ForMS float64 `json:"for_ms"`
}

// Text implements Event.
func (e ExpiryDeferred) Text() string {
	return fmt.Sprintf("keeps expired entries of backend servers for %.0f ms", e.ForMS)
}

// DirectoryGap records that changes of the backend servers were missed and that all
// entries are loaded again.
type DirectoryGap struct {
	Error string `json:"error"`
}

// Text implements Event.
func (e DirectoryGap) Text() string {
	return "missed changes of the backend servers and reloads all entries"
}
