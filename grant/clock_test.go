package grant

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/routing"
	"github.com/lacewingsaddle/lacewingsaddle/standin/keyserver"
)

// pausableServer forwards messages to the stand-in server, which checks grants by its
// own clock. Once armed, it pauses when the next full grant arrives; that grant stays
// unread, and later messages are lost.
type pausableServer struct {
	mu      sync.Mutex
	server  *keyserver.Server
	armed   bool
	pending *http.Request
}

// RoundTrip implements http.RoundTripper.
func (s *pausableServer) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(delay)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r = r.Clone(context.WithoutCancel(r.Context()))
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.armed && s.pending == nil && bytes.Contains(body, []byte("shards")) {
		s.pending = r
	}
	if s.pending != nil {
		return nil, errors.New("no answer")
	}
	return keyserverAnswer(s.server, r), nil
}

func (s *pausableServer) arm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = true
}

// resume lets the server read the pending grant.
func (s *pausableServer) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	keyserverAnswer(s.server, s.pending)
}

func (s *pausableServer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server = newKeyserver()
}

func newKeyserver() *keyserver.Server {
	return keyserver.New(keyserver.Config{ID: "x", Traits: keyserver.Traits{ChecksGrants: true}})
}

// A full grant that reaches a server just before a pause is read long after its lease
// has ended. The server must see on its own clock that the grant has expired.
func TestGrantReadAfterAPauseHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := newSource("a", "x")
		src.route(5, "x")
		x := &pausableServer{server: newKeyserver()}
		k := New(src, x)
		k.Start()
		time.Sleep(time.Second)
		require.True(t, holdsShard(x.server, 0, 5))

		x.arm()
		src.route(6, "x", "x") // makes a full grant due
		time.Sleep(100 * time.Millisecond)
		src.mu.Lock()
		src.renewLease = false // the host's view lease is no longer renewed
		src.mu.Unlock()
		time.Sleep(2 * time.Second)
		require.NotNil(t, x.pending)
		x.resume()
		require.False(t, holdsShard(x.server, 0, 6))
		require.Zero(t, k.OutstandingUntil("s", 0, ownership.MakeToken(7, 0)))
		k.Stop()
	})
}

// A restarted server has another clock. The host must learn it before it sends the
// full grant again.
func TestRestartedServerIsAskedForItsClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := newSource("a", "x")
		src.route(5, "x")
		x := &pausableServer{server: newKeyserver()}
		k := New(src, x)
		k.Start()
		time.Sleep(time.Second)
		require.True(t, holdsShard(x.server, 0, 5))
		x.restart()
		time.Sleep(500 * time.Millisecond)
		require.True(t, holdsShard(x.server, 0, 5))
		k.Stop()
	})
}

func TestEndOnTheServersClock(t *testing.T) {
	c := &clock{boot: "b", millis: 1000, at: ownership.Instant(time.Minute)}
	require.Equal(t, int64(1980), c.endOf(ownership.Instant(time.Minute+time.Second)), "a fiftieth is subtracted for clock drift")
}

// keyserverAnswer returns the stand-in server's answer to a message.
func keyserverAnswer(s *keyserver.Server, r *http.Request) *http.Response {
	rec := httptest.NewRecorder()
	s.ServeHTTP(rec, r)
	return rec.Result()
}

// holdsShard reports whether the server runs a request for a shard with the token of
// an active offset.
func holdsShard(s *keyserver.Server, shard int, active ownership.Offset) bool {
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.Header.Set(routing.HeaderShard, strconv.Itoa(shard))
	r.Header.Set(routing.HeaderToken, strconv.FormatUint(uint64(ownership.MakeToken(active, 0)), 10))
	rec := httptest.NewRecorder()
	s.ServeHTTP(rec, r)
	return rec.Code == http.StatusOK && rec.Header().Get(routing.HeaderNotRun) == ""
}
