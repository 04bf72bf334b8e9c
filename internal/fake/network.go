package fake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/peer"
)

// Node handles the control messages sent to an address.
type Node interface {
	HandleConfirm(ctx context.Context, msg ownership.Confirm) (ownership.ConfirmReply, error)
	HandleSnapshot(ctx context.Context) (peer.Snapshot, error)
	HandleKeepSeat(ctx context.Context, host string, seat []byte) error
	HandleClaimSeat(ctx context.Context, host string) ([]byte, error)
}

// link is one direction of the connection between two addresses.
type link struct {
	from string
	to   string
}

// Delay returns the one-way delay between two addresses.
type Delay func(from, to string) time.Duration

// Network carries control messages between entry hosts.
// It is safe for concurrent use.
type Network struct {
	mu       sync.Mutex
	nodes    map[string]Node
	blocked  map[link]bool
	delay    Delay
	lossRate float64
	rng      *rand.Rand
}

// NewNetwork returns a network. The messages to lose are drawn at random from seed.
func NewNetwork(delay Delay, seed uint64) *Network {
	return &Network{
		nodes:   map[string]Node{},
		blocked: map[link]bool{},
		delay:   delay,
		rng:     rand.New(rand.NewPCG(seed, seed)),
	}
}

// Attach makes node handle the messages to addr. With a nil node, messages to addr
// get no answer.
func (n *Network) Attach(addr string, node Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[addr] = node
}

// SetLoss sets the fraction of messages that are lost, 0 to 1.
func (n *Network) SetLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate = share
}

// SetBlocked blocks or unblocks messages in one direction.
func (n *Network) SetBlocked(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[link{from, to}] = on
}

// From returns the transport of the host at addr.
func (n *Network) From(addr string) *Transport {
	return &Transport{net: n, addr: addr}
}

// deliver waits for the one-way delay and reports whether a message arrives. A lost
// message waits until ctx ends, as its sender gets no error.
func (n *Network) deliver(ctx context.Context, from, to string) bool {
	n.mu.Lock()
	ok := !n.blocked[link{from, to}] && (n.lossRate == 0 || n.rng.Float64() >= n.lossRate)
	d := n.delay(from, to)
	n.mu.Unlock()
	if !ok {
		<-ctx.Done()
		return false
	}
	return wait.Sleep(ctx, d) == nil
}

func (n *Network) node(addr string) Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[addr]
}

// Transport sends messages from one address.
type Transport struct {
	net  *Network
	addr string
}

// Confirm implements control.Transport.
func (t *Transport) Confirm(ctx context.Context, addr string, msg ownership.Confirm) (ownership.ConfirmReply, error) {
	return exchange(ctx, t, addr, func(n Node) (ownership.ConfirmReply, error) { return n.HandleConfirm(ctx, msg) })
}

// Snapshot implements control.Transport.
func (t *Transport) Snapshot(ctx context.Context, addr string) (peer.Snapshot, error) {
	return exchange(ctx, t, addr, func(n Node) (peer.Snapshot, error) { return n.HandleSnapshot(ctx) })
}

// KeepSeat implements control.Transport.
func (t *Transport) KeepSeat(ctx context.Context, addr, host string, seat []byte) error {
	_, err := exchange(ctx, t, addr, func(n Node) (bool, error) { return true, n.HandleKeepSeat(ctx, host, seat) })
	return err
}

// ClaimSeat implements control.Transport.
func (t *Transport) ClaimSeat(ctx context.Context, addr, host string) ([]byte, error) {
	return exchange(ctx, t, addr, func(n Node) ([]byte, error) { return n.HandleClaimSeat(ctx, host) })
}

// exchange delivers a call to the node at addr and its reply to the sender.
func exchange[T any](ctx context.Context, t *Transport, addr string, call func(Node) (T, error)) (T, error) {
	var zero T
	noAnswer := fault.New(fault.PeerUnavailable, "no answer from "+addr)
	if !t.net.deliver(ctx, t.addr, addr) {
		return zero, noAnswer
	}
	node := t.net.node(addr)
	if node == nil {
		<-ctx.Done()
		return zero, noAnswer
	}
	reply, err := call(node)
	if err != nil {
		return zero, err
	}
	if !t.net.deliver(ctx, addr, t.addr) {
		return zero, noAnswer
	}
	return reply, nil
}
