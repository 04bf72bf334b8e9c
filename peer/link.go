package peer

import (
	"context"
	"net"
	"sync"

	"storj.io/drpc/drpcconn"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/peer/peerpb"
)

// link is one stream of confirmations to one peer. Replies are matched to
// requests by round, so that a late reply never counts for another round.
type link struct {
	conn   *drpcconn.Conn
	stream peerpb.DRPCControl_ConfirmClient
	cancel context.CancelFunc

	mu         sync.Mutex // guards the fields below and the order of sends
	introduced bool       // the first request, which carries both member ids, was sent
	ends       endpoints
	waiting    map[uint64]chan ownership.ConfirmReply
	err        error
	done       chan struct{} // closed when the link has failed
}

// endpoints are the member ids at both ends of a stream, taken from its first
// request. Later messages leave them out.
type endpoints struct {
	from ownership.MemberID
	to   ownership.MemberID
}

func newLink(raw net.Conn) (*link, error) {
	ctx, cancel := context.WithCancel(context.Background())
	conn := newConn(raw)
	stream, err := peerpb.NewDRPCControlClient(conn).Confirm(ctx)
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, err
	}
	l := &link{
		conn:    conn,
		stream:  stream,
		cancel:  cancel,
		waiting: map[uint64]chan ownership.ConfirmReply{},
		done:    make(chan struct{}),
	}
	go l.receive()
	return l, nil
}

func (l *link) confirm(ctx context.Context, msg ownership.Confirm) (ownership.ConfirmReply, error) {
	answer, err := l.send(msg)
	if err != nil {
		return ownership.ConfirmReply{}, err
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-l.done:
		return ownership.ConfirmReply{}, l.failure()
	case <-ctx.Done():
		return ownership.ConfirmReply{}, ctx.Err()
	}
}

func (l *link) send(msg ownership.Confirm) (<-chan ownership.ConfirmReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return nil, l.err
	}
	answer := make(chan ownership.ConfirmReply, 1)
	l.waiting[msg.Round] = answer
	wire := confirmToWire(msg)
	if l.introduced {
		wire.From, wire.To = "", ""
	}
	l.introduced = true
	l.ends = endpoints{from: msg.From, to: msg.To}
	if err := l.stream.Send(wire); err != nil {
		delete(l.waiting, msg.Round)
		return nil, err
	}
	return answer, nil
}

func (l *link) receive() {
	for {
		in, err := l.stream.Recv()
		if err != nil {
			l.fail(err)
			return
		}
		l.dispatch(ownership.ConfirmReply(confirmFromWire(in)))
	}
}

func (l *link) dispatch(reply ownership.ConfirmReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply.From, reply.To = l.ends.to, l.ends.from
	answer, ok := l.waiting[reply.Round]
	if !ok {
		return
	}
	delete(l.waiting, reply.Round)
	answer <- reply
}

func (l *link) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return
	}
	l.err = err
	close(l.done)
}

func (l *link) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

func (l *link) close() {
	l.fail(fault.New(fault.PeerUnavailable, "the connection to the peer was closed"))
	l.cancel()
	_ = l.conn.Close()
}
