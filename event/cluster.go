package event

import "fmt"

// RoleChanged says that this host became the assigner, or is it no longer.
type RoleChanged struct {
	Assigner bool   `json:"assigner"`
	Epoch    uint64 `json:"epoch"`
	// SilenceMS is how long no assigner was heard before.
	SilenceMS float64 `json:"silence_ms"`
}

// Text implements Event.
func (e RoleChanged) Text() string {
	if e.Assigner {
		return fmt.Sprintf("became the assigner of epoch %d, after %.0f ms without one", e.Epoch, e.SilenceMS)
	}
	return fmt.Sprintf("is not the assigner any more; newest known epoch %d", e.Epoch)
}

// AssignerFollowed says that this host heard a new assigner.
type AssignerFollowed struct {
	Assigner string `json:"assigner"`
	Epoch    uint64 `json:"epoch"`
}

// Text implements Event.
func (e AssignerFollowed) Text() string {
	return fmt.Sprintf("follows %s, the assigner of epoch %d", e.Assigner, e.Epoch)
}

// AssignerSilent says that the assigner did not answer a question, after one that
// it answered.
type AssignerSilent struct {
	Assigner string `json:"assigner"`
	Epoch    uint64 `json:"epoch"`
	Error    string `json:"error"`
}

// Text implements Event.
func (e AssignerSilent) Text() string {
	return fmt.Sprintf("got no answer of %s, the assigner of epoch %d: %s", e.Assigner, e.Epoch, e.Error)
}

// RelayFailed says that another host could not be asked to call a backend server.
type RelayFailed struct {
	Through string `json:"through"`
	Address string `json:"address"` // of the backend server
	Error   string `json:"error"`
}

// Text implements Event.
func (e RelayFailed) Text() string {
	return fmt.Sprintf("could not ask %s to call %s: %s", e.Through, e.Address, e.Error)
}

// RelayedCallFailed says that a backend server did not take a call which this host
// made for the assigner.
type RelayedCallFailed struct {
	Address string `json:"address"`
	Release bool   `json:"release"`
	Result  string `json:"result"`
	Error   string `json:"error"`
}

// Text implements Event.
func (e RelayedCallFailed) Text() string {
	return fmt.Sprintf("call to %s for the assigner: %s", e.Address, e.Result)
}

// ResignBegun says that a planned stop hands the epoch on.
type ResignBegun struct {
	Epoch uint64 `json:"epoch"`
}

// Text implements Event.
func (e ResignBegun) Text() string { return "planned stop: another host may become the assigner" }

