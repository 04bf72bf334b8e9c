package control

import (
	"context"
	"encoding/json"
	"math"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

// resignation is what a planned stop leaves behind: the resignation record, the
// encoded seat, and the peers that may keep the seat if the log takes no record.
// A seat is a member's place in the quorum, see ownership.Seat.
type resignation struct {
	record ownership.Record
	seat   []byte
	peers  []string
	err    error
}

// handOverSeat stores this host's seat at a peer. When a call certainly did not
// reach its peer, the next one is tried. Errors are of kind PeerUnavailable or,
// from the last such call, DialFailed.
func (l *Loop) handOverSeat(ctx context.Context, out resignation) error {
	err := error(fault.New(fault.PeerUnavailable, "no peer is known"))
	for _, addr := range out.peers {
		err = l.leaveSeatAt(ctx, addr, out.seat)
		if err == nil {
			l.zap.Info("control: seat stored at a peer", zap.String("peer", addr))
			return nil
		}
		// A peer that did not answer may have stored the seat all the same, and
		// only one peer may keep it: no other one is tried.
		if ctx.Err() != nil || !notReached(err) {
			return err
		}
	}
	return err
}

// notReached reports whether a call certainly never reached the peer.
func notReached(err error) bool { return fault.KindOf(err) == fault.DialFailed }

func (l *Loop) leaveSeatAt(ctx context.Context, addr string, seat []byte) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	return l.transport.KeepSeat(ctx, addr, l.cfg.Machine.Self.Host, seat)
}

func (l *Loop) resign(now ownership.Instant) resignation {
	peers := l.lag().peers
	record, seat, err := l.machine.Resign(now)
	if err != nil {
		return resignation{err: err}
	}
	seat.OutstandingFor = max(seat.OutstandingFor, l.allOutstandingUntil()-now)
	data, err := json.Marshal(seat)
	if err != nil {
		return resignation{err: fault.Wrap(fault.Internal, err, "encode seat")}
	}
	return resignation{record: record, seat: data, peers: peers}
}

// allOutstandingUntil returns when everything outstanding with backend servers has
// ended.
func (l *Loop) allOutstandingUntil() ownership.Instant {
	var until ownership.Instant
	for service, table := range l.machine.State().Tables {
		for shard := range table.Shards {
			q := ownership.OutstandingQuery{Service: service, Shard: ownership.Shard(shard), Below: math.MaxUint64}
			until = max(until, l.outstandingUntil(q))
		}
	}
	return until
}

// HandleKeepSeat implements peer.ControlHandler.
func (l *Loop) HandleKeepSeat(ctx context.Context, host string, seat []byte) error {
	_, err := call(ctx, l, func(ownership.Instant) bool {
		l.seats[host] = seat
		return true
	})
	return err
}

// HandleClaimSeat implements peer.ControlHandler. A seat is handed out at most
// once: if the answer is lost, so is the seat, and the host joins as a new member
// once the log is back.
func (l *Loop) HandleClaimSeat(ctx context.Context, host string) ([]byte, error) {
	return call(ctx, l, func(ownership.Instant) []byte {
		seat := l.seats[host]
		delete(l.seats, host)
		return seat
	})
}

// claimSeat asks the peers for this host's seat and reports whether it took one
// over.
func (l *Loop) claimSeat() bool {
	peers, err := call(l.ctx, l, func(ownership.Instant) []string { return l.lag().peers })
	if err != nil {
		return false
	}
	for _, addr := range peers {
		if l.claimSeatFrom(addr) {
			return true
		}
	}
	return false
}

func (l *Loop) claimSeatFrom(addr string) bool {
	ctx, cancel := context.WithTimeout(l.ctx, snapshotTimeout)
	defer cancel()
	data, err := l.transport.ClaimSeat(ctx, addr, l.cfg.Machine.Self.Host)
	if err != nil || len(data) == 0 {
		return false
	}
	var seat ownership.Seat
	if err := json.Unmarshal(data, &seat); err != nil {
		l.zap.Warn("control: cannot decode the seat kept by a peer", zap.Error(err))
		return false
	}
	rejected, err := call(l.ctx, l, func(now ownership.Instant) error { return l.machine.TakeSeat(now, seat) })
	if err != nil || rejected != nil {
		l.zap.Warn("control: cannot take over the seat kept by a peer", zap.Error(rejected))
		return false
	}
	l.zap.Info("control: took over the seat kept by a peer", zap.String("member", string(seat.Member.ID)))
	return true
}
