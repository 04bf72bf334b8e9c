package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/cluster"
)

// limitKey limits the requests for the key that testGateway.send asks for.
func limitKey(b *testGateway, share float64) {
	b.control.change(func(v *cluster.View) {
		v.Admission = &assigner.Admission{Limits: []assigner.AdmissionLimit{{HotKey: assigner.HotKey{Service: "stock", Key: 77}, Share: share}}}
	})
}

// Of the requests for a hot key the told share is sent; the others are refused
// at once, as not run, with a time to come back.
func TestHotKeyGetsItsShare(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		limitKey(b, 0.1)
		start := time.Now()
		sent := 0
		for i := range 100 {
			id := fmt.Sprint(i)
			w := b.send("POST", "/book/1", id, "x")
			sent += b.runCount(id)
			if b.runCount(id) == 0 {
				require.Equal(t, http.StatusServiceUnavailable, w.Code)
				require.NotEmpty(t, w.Header().Get("Retry-After"))
			}
		}
		require.InDelta(t, 10, sent, 1)
		require.Less(t, time.Since(start), time.Second, "no request waits to be refused")
		require.Equal(t, 200, b.send("POST", "/order/1", "other", "x").Code, "other services are not limited")
		req := httptest.NewRequest("GET", "/look/1", nil)
		req.Host = "shop.example"
		req.Header.Set("X-Id", "another key")
		req.Header.Set("X-Key", "78")
		require.Equal(t, 200, b.do(req).Code, "other keys are not limited")
	})
}

// A limit does not outlive the assigner that set it.
func TestOldLimitsDoNotApply(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		limitKey(b, 0)
		b.control.mapAge = admissionLifetime + time.Second
		w := b.send("POST", "/book/1", "a", "x")
		require.Equal(t, 200, w.Code, w.Body.String())
	})
}

// A request is counted once among the admitted ones, also if its server sheds it and it
// is sent again.
func TestRetryIsNotCountedAgain(t *testing.T) {
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		sends := 0
		b.servers["s1"] = func(conn net.Conn, req *http.Request) bool {
			if sends++; sends == 1 {
				return replyNotRun(conn, req)
			}
			return b.echo(conn, req)
		}
		limitKey(b, 0.5)
		answered := 0
		for i := range 2 {
			if b.send("POST", "/book/1", fmt.Sprint(i), "x").Code == 200 {
				answered++
			}
		}
		require.Equal(t, 1, answered)
		require.Equal(t, 2, sends)
		require.Equal(t, 1, b.control.rejected["s1"])
	})
}
