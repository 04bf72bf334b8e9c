package peer

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/peer/peerpb"
)

// unknownField is a field number that the messages do not use.
const unknownField = 1000

func TestFieldsOfNewerVersionsAreTolerated(t *testing.T) {
	msg := message(7)
	data, err := proto.Marshal(confirmToWire(msg))
	require.NoError(t, err)
	data = protowire.AppendTag(data, unknownField, protowire.BytesType)
	data = protowire.AppendString(data, "of a newer version")
	var wire peerpb.Confirmation
	require.NoError(t, proto.Unmarshal(data, &wire))
	got := confirmFromWire(&wire)
	require.Equal(t, msg.Round, got.Round)
	require.Equal(t, msg.Applied, got.Applied)
}

// hugeSnapshot answers with a snapshot above MaxMessageBytes.
type hugeSnapshot struct{ echo }

func (h *hugeSnapshot) HandleSnapshot(context.Context) (Snapshot, error) {
	return Snapshot{Ownership: make([]byte, MaxMessageBytes+1)}, nil
}

func TestMessagesAreBounded(t *testing.T) {
	addr := serve(t, &hugeSnapshot{})
	c := NewClient(nil)
	defer c.Close()
	_, err := c.Snapshot(t.Context(), addr)
	require.Equal(t, fault.PeerUnavailable, fault.KindOf(err))
}

func FuzzConfirmation(f *testing.F) {
	seed, err := proto.Marshal(confirmToWire(message(1)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		var wire peerpb.Confirmation
		if proto.Unmarshal(data, &wire) != nil {
			return
		}
		got := confirmFromWire(&wire)
		again := confirmFromWire(confirmToWire(got))
		require.Equal(t, got, again)
	})
}
