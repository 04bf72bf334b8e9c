package control

import (
	"context"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/peer"
)

var _ peer.ControlHandler = (*Loop)(nil)

// confirmResult is a reply or the reason why there is none.
type confirmResult struct {
	reply ownership.ConfirmReply
	err   error
}

// HandleConfirm implements peer.ControlHandler.
func (l *Loop) HandleConfirm(ctx context.Context, msg ownership.Confirm) (ownership.ConfirmReply, error) {
	out, err := call(ctx, l, func(now ownership.Instant) confirmResult { return l.confirm(now, msg) })
	if err != nil {
		return ownership.ConfirmReply{}, err
	}
	return out.reply, out.err
}

func (l *Loop) confirm(now ownership.Instant, msg ownership.Confirm) confirmResult {
	if msg.To != l.machine.Self().ID {
		return confirmResult{err: fault.Newf(fault.BadMessage, "message is addressed to member %s", msg.To)}
	}
	return confirmResult{reply: l.machine.HandleConfirm(now, msg)}
}

// snapshotResult is a snapshot or the reason why there is none.
type snapshotResult struct {
	snapshot peer.Snapshot
	err      error
}

// HandleSnapshot implements peer.ControlHandler.
func (l *Loop) HandleSnapshot(ctx context.Context) (peer.Snapshot, error) {
	out, err := call(ctx, l, func(ownership.Instant) snapshotResult {
		snapshot, err := l.encodeSnapshot()
		return snapshotResult{snapshot: snapshot, err: err}
	})
	if err != nil {
		return peer.Snapshot{}, err
	}
	return out.snapshot, out.err
}

func (l *Loop) encodeSnapshot() (peer.Snapshot, error) {
	if !l.catalogCurrent {
		return peer.Snapshot{}, fault.New(fault.NotReady, "this host has not caught up with the profile stream")
	}
	state, err := l.machine.InForce().EncodeCheckpoint()
	if err != nil {
		return peer.Snapshot{}, err
	}
	record, err := l.catalog.EncodeCheckpoint("", string(l.machine.Self().ID), "snapshot for a peer")
	if err != nil {
		return peer.Snapshot{}, err
	}
	catalog, err := record.Encode()
	if err != nil {
		return peer.Snapshot{}, err
	}
	return peer.Snapshot{Ownership: state, Catalog: catalog}, nil
}
