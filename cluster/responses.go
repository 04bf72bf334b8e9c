package cluster

import (
	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/hostlink"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// responseState is the state of this host that a response depends on.
type responseState struct {
	view      *View
	epoch     uint64
	assigner  assigner.Host
	leads     bool
	abandoned bool
	hosts     uint64 // version of the list of hosts
}

// responseKey is the part of a sync request that a response depends on.
type responseKey struct {
	owners    keyrange.Version
	servers   directory.Version
	admission keyrange.Version
	leaving   uint64
	config    uint64
	hosts     uint64
	probes    uint64
	compress  bool
}

func responseKeyOf(q *hostlink.SyncRequest) responseKey {
	return responseKey{q.Map, q.Servers, q.Admission, q.Leaving, q.Config, q.Hosts, q.ProbeRound, q.Compressed}
}

// maxResponses bounds the responses that are kept.
const maxResponses = 500

// responses keeps the responses of the present state. After a change hundreds of hosts
// ask for what is new, most of them from the same versions on: what they get is built
// and encoded once.
type responses struct {
	state responseState
	byKey map[responseKey]*hostlink.SyncResponse
}

func (r *responses) get(s responseState, k responseKey, build func() *hostlink.SyncResponse) *hostlink.SyncResponse {
	if r.byKey == nil || r.state != s || len(r.byKey) >= maxResponses {
		r.state = s
		r.byKey = map[responseKey]*hostlink.SyncResponse{}
	}
	a := r.byKey[k]
	if a == nil {
		a = build()
		r.byKey[k] = a
	}
	return a
}
