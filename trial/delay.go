package trial

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
)

const (
	pumpBuffer = 32 << 10
	pumpQueue  = 256 // chunks in transit in one direction
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// delayedDial returns a dial function whose connections deliver each byte after
// a one-way delay. Dialing takes a round trip, as it does with TCP.
func delayedDial(delay func(addr string) time.Duration) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		d := delay(addr)
		if err := wait.Sleep(ctx, 2*d); err != nil {
			return nil, err
		}
		var dialer net.Dialer
		raw, err := dialer.DialContext(ctx, network, addr)
		if err != nil || d == 0 {
			return raw, err
		}
		return newDelayConn(raw, d), nil
	}
}

// chunk is a piece of a stream and the time at which it arrives. Empty data
// marks the end of the stream.
type chunk struct {
	due  time.Time
	data []byte
}

// delayConn is the near end of a connection over a link with a delay. The
// bytes pass through a pipe, with one goroutine in each direction that delays them.
type delayConn struct {
	net.Conn // near end of the pipe
	raw      net.Conn
	far      net.Conn
	once     sync.Once
}

func newDelayConn(raw net.Conn, delay time.Duration) *delayConn {
	near, far := net.Pipe()
	c := &delayConn{Conn: near, raw: raw, far: far}
	go c.pump(far, raw, delay)
	go c.pump(raw, far, delay)
	return c
}

// LocalAddr implements net.Conn.
func (c *delayConn) LocalAddr() net.Addr { return c.raw.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *delayConn) RemoteAddr() net.Addr { return c.raw.RemoteAddr() }

// Close implements net.Conn. What was written before is still delivered, and
// the other end notices one delay later.
func (c *delayConn) Close() error { return c.Conn.Close() }

// pump copies bytes from one end to the other with the delay until either is
// closed, and then closes both.
func (c *delayConn) pump(from, to net.Conn, delay time.Duration) {
	queue := make(chan chunk, pumpQueue)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, pumpBuffer)
			n, err := from.Read(buf)
			if n > 0 {
				queue <- chunk{due: time.Now().Add(delay), data: buf[:n]}
			}
			if err != nil {
				queue <- chunk{due: time.Now().Add(delay)}
				return
			}
		}
	}()
	for piece := range queue {
		time.Sleep(time.Until(piece.due))
		if len(piece.data) == 0 {
			break
		}
		if _, err := to.Write(piece.data); err != nil {
			break
		}
	}
	c.closeBoth()
	for range queue {
		// The reader exits because both ends are closed; it may block on the queue until then.
	}
}

func (c *delayConn) closeBoth() {
	c.once.Do(func() {
		_ = c.raw.Close()
		_ = c.far.Close()
	})
}
