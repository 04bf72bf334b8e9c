package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
)

// Guards against a second limiter for one backend server: it was dropped while requests
// waited in its limiter or had been admitted, and was listed again.
func TestServerWithRequestsInItsLimiterIsKept(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		const limit = 3
		s := b.gateway.servers
		listed := b.control.View().Servers
		v := listed.Find("s1")
		first := s.get(v, limit)
		for range limit {
			require.NoError(t, first.limiter.acquire(t.Context(), 0, 0, alwaysEligible))
		}
		waited := make(chan error, 1)
		go func() { waited <- first.limiter.acquire(t.Context(), 0, time.Minute, alwaysEligible) }()
		time.Sleep(time.Millisecond)
		s.sweep(time.Now(), &directory.Snapshot{})
		require.Same(t, first, s.get(v, limit))
		for range limit + 1 {
			first.limiter.release(time.Millisecond, time.Second, nil)
		}
		require.NoError(t, <-waited)
		s.sweep(time.Now(), &directory.Snapshot{})
		require.NotSame(t, first, s.get(v, limit))
	})
}