// AssignmentRecorded says how the append of an assignment record ended.
type AssignmentRecorded struct {
	Epoch  uint64  `json:"epoch"`
	Change uint64  `json:"change"`
	At     uint64  `json:"at"` // offset at which the partition was to end
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

// RecordUnreadable says that the store's newest record cannot be read.
type RecordUnreadable struct {
	Error string `json:"error"`
}

// Text implements Event.
func (e RecordUnreadable) Text() string { return "the assignment record cannot be read: " + e.Error }

// RecordUnwritable says that a record could not be encoded.
type RecordUnwritable struct {
	Error string `json:"error"`
}

// Text implements Event.
func (e RecordUnwritable) Text() string { return "an assignment record cannot be encoded: " + e.Error }

// RangeMoved says that keys get another owner, and by what load.
type RangeMoved struct {
	Service string `json:"service"`
	From    uint16 `json:"from"`
	To      uint16 `json:"to"`
	Owner   string `json:"owner"`
	Before  string `json:"before"` // the earlier owner; empty for none
	Fence   uint64 `json:"fence"`
	Why     string `json:"why"`
	// Load is the part of the service's remembered requests that ask for these
	// keys, OwnerUse the new owner's load over the mean of all servers.
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

// GrantCall is a call about keys that a backend server was sent.
type GrantCall struct {
	Server string `json:"server"`
	Fence  uint64 `json:"fence"` // of the owner, or of the next one in a release
	From   uint16 `json:"from"`
	To     uint16 `json:"to"`
	Result string `json:"result"`
	Error  string `json:"error,omitempty"`
}

// KeysReleased says how a release ended.
type KeysReleased GrantCall

// Text implements Event.
func (e KeysReleased) Text() string {
	return fmt.Sprintf("release of keys %d to %d at %s under token %d: %s", e.From, e.To, e.Server, e.Fence, e.Result)
}

// GrantFailed says that a grant or a renewal was not taken.
type GrantFailed GrantCall

// Text implements Event.
func (e GrantFailed) Text() string {
	return fmt.Sprintf("grant of keys %d to %d to %s under token %d: %s", e.From, e.To, e.Server, e.Fence, e.Result)
}

// MapApplied says that this host routes by a newer map.
type MapApplied struct {
	Epoch   uint64 `json:"epoch"`
	Change  uint64 `json:"change"`
	Ranges  int    `json:"ranges"`
	Granted int    `json:"granted"` // ranges whose owner has taken its grant
}

// Text implements Event.
func (e MapApplied) Text() string {
	return fmt.Sprintf("routes by map %d.%d: %d of %d ranges granted", e.Epoch, e.Change, e.Granted, e.Ranges)
}

// MapInvalid says that another host sent a map that cannot be read.
type MapInvalid struct {
	Epoch uint64 `json:"epoch"`
}

// Text implements Event.
func (e MapInvalid) Text() string { return "got an invalid map from another host" }

// Server names a backend server as the directory lists it.
type Server struct {
	ID        string `json:"server"`
	Born      int64  `json:"born"` // Unix milliseconds
	Service   string `json:"service"`
	Address   string `json:"address"`
	State     string `json:"state"`
	Directory uint64 `json:"directory"` // number of the change
}

func (s Server) text(what string) string {
	return fmt.Sprintf("backend server %s of %s at %s %s (%s)", s.ID, s.Service, s.Address, what, s.State)
}

// ServerFound says that a backend server was listed.
type ServerFound Server

// Text implements Event.
func (e ServerFound) Text() string { return Server(e).text("found") }

// ServerRestarted says that an id is listed with a later start.
type ServerRestarted Server

// Text implements Event.
func (e ServerRestarted) Text() string { return Server(e).text("restarted") }

// ServerChanged says that a backend server's state or address changed.
type ServerChanged Server

// Text implements Event.
func (e ServerChanged) Text() string { return Server(e).text("changed") }

// ServerGone says that a backend server is not listed any more.
type ServerGone Server

// Text implements Event.
func (e ServerGone) Text() string { return Server(e).text("gone") }

// ServersSuspected says that the assigner asks every host to try backend servers.
type ServersSuspected struct {
	Servers []string `json:"servers"`
}

// Text implements Event.
func (e ServersSuspected) Text() string {
	return fmt.Sprintf("suspects %v and asks every host", e.Servers)
}

// SuspectProbed says what this host found at a suspect's address.
type SuspectProbed struct {
	Server  string `json:"server"`
	Address string `json:"address"`
	Refused bool   `json:"refused"`
	Error   string `json:"error,omitempty"`
}

// Text implements Event.
func (e SuspectProbed) Text() string {
	if e.Refused {
		return fmt.Sprintf("found no process at %s's address %s", e.Server, e.Address)
	}
	if e.Error != "" {
		return fmt.Sprintf("could not tell whether %s listens: %s", e.Server, e.Error)
	}
	return fmt.Sprintf("found that %s listens", e.Server)
}

// HostCountChanged says how many entry hosts share limits and budgets.
type HostCountChanged struct {
	Hosts int `json:"hosts"`
}

// Text implements Event.
func (e HostCountChanged) Text() string {
	return fmt.Sprintf("%d entry hosts share limits and budgets", e.Hosts)
}

// ConfigInForce says that requests are routed by a newer configuration.
type ConfigInForce struct {
	Version uint64 `json:"version"`
	Before  uint64 `json:"before"`
	Routes  int    `json:"routes"`
}

// Text implements Event.
func (e ConfigInForce) Text() string {
	return fmt.Sprintf("configuration %d in force, after %d", e.Version, e.Before)
}

// ConfigUnusable says that a configuration cannot be used.
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

// StoreCallFailed says that a call to the store failed.
type StoreCallFailed StoreCall

// Text implements Event.
func (e StoreCallFailed) Text() string { return "the store did not " + e.Call + ": " + e.Error }

// StoreLost says that calls to the store have begun to fail.
type StoreLost StoreCall

// Text implements Event.
func (e StoreLost) Text() string { return "lost the store: " + e.Error }

// StoreRegained says that the store answers again.
type StoreRegained struct {
	AfterMS float64 `json:"after_ms"`
	Failed  int     `json:"failed"` // calls that failed meanwhile
}

// Text implements Event.
func (e StoreRegained) Text() string {
	return fmt.Sprintf("regained the store after %.0f ms and %d failed calls", e.AfterMS, e.Failed)
}

// ExpiryDeferred says that entries which lapsed in an outage count for a while.
type ExpiryDeferred struct {
	ForMS float64 `json:"for_ms"`
}

// Text implements Event.
func (e ExpiryDeferred) Text() string {
	return fmt.Sprintf("keeps lapsed entries of backend servers for %.0f ms", e.ForMS)
}

// DirectoryGap says that changes were missed and every entry is loaded anew.
type DirectoryGap struct {
	Error string `json:"error"`
}

// Text implements Event.
func (e DirectoryGap) Text() string {
	return "missed changes of the backend servers and loads all"
}
