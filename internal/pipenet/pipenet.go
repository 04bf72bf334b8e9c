// Package pipenet is an in-memory network for tests in virtual time: goroutines that
// wait for its connections are durably blocked, as testing/synctest requires.
package pipenet

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// Network connects listeners and their callers.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
	count     int
}

// New returns a network without listeners.
func New() *Network { return &Network{listeners: map[string]*Listener{}} }

// Listen returns a listener at an address of its own, of the form IP:port.
func (n *Network) Listen() *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.count++
	l := &Listener{
		network: n,
		addr:    &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: n.count},
		conns:   make(chan net.Conn),
		done:    make(chan struct{}),
	}
	n.listeners[l.addr.String()] = l
	return l
}

// Dial connects to the listener at addr. Its signature is that of net.Dialer's
// DialContext. It fails with ECONNREFUSED if nothing listens there.
func (n *Network) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	near, far := pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, refused
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", addr, ctx.Err())
	}
}

// Listener accepts the connections to one address.
type Listener struct {
	network *Network
	addr    *net.TCPAddr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr.String())
		l.network.mu.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.addr }

// Conn is one end of a connection. Writes wait until the other end has read them.
type Conn struct {
	net.Conn
	resets *atomic.Bool // this end resets the connection when it closes it
	reset  *atomic.Bool // the other end reset it
}

func pipe() (a, b *Conn) {
	near, far := net.Pipe()
	var resetsA, resetsB atomic.Bool
	return &Conn{near, &resetsA, &resetsB}, &Conn{far, &resetsB, &resetsA}
}

// SetLinger makes Close reset the connection if sec is 0, as for TCP.
func (c *Conn) SetLinger(sec int) error {
	c.resets.Store(sec == 0)
	return nil
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.reset.Load() {
		return n, syscall.ECONNRESET
	}
	return n, err
}
