// Package upstream keeps connections to backend servers and performs one request
// and response exchange at a time on each of them.
//
// It distinguishes three outcomes: the request was certainly not sent, it was
// answered completely, or it may have run. It never retries a request itself.
package upstream

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/internal/connstate"
	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
)

// readBuffer is the size of a connection's read buffer, in bytes.
const readBuffer = 4 << 10

// resetGrace is how long, besides the round trip, a server may take to reset a
// connection that it has accepted.
const resetGrace = 2 * time.Millisecond

// conn is one connection to a backend server.
type conn struct {
	raw      net.Conn
	source   *limitedReader
	reader   *bufio.Reader // reads from source
	reused   bool          // an earlier request was answered on it
	lastUsed time.Time     // time of the last response, or of the dial
	expires  time.Time     // when the server may close it; zero if unknown
}

func newConn(raw net.Conn, now time.Time) *conn {
	source := &limitedReader{raw: raw}
	return &conn{raw: raw, source: source, reader: bufio.NewReaderSize(source, readBuffer), lastUsed: now}
}

// reusable reports whether an idle connection is open and has no bytes to read.
// Bytes on an idle connection belong to no request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return connstate.Of(c.raw) == connstate.Quiet
}

// staysOpen waits for d and reports whether a new connection is still open. A
// server resets connections beyond its limit as soon as it has accepted them, which
// is visible here one round trip after the connection was opened.
func (c *conn) staysOpen(ctx context.Context, d time.Duration) bool {
	_ = wait.Sleep(ctx, d) // the exchange itself detects that ctx has ended
	return c.reusable()
}

func (c *conn) close() { _ = c.raw.Close() } // a close error has no consequence
