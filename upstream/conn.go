// Package upstream keeps connections to backend servers and exchanges one
// request for one whole answer on them.
//
// It tells three ends apart: the request was certainly not handed over, it was
// answered, or it may have run. It never sends a request twice by itself.
package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
)

// readBuffer is the size of a connection's read buffer, in bytes.
const readBuffer = 4 << 10

// resetGrace is how long a server may take to reset a connection that it accepts,
// besides the round trip.
const resetGrace = 2 * time.Millisecond

// conn is one connection to a backend server.
type conn struct {
	raw      net.Conn
	reader   *bufio.Reader
	lastUsed time.Time // of the last answer, or of the opening
	expires  time.Time // when the server may close it; zero when it did not say
}

func newConn(raw net.Conn, now time.Time) *conn {
	return &conn{raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), lastUsed: now}
}

// reusable reports whether the idle connection is open and holds no bytes. Bytes on
// an idle connection belong to no request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	var b [1]byte
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// staysOpen waits for d and reports whether the new connection is still open. A
// server resets connections beyond its cap as soon as it has accepted them, which
// shows here one round trip after the connection was opened.
func (c *conn) staysOpen(ctx context.Context, d time.Duration) bool {
	_ = wait.Sleep(ctx, d) // the exchange itself notices that ctx has ended
	return c.reusable()
}

func (c *conn) close() { _ = c.raw.Close() } // nothing depends on how it closes
