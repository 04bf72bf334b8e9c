package routing

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

// startServer starts an HTTP backend server for a test.
func startServer(t testing.TB, h http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func get(t *testing.T, url string, header http.Header) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(body)
}

func TestHeadersEndAtEachHop(t *testing.T) {
	var seen http.Header
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set("Connection", "X-Inner")
		w.Header().Set("X-Inner", "1")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set(HeaderOutcome, "not-run")
		w.Header().Set("X-Plain", "2")
	})
	f := newFixture(t, fixtureOptions{addr: hostPort(s), profile: testProfile()})
	resp, _ := get(t, f.http.URL+"/stock/lookup/k", http.Header{
		"Connection":     {"X-Outer, keep-alive"},
		"X-Outer":        {"1"},
		"Te":             {"trailers"},
		HeaderToken:      {"999999"},
		HeaderShard:      {"3"},
		HeaderDeadlineMS: {"200"},
		"Forwarded":      {"for=192.0.2.1"},
		"X-Plain":        {"3"},
	})
	require.Empty(t, seen["X-Outer"])
	require.Empty(t, seen["Te"])
	require.Equal(t, []string{"512"}, seen[HeaderToken])
	require.Equal(t, []string{"3"}, seen["X-Plain"])
	require.Len(t, seen["Forwarded"], 2)
	require.Contains(t, seen["Forwarded"][1], "for=127.0.0.1")
	require.NotEmpty(t, seen[HeaderDeadlineMS])
	require.LessOrEqual(t, len(seen.Get(HeaderDeadlineMS)), 3, "the caller's shorter deadline is passed on")
	require.Empty(t, resp.Header["X-Inner"])
	require.Equal(t, "2", resp.Header.Get("X-Plain"))
	require.Equal(t, string(fault.Answered), resp.Header.Get(HeaderOutcome))
}

func TestRedirectsAreNotFollowed(t *testing.T) {
	var calls atomic.Int64
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("Location", "/stock/lookup/other")
		w.WriteHeader(http.StatusTemporaryRedirect)
	})
	f := newFixture(t, fixtureOptions{addr: hostPort(s), profile: testProfile()})
	resp, _ := get(t, f.http.URL+"/stock/lookup/k", nil)
	require.Equal(t, http.StatusTemporaryRedirect, resp.StatusCode)
	require.EqualValues(t, 1, calls.Load())
}

// withHeldShards returns v with every shard of testService moving to another server.
func withHeldShards(v ownership.View) ownership.View {
	v.Services = map[string]*ownership.ServiceView{testService: routes(8, ownership.Route{Held: true})}
	return v
}

func TestRequestsForHeldShardsGoOnWithTheNewRoute(t *testing.T) {
	token := make(chan string, 1)
	s := startServer(t, func(_ http.ResponseWriter, r *http.Request) { token <- r.Header.Get(HeaderToken) })
	p := testProfile()
	p.Rules[1].Timeout = time.Minute
	f := newFixture(t, fixtureOptions{addr: hostPort(s), profile: p})
	f.source.setView(withHeldShards(f.source.view()))
	done := make(chan fault.Outcome)
	go func() {
		resp, err := http.Post(f.http.URL+"/stock/order/k", "text/plain", strings.NewReader("x"))
		if err != nil {
			done <- fault.Unknown
			return
		}
		_ = resp.Body.Close()
		done <- fault.Outcome(resp.Header.Get(HeaderOutcome))
	}()
	waiting := &f.router.matcherOf(f.source.Snapshot().Catalog).targets[0].queue.waiting
	require.Eventually(t, func() bool { return waiting.Load() == 1 }, time.Minute, time.Millisecond)
	v := f.source.view()
	v.Services = map[string]*ownership.ServiceView{testService: routes(8, ownership.Route{Server: "server-0", Token: 1024})}
	f.source.setView(v)
	require.Equal(t, fault.Answered, <-done)
	require.Equal(t, "1024", <-token)
}

func TestHeldShardTimesOutAsMoving(t *testing.T) {
	s := newFaultServer(t, false)
	f := newFixture(t, fixtureOptions{addr: s.addr(), profile: testProfile()})
	f.source.setView(withHeldShards(f.source.view()))
	resp, body := get(t, f.http.URL+"/stock/order/k", nil)
	require.Equal(t, string(fault.NotRun), resp.Header.Get(HeaderOutcome))
	require.Contains(t, body, string(fault.Moving))
}

