// Package peer carries messages between entry hosts over drpc.
package peer

import (
	"context"
	"net"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

const (
	// MessageVersion is the version of the messages this code writes.
	MessageVersion = 1
	// MaxMessageBytes bounds one control message.
	MaxMessageBytes = 16 << 20
	dialTimeout     = 250 * time.Millisecond
)

// Snapshot holds the state of both streams, encoded as checkpoints.
type Snapshot struct {
	Ownership []byte
	Catalog   []byte
}

// ControlHandler answers the control messages of peers.
type ControlHandler interface {
	HandleConfirm(ctx context.Context, msg ownership.Confirm) (ownership.ConfirmReply, error)
	HandleSnapshot(ctx context.Context) (Snapshot, error)
	// HandleKeepSeat stores the seat of a stopping member, see ownership.Seat, for
	// the next process on its host.
	HandleKeepSeat(ctx context.Context, host string, seat []byte) error
	// HandleClaimSeat removes and returns the seat stored for a host, nil when
	// there is none.
	HandleClaimSeat(ctx context.Context, host string) ([]byte, error)
}

// Dialer opens a connection to a peer.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}
