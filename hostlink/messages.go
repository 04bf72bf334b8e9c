package hostlink

import (
	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// SyncRequest describes the state that a host has, and carries its report.
type SyncRequest struct {
	From  assigner.Host    `json:"from"`
	Epoch uint64           `json:"epoch"`
	Map   keyrange.Version `json:"map"`
	// Servers is the version of the known directory, the zero version if none is
	// known.
	Servers directory.Version `json:"servers"`
	Config  uint64            `json:"config"` // version of the known configuration
	Hosts   uint64            `json:"hosts"`  // version of the known list of hosts
	// Admission is the version of the known limits on admission.
	Admission  keyrange.Version `json:"admission"`
	Report     assigner.Report  `json:"report"`
	ProbeRound uint64           `json:"asked"` // last known probe round
	// Leaving is the digest of the last received list of leaving servers; 0 is sent by
	// hosts of earlier versions, which do not read that list.
	Leaving uint64 `json:"leaving,omitempty"`
	// Compressed tells that this host reads compressed responses, which hosts of
	// earlier versions do not.
	Compressed bool `json:"compressed,omitempty"`
	// WaitMS is how long the response may be delayed while there are no updates, in
	// milliseconds.
	WaitMS int `json:"wait"`
}

// SyncResponse holds what the responding host has that is newer. It is not changed once
// it has been sent, and may be sent to several hosts.
type SyncResponse struct {
	// Compress is set if the requesting host reads compressed messages.
	Compress bool `json:"-"`
	encoded  encoded

	Epoch    uint64        `json:"epoch"`
	Assigner assigner.Host `json:"assigner"` // as known to the responding host
	Leads    bool          `json:"leads"`    // the responding host is the assigner and may act as such
	// Abandoned requests a takeover: the assigner is stopping or has lost the store.
	Abandoned bool                `json:"abandoned,omitempty"`
	Map       *Map                `json:"map,omitempty"`
	Servers   *directory.Snapshot `json:"servers,omitempty"`
	// Changes replaces Servers if the changes to the requester's directory are enough.
	Changes    *directory.Delta    `json:"changes,omitempty"`
	Hosts      *HostList           `json:"hosts,omitempty"`
	Admission  *assigner.Admission `json:"admission,omitempty"`
	Leaving    *LeavingList        `json:"leaving,omitempty"`
	Config     []byte              `json:"config,omitempty"` // as stored
	Suspects   []assigner.Suspect  `json:"suspects,omitempty"`
	ProbeRound uint64              `json:"asked,omitempty"`
}

// HostList holds the entry hosts that registered after the requested version, and the
// version of the list that includes them.
type HostList struct {
	Version uint64          `json:"version"`
	Hosts   []assigner.Host `json:"hosts"`
}

// LeavingList holds the listed servers that have answered that they leave. It is also
// sent by a host that does not lead, so that hosts learn it while no host can.
type LeavingList struct {
	Digest  uint64            `json:"digest"` // of the list
	Servers []keyrange.Holder `json:"servers,omitempty"`
}

// RelayRequest asks another host to make a grant or release, because the assigner
// cannot reach the server.
type RelayRequest struct {
	From     assigner.Host  `json:"from"`  // the assigner
	Epoch    uint64         `json:"epoch"` // the epoch under which it acts
	Address  string         `json:"address"`
	Range    keyrange.Range `json:"range"`
	Release  bool           `json:"release"`
	HoldMS   int64          `json:"hold_ms,omitempty"` // duration of the grant in milliseconds
	Handover string         `json:"handover,omitempty"`
	Decisive bool           `json:"decisive,omitempty"` // see assigner.Grant
	LimitMS  int64          `json:"limit_ms"`           // timeout of the call in milliseconds
}

// RelayResponse is the result of the relayed call.
type RelayResponse struct {
	Result   assigner.CallResult `json:"result"`
	Handover string              `json:"handover,omitempty"`
	// Attributed is set if the response is certainly to this call; hosts of earlier
	// versions leave it out.
	Attributed bool `json:"attributed,omitempty"`
}
