package hostlink

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// dialTimeout bounds the time to open a connection to another host.
	dialTimeout = 400 * time.Millisecond
	// maxIdleConns bounds the idle connections to one host.
	maxIdleConns = 2
)

// Pool keeps connections to other hosts open. A connection carries one call at a time.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*drpcconn.Conn
}

// NewPool returns a pool without connections.
func NewPool() *Pool { return &Pool{idle: map[string][]*drpcconn.Conn{}} }

// Sync requests what the host at addr has that is newer. An error of kind BadMessage means
// that its response is invalid.
func (p *Pool) Sync(ctx context.Context, addr string, q *SyncRequest) (*SyncResponse, error) {
	out := &SyncResponse{}
	if err := p.invoke(ctx, addr, syncMethod, q, out); err != nil {
		return nil, err
	}
	return out, nil
}

// Relay asks the host at addr to call a backend server. An error of kind DialFailed
// means that the request was not sent.
func (p *Pool) Relay(ctx context.Context, addr string, call *RelayRequest) (*RelayResponse, error) {
	out := &RelayResponse{}
	if err := p.invoke(ctx, addr, relayMethod, call, out); err != nil {
		return nil, err
	}
	return out, nil
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		for _, c := range list {
			_ = c.Close() // no call uses it
		}
		delete(p.idle, addr)
	}
}

// invoke makes one call, on a connection that no other call uses meanwhile.
func (p *Pool) invoke(ctx context.Context, addr, method string, in, out drpc.Message) error {
	conn, err := p.conn(ctx, addr)
	if err != nil {
		return fault.Wrap(fault.DialFailed, err, "connect to an entry host")
	}
	if err := conn.Invoke(ctx, method, codec{}, in, out); err != nil {
		_ = conn.Close() // the caller gets the error of the call
		if fault.KindOf(err) == fault.BadMessage {
			return err
		}
		return fault.Wrap(fault.PeerUnavailable, err, "call an entry host")
	}
	p.putIdle(addr, conn)
	return nil
}

// conn returns an idle connection that is still open, or a new one.
func (p *Pool) conn(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	for {
		c := p.popIdle(addr)
		if c == nil {
			break
		}
		select {
		case <-c.Closed():
		default:
			return c, nil
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions(maxResponseBytes)}), nil
}

// popIdle takes the idle connection that was used last, or returns nil.
func (p *Pool) popIdle(addr string) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// putIdle keeps a connection for the next call.
func (p *Pool) putIdle(addr string, c *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= maxIdleConns {
		_ = c.Close() // the pool is full
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}
