package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/internal/pipenet"
)

// hang is a server that reads requests and never answers.
func hang(_ net.Conn, req *http.Request) bool {
	_, _ = io.Copy(io.Discard, req.Body) // the gateway's write must not block
	time.Sleep(time.Minute)
	return false
}

// Guards against requests that got neither an answer nor a refusal at the end of a planned
// stop: each is answered when its host gives it up, as "not run" only if it was not sent.
func TestRequestsGivenUpAtTheEndOfAStopAreAnswered(t *testing.T) {
	cases := []struct {
		name, path string
		setUp      func(b *testGateway)
		want       int
	}{
		{"booking at a slow server", "/book/1", func(*testGateway) {}, http.StatusGatewayTimeout},
		{"read at a slow server", "/look/1", func(*testGateway) {}, http.StatusGatewayTimeout},
		{"waiting for an owner", "/book/1", func(b *testGateway) { b.control.change(func(v *cluster.View) { v.Owners = nil }) }, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestGateway(t)
				b.servers["s1"] = hang
				defer b.close()
				c.setUp(b)
				got := make(chan *httptest.ResponseRecorder, 1)
				go func() { got <- b.send(http.MethodPost, c.path, "r1", "x") }()
				time.Sleep(50 * time.Millisecond) // the connection is open and the request sent
				begin := time.Now()
				require.True(t, b.gateway.RejectNew())
				require.EqualValues(t, 1, b.gateway.Active())
				b.gateway.CutOff()
				w := <-got
				require.NotNil(t, w)
				require.Equal(t, c.want, w.Code)
				require.Less(t, time.Since(begin), 10*time.Millisecond)
				require.Zero(t, b.gateway.Active())
				time.Sleep(time.Minute) // the server's goroutine ends
			})
		})
	}
}

// slowBody is a body whose end arrives when arrived is closed.
type slowBody struct{ arrived chan struct{} }

func (b slowBody) Read([]byte) (int, error) {
	<-b.arrived
	return 0, io.EOF
}

// A request whose body ends after the host has begun to refuse requests is refused as not
// run: its server might not answer within the grace period.
func TestRequestWhoseBodyEndsAfterTheRefusalIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t)
		defer b.close()
		body := slowBody{make(chan struct{})}
		req := httptest.NewRequest(http.MethodPost, "/order/1", io.MultiReader(bytes.NewBufferString("half"), body))
		req.Host, req.ContentLength = "shop.example", -1
		req.Header.Set("X-Id", "r1")
		got := make(chan *httptest.ResponseRecorder, 1)
		go func() { got <- b.do(req) }()
		synctest.Wait()
		require.True(t, b.gateway.RejectNew())
		require.False(t, b.gateway.RejectNew())
		close(body.arrived)
		require.Equal(t, http.StatusServiceUnavailable, (<-got).Code)
		require.Zero(t, b.runCount("r1"))
	})
}

// A request of which half a body has arrived when its host gives it up is refused, not
// dropped: the end of the read looks to net/http as if its caller had left.
func TestRequestWithHalfABodyAtTheEndOfAStopIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t)
		defer b.close()
		network := pipenet.New()
		lis := network.Listen()
		server := &http.Server{Handler: b.gateway}
		go func() { _ = server.Serve(lis) }() // returns with Close
		defer server.Close()
		caller, err := network.Dial(t.Context(), "tcp", lis.Addr().String())
		require.NoError(t, err)
		defer caller.Close()
		_, err = io.WriteString(caller, "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nx")
		require.NoError(t, err)
		synctest.Wait()
		b.gateway.Stop()
		require.True(t, b.gateway.RejectNew())
		b.gateway.CutOff()
		resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
		require.NoError(t, err)
		defer resp.Body.Close()
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Zero(t, b.runCount("r1"))
	})
}

func TestLastActive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newActiveRequests()
		require.Zero(t, a.lastActive(time.Now()))
		q := &request{}
		a.add(q)
		time.Sleep(time.Second)
		require.Equal(t, time.Now(), a.lastActive(time.Now()))
		a.remove(q)
		ended := time.Now()
		time.Sleep(time.Second)
		require.Equal(t, ended, a.lastActive(time.Now()))
	})
}
