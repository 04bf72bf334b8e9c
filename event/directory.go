package event

import "fmt"

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
