package routing

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// silentDialer opens connections that it can turn silent: writes then succeed
// without effect and reads never return data.
type silentDialer struct {
	mu    sync.Mutex
	conns []*silentConn
}

type silentConn struct {
	net.Conn
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (d *silentDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var plain net.Dialer
	raw, err := plain.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: raw, closed: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, c)
	return c, nil
}

// silence turns every open connection silent and returns their number.
func (d *silentDialer) silence() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		c.silent.Store(true)
	}
	return len(d.conns)
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() && err == nil {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestSilentConnectionsAreClosed makes several idle connections silent, as after
// a lost route to the server. The timeout of one request must close them all, so
// that later requests do not use them.
func TestSilentConnectionsAreClosed(t *testing.T) {
	for _, k := range requestCases {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			silentCase(t, k)
		})
	}
}

const (
	idleConns = 3
	// requestTimeout leaves enough time for an answer on a busy machine.
	requestTimeout = 3 * time.Second
)

func silentCase(t *testing.T, k requestCase) {
	s := newFaultServer(t, false)
	d := &silentDialer{}
	p := testProfile()
	for i := range p.Rules {
		p.Rules[i].Timeout = requestTimeout
	}
	f := newFixture(t, fixtureOptions{addr: s.addr(), profile: p, echoes: true, dial: d.dial})
	openIdle(t, s, f)
	require.GreaterOrEqual(t, d.silence(), idleConns)

	order := nextOrder()
	outcome, _ := k.call(t, f, order)
	require.Equal(t, fault.Unknown, outcome)
	require.Zero(t, s.runs(order))
	for range idleConns {
		next := nextOrder()
		outcome, body := k.call(t, f, next)
		require.Equal(t, fault.Answered, outcome, "a silent connection was reused")
		k.checkOutcome(t, s, pointNone, next, outcome, body)
	}
}

// openIdle leaves idleConns idle connections to s by sending concurrent requests.
func openIdle(t *testing.T, s *faultServer, f *fixture) {
	s.overlap.Add(idleConns)
	s.mu.Lock()
	s.overlapping = true
	s.mu.Unlock()
	var wait sync.WaitGroup
	for range idleConns {
		wait.Go(func() {
			resp, err := http.Get(f.http.URL + "/stock/lookup/k")
			if err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	wait.Wait()
	s.mu.Lock()
	s.overlapping = false
	s.mu.Unlock()
}
