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

// realServer passes messages on to the stand-in, which judges grants by its own
// clock. Once armed, it is paused by the next whole grant, which waits to be read;
// later messages are lost.
type realServer struct {
	mu     sync.Mutex
	server *keyserver.Server
	armed  bool
	waits  *http.Request
}

// RoundTrip implements http.RoundTripper.
func (s *realServer) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(delay)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r = r.Clone(context.WithoutCancel(r.Context()))
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.armed && s.waits == nil && bytes.Contains(body, []byte("shards")) {
		s.waits = r
	}
	if s.waits != nil {
		return nil, errors.New("no answer")
	}
	return keyserverAnswer(s.server, r), nil
}

func (s *realServer) arm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = true
}

// thaw lets the server read what waits.
func (s *realServer) thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	keyserverAnswer(s.server, s.waits)
}

func (s *realServer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server = newKeyserver()
}

func newKeyserver() *keyserver.Server {
	return keyserver.New(keyserver.Config{ID: "x", Traits: keyserver.Traits{ChecksGrants: true}})
}

// A whole grant that reaches a server just before it is paused is read long after
// its lease: it has ended by the server's own clock then.
func TestGrantReadAfterAPauseHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := newSource("a", "x")
		src.route(5, "x")
		x := &realServer{server: newKeyserver()}
		k := New(src, x)
		k.Start()
		time.Sleep(time.Second)
		require.True(t, holdsShard(x.server, 0, 5))

		x.arm()
		src.route(6, "x", "x") // a whole grant is due
		time.Sleep(100 * time.Millisecond)
		src.mu.Lock()
		src.renews = false // the host loses its view lease
		src.mu.Unlock()
		time.Sleep(2 * time.Second)
		require.NotNil(t, x.waits)
		x.thaw()
		require.False(t, holdsShard(x.server, 0, 6))
		require.Zero(t, k.OutstandingUntil("s", 0, ownership.MakeToken(7, 0)))
		k.Stop()
	})
}

// A server that was restarted has another clock: it is asked for that first.
func TestRestartedServerIsAskedForItsClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := newSource("a", "x")
		src.route(5, "x")
		x := &realServer{server: newKeyserver()}
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
	require.Equal(t, int64(1980), c.endOf(ownership.Instant(time.Minute+time.Second)), "a fiftieth is left out")
}

// keyserverAnswer lets the stand-in answer a message.
func keyserverAnswer(s *keyserver.Server, r *http.Request) *http.Response {
	rec := httptest.NewRecorder()
	s.ServeHTTP(rec, r)
	return rec.Result()
}

// holdsShard reports whether the server runs a request for a shard under the token
// of an active offset.
func holdsShard(s *keyserver.Server, shard int, active ownership.Offset) bool {
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.Header.Set(routing.HeaderShard, strconv.Itoa(shard))
	r.Header.Set(routing.HeaderToken, strconv.FormatUint(uint64(ownership.MakeToken(active, 0)), 10))
	rec := httptest.NewRecorder()
	s.ServeHTTP(rec, r)
	return rec.Code == http.StatusOK && rec.Header().Get(routing.HeaderNotRun) == ""
}
