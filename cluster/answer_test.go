package cluster

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/hostlink"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// Hosts that ask from the same versions on share one response; it is built anew when
// the state or the versions differ.
func TestResponsesAreBuiltOnce(t *testing.T) {
	built := 0
	build := func() *hostlink.SyncResponse { built++; return &hostlink.SyncResponse{} }
	var r responses
	state := responseState{view: &View{}, epoch: 1, assigner: assigner.Host{Name: "a"}}
	key := responseKeyOf(&hostlink.SyncRequest{Config: 3})
	for range 295 {
		r.get(state, key, build)
	}
	require.Equal(t, 1, built)

	changes := map[string]func(s *responseState, k *responseKey){
		"a new view":                       func(s *responseState, _ *responseKey) { s.view = &View{} },
		"a new epoch":                      func(s *responseState, _ *responseKey) { s.epoch++ },
		"another assigner":                 func(s *responseState, _ *responseKey) { s.assigner.Name = "b" },
		"the start of a lease":             func(s *responseState, _ *responseKey) { s.leads = true },
		"an abandoned epoch":               func(s *responseState, _ *responseKey) { s.abandoned = true },
		"a new host":                       func(s *responseState, _ *responseKey) { s.hosts++ },
		"an older map":                     func(_ *responseState, k *responseKey) { k.owners = keyrange.Version{Epoch: 1} },
		"an older directory":               func(_ *responseState, k *responseKey) { k.servers.Change++ },
		"older limits":                     func(_ *responseState, k *responseKey) { k.admission.Change++ },
		"an older list of leaving servers": func(_ *responseState, k *responseKey) { k.leaving++ },
		"an older host list":               func(_ *responseState, k *responseKey) { k.hosts++ },
		"an older probe round":             func(_ *responseState, k *responseKey) { k.probes++ },
		"another version":                  func(_ *responseState, k *responseKey) { k.compress = true },
	}
	for name, change := range changes {
		r, built = responses{}, 0
		r.get(state, key, build)
		s, k := state, key
		change(&s, &k)
		r.get(s, k, build)
		require.Equal(t, 2, built, name)
	}
}
