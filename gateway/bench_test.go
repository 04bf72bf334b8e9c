package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newBenchmarkGateway returns a test gateway that runs in real time.
func newBenchmarkGateway(b *testing.B) *testGateway {
	t := &testing.T{}
	w := newTestGateway(t)
	b.Cleanup(w.close)
	return w
}

// A request through the gateway and a fake server, without net/http in front.
func BenchmarkGateway(b *testing.B) {
	w := newBenchmarkGateway(b)
	for b.Loop() {
		if w.send("GET", "/look/1", "id", "").Code != http.StatusOK {
			b.Fatal("not answered")
		}
	}
}

// The same behind a net/http server, over a loopback connection.
func BenchmarkGatewayBehindHTTP(b *testing.B) {
	w := newBenchmarkGateway(b)
	server := httptest.NewServer(w.gateway)
	defer server.Close()
	benchmarkHTTP(b, server.URL)
}

// The cost of net/http and its client alone: a handler that answers immediately.
func BenchmarkHTTPAlone(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "/look/1") // the client counts
	}))
	defer server.Close()
	benchmarkHTTP(b, server.URL)
}

func benchmarkHTTP(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for b.Loop() {
		req, err := http.NewRequest(http.MethodGet, url+"/look/1", nil)
		if err != nil {
			b.Fatal(err)
		}
		req.Host = "shop.example"
		req.Header.Set("X-Id", "id")
		req.Header.Set("X-Key", "77")
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || !strings.Contains(string(body), "/look") {
			b.Fatal("not answered", err)
		}
		_ = resp.Body.Close() // all of it was read
	}
}

// The cost of one log line.
func BenchmarkLogLine(b *testing.B) {
	enc := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	log := zap.New(zapcore.NewCore(enc, zapcore.AddSync(io.Discard), zapcore.InfoLevel))
	for b.Loop() {
		log.Info("gateway: send failed", zap.String("request", "id"), zap.String("server", "s"), zap.Int("send", 1))
	}
}
