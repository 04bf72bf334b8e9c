package connstate_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/internal/connstate"
)

// pair returns both ends of a loopback connection.
func pair(t *testing.T) (here, there net.Conn) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	here, err = net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	there, err = lis.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = here.Close()
		_ = there.Close()
	})
	return here, there
}

// become waits until a connection is in a state. The bound only ends a test that fails.
func become(t *testing.T, conn net.Conn, want connstate.State) {
	require.Eventually(t, func() bool { return connstate.Of(conn) == want }, time.Minute, time.Millisecond)
}

// Looking at a connection tells apart waiting bytes and its end, and takes no byte.
func TestStates(t *testing.T) {
	here, there := pair(t)
	require.Equal(t, connstate.Quiet, connstate.Of(here))
	_, err := there.Write([]byte("ab"))
	require.NoError(t, err)
	become(t, here, connstate.Bytes)
	b := make([]byte, 2)
	n, err := here.Read(b)
	require.NoError(t, err)
	require.Equal(t, "ab", string(b[:n]))
	require.Equal(t, connstate.Quiet, connstate.Of(here))
	require.NoError(t, there.Close())
	become(t, here, connstate.Ended)
}

// A connection that this process has closed has ended.
func TestClosedConnection(t *testing.T) {
	here, _ := pair(t)
	require.NoError(t, here.Close())
	require.Equal(t, connstate.Ended, connstate.Of(here))
}

// Bytes that the other end has no room for have not arrived.
func TestUnacknowledged(t *testing.T) {
	here, there := pair(t)
	require.False(t, connstate.Unacknowledged(here))
	const more = 64 << 20 // than the buffers of both ends can take
	written := make(chan error, 1)
	go func() {
		_, err := here.Write(make([]byte, more))
		written <- err
	}()
	require.Eventually(t, func() bool { return connstate.Unacknowledged(here) }, time.Minute, time.Millisecond)
	_, err := io.CopyN(io.Discard, there, more)
	require.NoError(t, err)
	require.NoError(t, <-written)
	require.Eventually(t, func() bool { return !connstate.Unacknowledged(here) }, time.Minute, time.Millisecond)
}

// A connection without a socket counts as quiet.
func TestConnectionWithoutSocket(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	require.Equal(t, connstate.Quiet, connstate.Of(a))
}
