package httpdrain

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// lastLook is how long a connection that ends waits for bytes that have arrived, where
// the operating system can't tell at once.
const lastLook = time.Millisecond

// past is a deadline that has expired.
var past = time.Unix(1, 0)

// conn is a caller's connection.
//
// Invariant: a connection whose end was asked for reports io.EOF only if no byte of a
// request was read since its last response, and none has arrived.
type conn struct {
	net.Conn
	release func() // gives up the connection's place under the limit

	mu       sync.Mutex
	start    []byte    // the first bytes that were read, up to the length of http2Start
	idle     bool      // no byte of a request was read since the last response
	since    time.Time // when it was accepted or became idle
	handled  time.Time // when the handler of its present request returned; zero before
	ending   bool      // reads end unless bytes have arrived
	deadline time.Time // of reads, as net/http wants it
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && isTimeout(err) && c.isEnding() {
		n, err = c.readLast(p)
	}
	if n > 0 {
		c.noteStart(p[:n])
		c.markBusy()
	}
	return n, err
}

// http2Start begins the preface of HTTP/2. No method of HTTP/1 begins with it.
const http2Start = "PRI "

// noteStart keeps the first bytes that are read, which show the protocol.
func (c *conn) noteStart(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing := len(http2Start) - len(c.start)
	c.start = append(c.start, p[:min(missing, len(p))]...)
}

// isHTTP2 reports whether the connection is known to carry HTTP/2. c.mu must be held.
func (c *conn) isHTTP2() bool { return string(c.start) == http2Start }

// carriesHTTP2 reports whether the connection is known to carry HTTP/2.
func (c *conn) carriesHTTP2() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isHTTP2()
}

// readLast reads the bytes that have arrived, or returns io.EOF.
func (c *conn) readLast(p []byte) (int, error) {
	if sys, ok := c.Conn.(syscall.Conn); ok {
		if raw, err := sys.SyscallConn(); err == nil {
			_ = c.Conn.SetReadDeadline(time.Time{}) // an error shows in the read
			return readNow(raw, p)
		}
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lastLook)) // an error shows in the read
	n, err := c.Conn.Read(p)
	if n == 0 && isTimeout(err) {
		return 0, io.EOF
	}
	return n, err
}

// readNow reads without waiting. It returns io.EOF if nothing has arrived.
func readNow(raw syscall.RawConn, p []byte) (int, error) {
	var n int
	var readErr error
	err := raw.Read(func(fd uintptr) bool {
		for readErr = unix.EINTR; readErr == unix.EINTR; {
			n, readErr = unix.Read(int(fd), p)
		}
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case readErr == unix.EAGAIN, readErr == nil && n <= 0:
		return 0, io.EOF
	case readErr != nil:
		return 0, readErr
	}
	return n, nil
}

// SetReadDeadline implements net.Conn. It takes effect when the connection isn't ending.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// CloseWrite closes the writing side, as net/http does before it drops the rest of a
// request's body.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger has Close reset the connection if sec is 0, as for TCP.
func (c *conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// endIfIdleSince ends the connection if it has been without a request since before t. An
// HTTP/2 connection isn't ended that way.
func (c *conn) endIfIdleSince(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.ending || c.since.After(t) || c.isHTTP2() {
		return
	}
	c.ending = true
	_ = c.Conn.SetReadDeadline(past) // fails only on a closed connection
}

// endBodyIfHandledBefore ends the read of the rest of a request's body if the request's
// handler returned before t. net/http waits for that rest without a limit, in part before
// it sends the response. An HTTP/2 connection may have other requests.
func (c *conn) endBodyIfHandledBefore(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handled.IsZero() || c.handled.After(t) || c.isHTTP2() {
		return
	}
	_ = c.Conn.SetReadDeadline(past) // fails only on a closed connection
}

// markHandled records that the handler of a request has returned.
func (c *conn) markHandled(now time.Time) {
	c.mu.Lock()
	c.handled = now
	c.mu.Unlock()
}

// isEnding reports whether the connection's end was asked for.
func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// markBusy records that bytes of a request were read, or that its head is complete.
func (c *conn) markBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	if c.ending {
		c.ending = false
		_ = c.Conn.SetReadDeadline(c.deadline) // an error shows in the next read
	}
}

// markIdle records that a response was sent and no byte of a further request was read.
func (c *conn) markIdle(now time.Time) {
	c.mu.Lock()
	c.idle = true
	c.since = now
	c.handled = time.Time{}
	c.mu.Unlock()
}
