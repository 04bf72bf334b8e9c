package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
	"github.com/lacewingsaddle/lacewingsaddle/logsink"
)

// recordLog records the gateway's log. The function that it returns lists the
// messages logged so far, in order.
func (b *testGateway) recordLog() func() []string {
	core, logs := observer.New(zapcore.InfoLevel)
	b.gateway.logger = zap.New(core)
	return func() []string {
		var out []string
		for _, e := range logs.All() {
			out = append(out, strings.TrimPrefix(e.Message, "gateway: "))
		}
		return out
	}
}

// requestID returns the id of a request that is sampled, or of one that is not.
func requestID(isSampled bool) string {
	for i := 0; ; i++ {
		if id := fmt.Sprint("r", i); sampled(id) == isSampled {
			return id
		}
	}
}

// Every decision on a request is logged; a request without trouble logs nothing
// unless it is sampled.
func TestEveryDecisionWritesItsLine(t *testing.T) {
	late := func(b *testGateway) {
		b.servers["s1"] = func(conn net.Conn, req *http.Request) bool {
			time.Sleep(900 * time.Millisecond) // the target is 600
			return b.echo(conn, req)
		}
	}
	cases := []struct {
		name    string
		set     func(b *testGateway)
		method  string
		path    string
		sampled bool
		want    []string
	}{
		{"served", func(*testGateway) {}, "POST", "/book/1", false, nil},
		{"served, sampled", func(*testGateway) {}, "POST", "/book/1", true, []string{"request taken", "request sent", "request answered"}},
		{"late", late, "POST", "/book/1", false, []string{"request answered"}},
		{"no route", func(*testGateway) {}, "POST", "/none/1", false, []string{"request not answered"}},
		{"no owner", func(b *testGateway) { b.control.view.Owners = &keyrange.Map{} }, "POST", "/book/1", false, []string{"request not answered"}},
		{"shed, sent again, shed", func(b *testGateway) { b.servers["o1"], b.servers["o2"] = replyNotRun, replyNotRun }, "POST", "/order/1", false, []string{
			"send failed", "request is sent again", "send failed", "request is sent again", "send failed", "request is sent again",
			"send failed", "request is not sent again", "request not answered",
		}},
		{"budget spent", func(b *testGateway) {
			b.gateway.cfg.Budget = BudgetRule{Window: 10 * time.Second}
			b.servers["o1"], b.servers["o2"] = replyNotRun, replyNotRun
		}, "POST", "/order/1", false, []string{
			"send failed", "budget of second tries spent", "request is not sent again", "request not answered",
		}},
		{"failed by its server", func(b *testGateway) { b.servers["s1"] = failing(b) }, "POST", "/book/1", false, []string{"request answered"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withTestGateway(t, func(t *testing.T, b *testGateway) {
				c.set(b)
				lines := b.recordLog()
				b.send(c.method, c.path, requestID(c.sampled), "x")
				require.Equal(t, c.want, lines())
			})
		})
	}
}

// A response that does not reach the caller completely is logged too.
func TestAnswersThatDoNotArriveWriteTheirLine(t *testing.T) {
	long := strings.Repeat("x", 2<<20)
	cut := func(b *testGateway) backendFunc {
		return func(conn net.Conn, req *http.Request) bool {
			_, _ = io.Copy(io.Discard, req.Body) // the gateway's write must not block
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: ok\r\nContent-Length: %d\r\n\r\n%s",
				req.Header.Get("X-Id"), 3<<20, long) // the connection is closed anyway
			return false
		}
	}
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		b.servers["s1"] = cut(b)
		lines := b.recordLog()
		require.Nil(t, b.send("POST", "/book/1", requestID(false), "x"))
		require.Equal(t, []string{"answer broken off"}, lines())
	})
	withTestGateway(t, func(t *testing.T, b *testGateway) {
		lines := b.recordLog()
		req := httptest.NewRequest("POST", "/book/1", strings.NewReader("x"))
		ctx, leave := context.WithCancel(req.Context())
		defer leave()
		req = req.WithContext(ctx)
		req.Host = "shop.example"
		req.Header.Set("X-Id", requestID(false))
		req.Header.Set("X-Key", "77")
		b.servers["s1"] = func(conn net.Conn, req *http.Request) bool {
			leave()
			return waitForClose(conn)
		}
		require.Nil(t, b.do(req))
		require.Contains(t, lines(), "caller left")
	})
}

// blockedOutput blocks every write until open is closed.
type blockedOutput struct{ open chan struct{} }

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.open
	return len(p), nil
}

// A log output that blocks does not delay requests.
func TestBlockedLogDelaysNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t)
		defer b.close()
		out := &blockedOutput{open: make(chan struct{})}
		w := logsink.NewWriter(out)
		enc := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
		core := zapcore.NewCore(enc, w, zapcore.InfoLevel)
		b.gateway.logger = zap.New(logsink.NewCore(core, w, 1<<20, time.Now))
		start := time.Now()
		for range 3000 {
			require.Equal(t, http.StatusNotFound, b.send("GET", "/none/1", "r", "").Code)
		}
		require.Zero(t, time.Since(start))
		require.Positive(t, w.Dropped())
		close(out.open)
		w.Stop()
	})
}

// About one request in sampleEvery is sampled.
func TestSample(t *testing.T) {
	n := 0
	for i := range 32000 {
		if sampled(fmt.Sprintf("%016x", i*7919)) {
			n++
		}
	}
	require.InDelta(t, 32000/sampleEvery, n, 200)
}
