package cluster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// The host that relays a grant makes the same call as the assigner would, also as to
// whether its answer decides something.
func TestRelayedGrantIsTheSameCall(t *testing.T) {
	a := assigner.Grant{
		Address:  "127.0.0.1:1",
		Range:    keyrange.Range{From: 3, To: 9, Owner: keyrange.Holder{ID: "s"}, Fence: 7},
		Hold:     2 * time.Second,
		Handover: "state",
		Decisive: true,
	}
	call := relayOfGrant(a)
	require.Equal(t, a, relayedGrant(&call))
}