// TestLeaseAndRouteAreReadLast ends the lease, or moves the shard, at each of the
// router's snapshot reads. An order must not be sent after that unless its first
// byte already was.
func TestLeaseAndRouteAreReadLast(t *testing.T) {
	changes := map[string]func(v ownership.View) ownership.View{
		"lease ends":  func(v ownership.View) ownership.View { v.LeaseUntil = 0; return v },
		"shard moves": withHeldShards,
	}
	const reads = 7 // more than the router makes for one order
	for name, change := range changes {
		for read := 1; read <= reads; read++ {
			t.Run(fmt.Sprintf("%s at read %d", name, read), func(t *testing.T) {
				t.Parallel()
				changeAtRead(t, change, read)
			})
		}
	}
}

func changeAtRead(t *testing.T, change func(v ownership.View) ownership.View, read int) {
	s := newFaultServer(t, false)
	f := newFixture(t, fixtureOptions{addr: s.addr(), profile: testProfile(), echoes: true})
	var n atomic.Int64
	var sentBefore atomic.Bool
	f.source.onSnapshot = func() {
		if n.Add(1) == int64(read) {
			sentBefore.Store(s.runs("order") > 0)
			f.source.setView(change(f.source.view()))
		}
	}
	k := requestCases[1]
	outcome, body := k.call(t, f, "order")
	k.checkOutcome(t, s, pointAccepted, "order", outcome, body)
	changed := n.Load() >= int64(read)
	if !changed || sentBefore.Load() {
		require.Equal(t, fault.Answered, outcome)
		return
	}
	// The last read comes immediately before the first byte. It may miss a change
	// made during the read, since the snapshot was loaded before.
	last := n.Load() == int64(read)
	require.True(t, outcome == fault.NotRun || last)
	if outcome == fault.NotRun {
		require.Zero(t, s.runs("order"))
	}
}

func TestInFlightReportsOutstandingRequests(t *testing.T) {
	s := newFaultServer(t, false)
	f := newFixture(t, fixtureOptions{addr: s.addr(), profile: testProfile(), echoes: true})
	shard := ownership.ShardOf("k", 8)
	until := func(below ownership.Token) ownership.Instant {
		return f.router.InFlight().OutstandingUntil(testService, shard, below)
	}
	k := requestCases[1]
	outcome, _ := k.call(t, f, nextOrder())
	require.Equal(t, fault.Answered, outcome)
	require.Zero(t, until(1024))

	s.arm(pointSilent)
	started := f.source.Now()
	outcome, _ = k.call(t, f, nextOrder())
	require.Equal(t, fault.Unknown, outcome)
	require.Greater(t, until(1024), started)
	require.LessOrEqual(t, until(1024), f.source.Now())
	require.Zero(t, until(512), "only requests with lower tokens count")
	require.Zero(t, f.router.InFlight().OutstandingUntil("other", shard, 1024))
}

func TestLongAnswersAreStreamedAndCutOffsShow(t *testing.T) {
	const size = 64 << 10
	for _, cut := range []bool{false, true} {
		s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(size))
			n := size
			if cut {
				n = size / 2
			}
			_, _ = w.Write(make([]byte, n))
			if cut {
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		})
		f := newFixture(t, fixtureOptions{addr: hostPort(s), profile: testProfile()})
		f.http.Config.ErrorLog = nil
		resp, err := http.Get(f.http.URL + "/stock/lookup/k")
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		require.Equal(t, cut, err != nil)
		if !cut {
			require.Len(t, body, size)
		}
	}
}

// TestUploadsAreNotBuffered waits until the server has the first part of an
// upload whose rest is not sent yet, and then closes the caller's connection.
func TestUploadsAreNotBuffered(t *testing.T) {
	first := make(chan struct{})
	ended := make(chan error, 1)
	s := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		part := make([]byte, 4)
		_, err := io.ReadFull(r.Body, part)
		close(first)
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		ended <- err
	})
	p := testProfile()
	p.Rules[2].Timeout = time.Minute
	f := newFixture(t, fixtureOptions{addr: hostPort(s), profile: p})
	c, err := net.Dial("tcp", hostPort(f.http))
	require.NoError(t, err)
	_, err = io.WriteString(c, "PUT /stock/upload/k HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\nscan")
	require.NoError(t, err)
	<-first
	_ = c.Close()
	require.Error(t, <-ended, "the server must see that the upload is truncated")
}

