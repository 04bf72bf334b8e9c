package directory

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// Of several entries at an address, the process that started last is there.
func TestServerAtAnAddress(t *testing.T) {
	entry := func(id, addr string, started int64) Server {
		return Server{Holder: keyrange.Holder{ID: id, StartedMS: started}, Address: addr}
	}
	s := &Snapshot{Servers: []Server{entry("a", "x", 2), entry("b", "y", 9), entry("c", "x", 3), entry("d", "x", 1)}}
	require.Equal(t, "c", s.At("x").Holder.ID)
	require.Equal(t, "b", s.At("y").Holder.ID)
	require.Nil(t, s.At("z"))
}
