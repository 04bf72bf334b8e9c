package keyserver

import (
	"net"
	"sync"
	"time"
)

// conn is a connection that stalls while its server is frozen, and that can go
// silent: from then on it drops all traffic but stays open.
type conn struct {
	net.Conn
	process     *process
	cost        time.Duration // delay before the first read
	costOnce    sync.Once
	silent      chan struct{} // closed when the connection goes silent
	closed      chan struct{}
	silenceOnce sync.Once
	closeOnce   sync.Once
}

func newConn(raw net.Conn, p *process, cost time.Duration) *conn {
	return &conn{Conn: raw, process: p, cost: cost, silent: make(chan struct{}), closed: make(chan struct{})}
}

// goSilent makes the connection drop all traffic in both directions from now on.
func (c *conn) goSilent() { c.silenceOnce.Do(func() { close(c.silent) }) }

// isSilent reports whether the connection drops all traffic.
func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. Bytes that arrive while the server is frozen are
// delivered after the thaw, as to a process that was stopped and continued.
func (c *conn) Read(b []byte) (int, error) {
	c.costOnce.Do(func() { time.Sleep(c.cost) })
	n, err := c.Conn.Read(b)
	c.process.waitThawed(c.closed)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.process.waitThawed(c.closed)
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.process.untrack(c)
	})
	return c.Conn.Close()
}

// listener accepts the connections of one process. It accepts none while the
// server is frozen or at its connection limit: these wait in the operating
// system's accept queue, open and unanswered.
type listener struct {
	net.Listener
	process *process
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	p := l.process
	if !p.reserveConn() {
		return nil, net.ErrClosed
	}
	raw, err := l.Listener.Accept()
	if err != nil {
		p.releaseConn()
		return nil, err
	}
	p.waitThawed(nil)
	return p.track(raw), nil
}

// Close implements net.Listener. It is called by the HTTP server when it ends.
func (l *listener) Close() error {
	l.process.terminate()
	return l.Listener.Close()
}