func TestCallersCancellationReachesTheServer(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	s := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		close(ended)
	})
	p := testProfile()
	p.Rules[0].Timeout = time.Minute
	f := newFixture(t, fixtureOptions{addr: hostPort(s), profile: p})
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.http.URL+"/stock/lookup/k", nil)
	require.NoError(t, err)
	go func() {
		<-begun
		cancel()
	}()
	_, err = http.DefaultClient.Do(req)
	require.Error(t, err)
	<-ended
}

// TestCallersBounds sends malformed and oversized requests as raw bytes. None may
// reach the backend server.
func TestCallersBounds(t *testing.T) {
	s := newFaultServer(t, false)
	p := testProfile()
	p.Limits.BodyBytes = 10
	f := newFixture(t, fixtureOptions{addr: s.addr(), profile: p})
	cases := map[string]string{
		"two lengths":          "POST /stock/order/k HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"length and chunked":   "POST /stock/order/k HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"bad length":           "POST /stock/order/k HTTP/1.1\r\nHost: x\r\nContent-Length: +1\r\n\r\na",
		"space before colon":   "POST /stock/order/k HTTP/1.1\r\nHost: x\r\nContent-Length : 1\r\n\r\na",
		"bad chunk size":       "POST /stock/order/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\na\r\n0\r\n\r\n",
		"two hosts":            "POST /stock/order/k HTTP/1.1\r\nHost: x\r\nHost: y\r\nContent-Length: 0\r\n\r\n",
		"body over the limit":  "POST /stock/order/k HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n12345678901",
		"chunks over limit":    "POST /stock/order/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n12345678901\r\n0\r\n\r\n",
		"body shorter":         "POST /stock/order/k HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n1",
		"header over limit":    "POST /stock/order/k HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 2*maxCallerHeader) + "\r\n\r\n",
		"dot segment":          "POST /stock/x/../order/k HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
		"escaped dot segment":  "POST /stock/order/%2e%2E/k HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
		"empty segment":        "POST /stock//order/k HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
		"prefix inside a word": "POST /stockorder/k HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
		"no key":               "POST /stock/order HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
		"connect":              "CONNECT stock:80 HTTP/1.1\r\nHost: x\r\n\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", hostPort(f.http))
			require.NoError(t, err)
			defer c.Close()
			_, _ = io.WriteString(c, text)
			_ = c.(*net.TCPConn).CloseWrite()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				require.GreaterOrEqual(t, resp.StatusCode, http.StatusBadRequest)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			require.Empty(t, s.ledger)
		})
	}
}

func TestHTTP2WithoutTLS(t *testing.T) {
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	f := newFixture(t, fixtureOptions{addr: hostPort(s), profile: testProfile()})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodPost, f.http.URL+"/stock/order/k", strings.NewReader("x"))
	require.NoError(t, err)
	resp, err := transport.RoundTrip(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, 2, resp.ProtoMajor)
	require.Equal(t, string(fault.Answered), resp.Header.Get(HeaderOutcome))
}

func TestBodyKey(t *testing.T) {
	k := profile.Key{From: profile.KeyFromBody, Name: "item"}
	good := map[string]string{
		`{"item":"a"}`:                   "a",
		`{"x":{"item":"b"},"item":"a"}`:  "a",
		`{"item":12.50}`:                 "12.50",
		`{"item":"\u0061"}`:              "a",
		` {"y":[1,{"item":2}],"item":7}`: "7",
	}
	for body, want := range good {
		key, err := extractKey(k, nil, "", []byte(body))
		require.NoError(t, err, body)
		require.Equal(t, want, key)
	}
	bad := []string{
		``, `[]`, `{"item":"a","item":"b"}`, `{"item":"a","Item":"b"}`, `{"item":null}`, `{"item":{}}`,
		`{"item":""}`, `{"x":1}`, `{"item":"a"}{}`, `{"item":"a"`, `{"item":true}`,
	}
	for _, body := range bad {
		_, err := extractKey(k, nil, "", []byte(body))
		require.Error(t, err, body)
	}
}
