package peer

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

// echo is a ControlHandler that answers every confirmation with its content and
// stores one seat.
type echo struct {
	self   ownership.MemberID
	silent atomic.Bool
	seat   string
}

func (e *echo) HandleConfirm(ctx context.Context, m ownership.Confirm) (ownership.ConfirmReply, error) {
	if m.To != e.self {
		return ownership.ConfirmReply{}, fault.New(fault.BadMessage, "wrong addressee")
	}
	if e.silent.Load() {
		<-ctx.Done()
	}
	return ownership.ConfirmReply{
		From: m.To, To: m.From, Round: m.Round, Applied: m.Applied, Catalog: m.Catalog,
		Flags: m.Flags, Suspects: m.Suspects, Holds: m.Holds, Doubts: m.Doubts,
	}, nil
}

func (e *echo) HandleSnapshot(context.Context) (Snapshot, error) {
	return Snapshot{Ownership: []byte("o"), Catalog: []byte("c")}, nil
}

func (e *echo) HandleKeepSeat(_ context.Context, host string, seat []byte) error {
	e.seat = host + ":" + string(seat)
	return nil
}

func (e *echo) HandleClaimSeat(_ context.Context, host string) ([]byte, error) {
	if !strings.HasPrefix(e.seat, host+":") {
		return nil, nil
	}
	return []byte(e.seat), nil
}

// countingConn counts the bytes that a connection sends and receives.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// serve runs a server on a loopback address until the test ends and returns the
// address.
func serve(t testing.TB, h ControlHandler) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server, err := NewServer(h)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, lis)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return lis.Addr().String()
}

func message(round uint64) ownership.Confirm {
	return ownership.Confirm{From: "entry-1/aa", To: "entry-2/bb", Round: round, Applied: 70_000, Catalog: 900}
}

func TestConfirmCarriesEverything(t *testing.T) {
	addr := serve(t, &echo{self: "entry-2/bb"})
	c := NewClient(nil)
	defer c.Close()
	for round := uint64(1); round <= 3; round++ {
		msg := message(round)
		msg.Flags = []ownership.Flag{{Service: "s", Server: "x", Upto: 7}}
		msg.Suspects = []ownership.Suspect{{Service: "s", Server: "y", Gone: true}}
		msg.Doubts = []ownership.Suspect{{Service: "s", Server: "z"}}
		msg.Holds = []ownership.Hold{{Record: 5, Left: 40 * time.Millisecond}}
		reply, err := c.Confirm(t.Context(), addr, msg)
		require.NoError(t, err)
		require.Equal(t, ownership.ConfirmReply{
			From: msg.To, To: msg.From, Round: round, Applied: msg.Applied, Catalog: msg.Catalog,
			Flags: msg.Flags, Suspects: msg.Suspects, Holds: msg.Holds, Doubts: msg.Doubts,
		}, reply)
	}
}

func TestConfirmFaults(t *testing.T) {
	h := &echo{self: "entry-2/bb"}
	addr := serve(t, h)
	c := NewClient(nil)
	defer c.Close()

	t.Run("another incarnation answers at the address", func(t *testing.T) {
		msg := message(1)
		msg.To = "entry-2/old"
		_, err := c.Confirm(t.Context(), addr, msg)
		require.Equal(t, fault.PeerUnavailable, fault.KindOf(err))
	})
	t.Run("a silent connection is given up and replaced", func(t *testing.T) {
		_, err := c.Confirm(t.Context(), addr, message(1))
		require.NoError(t, err)
		h.silent.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err = c.Confirm(ctx, addr, message(2))
		require.Equal(t, fault.PeerUnavailable, fault.KindOf(err))
		h.silent.Store(false)
		reply, err := c.Confirm(t.Context(), addr, message(3))
		require.NoError(t, err)
		require.Equal(t, uint64(3), reply.Round)
	})
	t.Run("nobody listens", func(t *testing.T) {
		_, err := c.Confirm(t.Context(), "127.0.0.1:1", message(1))
		require.Equal(t, fault.PeerUnavailable, fault.KindOf(err))
	})
}

func TestSnapshotAndSeatCalls(t *testing.T) {
	addr := serve(t, &echo{})
	c := NewClient(nil)
	defer c.Close()
	snap, err := c.Snapshot(t.Context(), addr)
	require.NoError(t, err)
	require.Equal(t, Snapshot{Ownership: []byte("o"), Catalog: []byte("c")}, snap)
	require.NoError(t, c.KeepSeat(t.Context(), addr, "host", []byte("seat")))
	seat, err := c.ClaimSeat(t.Context(), addr, "host")
	require.NoError(t, err)
	require.Equal(t, "host:seat", string(seat))
	seat, err = c.ClaimSeat(t.Context(), addr, "other")
	require.NoError(t, err)
	require.Empty(t, seat)
}

// BenchmarkConfirm reports the bytes per confirmation in each direction, without
// TCP and IP headers.
func BenchmarkConfirm(b *testing.B) {
	addr := serve(b, &echo{self: "entry-2/bb"})
	var sent, received atomic.Int64
	c := NewClient(func(ctx context.Context, addr string) (net.Conn, error) {
		raw, err := dialTCP(ctx, addr)
		return countingConn{Conn: raw, sent: &sent, received: &received}, err
	})
	defer c.Close()
	round := uint64(0)
	for b.Loop() {
		round++
		if _, err := c.Confirm(b.Context(), addr, message(round)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(sent.Load())/float64(round), "sent-B/op")
	b.ReportMetric(float64(received.Load())/float64(round), "received-B/op")
}
