package backend

import (
	"net"
	"sync/atomic"
	"time"
)

// conn is a connection to a backend server. It tracks whether bytes were handed to
// the kernel and when data last arrived from the server. At most one request uses
// it at a time.
type conn struct {
	net.Conn
	server        *Server
	writesStarted atomic.Uint64 // calls of Write
	emptyWrites   atomic.Uint64 // calls of Write that handed no byte to the kernel
	lastRead      atomic.Int64  // time of the last byte read, or of the dial, in Unix ns
	inUse         atomic.Bool   // a request uses the connection
	sealed        atomic.Bool   // no further byte may be written
	closed        atomic.Bool
	// check is called before the first write of a request; an error prevents the
	// write. It is set before the request is passed to the writing goroutine.
	check func() error
}

func newConn(raw net.Conn, s *Server) *conn {
	c := &conn{Conn: raw, server: s}
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

// Write implements net.Conn. The counter is incremented before sealed is read, so
// every write is either counted by seal or refused here.
func (c *conn) Write(p []byte) (int, error) {
	c.writesStarted.Add(1)
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	if err := c.runCheck(); err != nil {
		c.emptyWrites.Add(1)
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.emptyWrites.Add(1)
	}
	return n, err
}

// runCheck calls check until it has succeeded once for the current request.
func (c *conn) runCheck() error {
	check := c.check
	if check == nil {
		return nil
	}
	if err := check(); err != nil {
		return err
	}
	c.check = nil
	return nil
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.server.removeConn(c)
	}
	return c.Conn.Close()
}

// writes returns how many writes may have handed bytes to the kernel.
func (c *conn) writes() uint64 {
	empty := c.emptyWrites.Load()
	return c.writesStarted.Load() - empty
}

// seal blocks further writes, closes the connection and returns the final number
// of writes. A write that is refused meanwhile may be counted, so the result may say
// "sent" for a request that was not, but never the reverse.
func (c *conn) seal() uint64 {
	c.sealed.Store(true)
	n := c.writes()
	_ = c.Close()
	return n
}
