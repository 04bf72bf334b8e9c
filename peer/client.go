package peer

import (
	"context"
	"net"
	"sync"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/peer/peerpb"
)

// linkKey identifies the link to one incarnation of a host at one address.
type linkKey struct {
	addr string
	id   ownership.MemberID
}

// Client sends control messages to peers. It keeps one stream per peer for
// confirmations and opens a new connection for each of the other, rarer calls.
// It is safe for concurrent use.
type Client struct {
	dial  Dialer
	mu    sync.Mutex
	links map[linkKey]*link
}

// NewClient returns a client. A nil dial means plain TCP.
func NewClient(dial Dialer) *Client {
	if dial == nil {
		dial = dialTCP
	}
	return &Client{dial: dial, links: map[linkKey]*link{}}
}

// Confirm sends msg to the member at addr and returns its reply. If none arrives
// before ctx ends, the connection is closed, since it may stay silent for good.
// Errors are of kind PeerUnavailable.
func (c *Client) Confirm(ctx context.Context, addr string, msg ownership.Confirm) (ownership.ConfirmReply, error) {
	t := linkKey{addr: addr, id: msg.To}
	l, err := c.link(ctx, t)
	if err != nil {
		return ownership.ConfirmReply{}, fault.Wrap(fault.PeerUnavailable, err, "connect to "+addr)
	}
	reply, err := l.confirm(ctx, msg)
	if err != nil {
		c.drop(t, l)
		return ownership.ConfirmReply{}, fault.Wrap(fault.PeerUnavailable, err, "confirm with "+addr)
	}
	return reply, nil
}

func (c *Client) link(ctx context.Context, t linkKey) (*link, error) {
	c.mu.Lock()
	l := c.links[t]
	c.mu.Unlock()
	if l != nil {
		return l, nil
	}
	raw, err := c.dial(ctx, t.addr)
	if err != nil {
		return nil, err
	}
	fresh, err := newLink(raw)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[t]; l != nil {
		fresh.close()
		return l, nil
	}
	c.links[t] = fresh
	return fresh, nil
}

func (c *Client) drop(t linkKey, l *link) {
	c.mu.Lock()
	if c.links[t] == l {
		delete(c.links, t)
	}
	c.mu.Unlock()
	l.close()
}

// Snapshot returns the state of the host at addr. For errors see callOnce.
func (c *Client) Snapshot(ctx context.Context, addr string) (Snapshot, error) {
	var out *peerpb.SnapshotReply
	err := c.callOnce(ctx, addr, func(p peerpb.DRPCControlClient) (err error) {
		out, err = p.Snapshot(ctx, &peerpb.SnapshotRequest{Version: MessageVersion})
		return err
	})
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Ownership: out.GetOwnership(), Catalog: out.GetCatalog()}, nil
}

// KeepSeat stores host's seat at the peer at addr. For errors see callOnce; with
// PeerUnavailable the peer may have stored the seat all the same.
func (c *Client) KeepSeat(ctx context.Context, addr, host string, seat []byte) error {
	return c.callOnce(ctx, addr, func(p peerpb.DRPCControlClient) error {
		_, err := p.KeepSeat(ctx, &peerpb.SeatRequest{Version: MessageVersion, Host: host, Seat: seat})
		return err
	})
}

// ClaimSeat removes host's seat from the peer at addr and returns it, nil when
// the peer keeps none. For errors see callOnce; with PeerUnavailable the peer may
// have given the seat away all the same.
func (c *Client) ClaimSeat(ctx context.Context, addr, host string) ([]byte, error) {
	var out *peerpb.ClaimedSeat
	err := c.callOnce(ctx, addr, func(p peerpb.DRPCControlClient) (err error) {
		out, err = p.ClaimSeat(ctx, &peerpb.SeatClaim{Version: MessageVersion, Host: host})
		return err
	})
	return out.GetSeat(), err
}

// callOnce opens a connection for one call. Errors are of kind DialFailed when the
// call certainly never reached the peer, else of kind PeerUnavailable.
func (c *Client) callOnce(ctx context.Context, addr string, call func(peerpb.DRPCControlClient) error) error {
	raw, err := c.dial(ctx, addr)
	if err != nil {
		return fault.Wrap(fault.DialFailed, err, "connect to "+addr)
	}
	conn := newConn(raw)
	defer conn.Close()
	if err := call(peerpb.NewDRPCControlClient(conn)); err != nil {
		return fault.Wrap(fault.PeerUnavailable, err, "call "+addr)
	}
	return nil
}

func newConn(raw net.Conn) *drpcconn.Conn {
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, l := range c.links {
		l.close()
		delete(c.links, t)
	}
}
