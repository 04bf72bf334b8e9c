package peer

import (
	"context"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/peer/peerpb"
)

// Registration adds a service to a server's mux.
type Registration func(mux drpc.Mux) error

// Server serves calls of peers.
type Server struct {
	drpc *drpcserver.Server
}

// NewServer returns a server that passes control messages to h and serves the
// additional services.
func NewServer(h ControlHandler, services ...Registration) (*Server, error) {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterControl(mux, &controlServer{handler: h}); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "register the control service")
	}
	for _, register := range services {
		if err := register(mux); err != nil {
			return nil, fault.Wrap(fault.Internal, err, "register a peer service")
		}
	}
	return &Server{drpc: drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})}, nil
}

// Serve serves connections from l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return s.drpc.Serve(ctx, l)
}

type controlServer struct {
	handler ControlHandler
}

// Confirm answers one peer's confirmations in order until its stream ends.
func (s *controlServer) Confirm(stream peerpb.DRPCControl_ConfirmStream) error {
	var ends endpoints
	for {
		in, err := stream.Recv()
		if err != nil {
			return nil
		}
		msg := confirmFromWire(in)
		if ends.from == "" {
			ends = endpoints{from: msg.From, to: msg.To}
		}
		msg.From, msg.To = ends.from, ends.to
		reply, err := s.handler.HandleConfirm(stream.Context(), msg)
		if err != nil {
			return err
		}
		if err := stream.Send(withoutMemberIDs(reply)); err != nil {
			return err
		}
	}
}

// withoutMemberIDs encodes a reply without the member ids, which both ends know.
func withoutMemberIDs(reply ownership.ConfirmReply) *peerpb.Confirmation {
	wire := confirmToWire(ownership.Confirm(reply))
	wire.From, wire.To = "", ""
	return wire
}

// Snapshot implements peerpb.DRPCControlServer.
func (s *controlServer) Snapshot(ctx context.Context, _ *peerpb.SnapshotRequest) (*peerpb.SnapshotReply, error) {
	snap, err := s.handler.HandleSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	return &peerpb.SnapshotReply{Version: MessageVersion, Ownership: snap.Ownership, Catalog: snap.Catalog}, nil
}

// KeepSeat implements peerpb.DRPCControlServer.
func (s *controlServer) KeepSeat(ctx context.Context, in *peerpb.SeatRequest) (*peerpb.SeatReply, error) {
	if err := s.handler.HandleKeepSeat(ctx, in.GetHost(), in.GetSeat()); err != nil {
		return nil, err
	}
	return &peerpb.SeatReply{Version: MessageVersion, Kept: true}, nil
}

// ClaimSeat implements peerpb.DRPCControlServer.
func (s *controlServer) ClaimSeat(ctx context.Context, in *peerpb.SeatClaim) (*peerpb.ClaimedSeat, error) {
	seat, err := s.handler.HandleClaimSeat(ctx, in.GetHost())
	if err != nil {
		return nil, err
	}
	return &peerpb.ClaimedSeat{Version: MessageVersion, Seat: seat}, nil
}
