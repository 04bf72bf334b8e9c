package routing

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

const benchAnswerBytes = 1 << 10

// benchTransport returns a transport that keeps a connection open for every caller.
func benchTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 2048, MaxIdleConns: 4096, DisableCompression: true}
}

// passThrough is a minimal proxy without routing, the baseline of BenchmarkPath.
type passThrough struct {
	addr      string
	transport *http.Transport
}

func (p *passThrough) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	url := *in.URL
	url.Scheme, url.Host = "http", p.addr
	out := (&http.Request{
		Method:        in.Method,
		URL:           &url,
		Header:        in.Header,
		Body:          in.Body,
		ContentLength: in.ContentLength,
	}).WithContext(in.Context())
	resp, err := p.transport.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	_, _ = io.CopyBuffer(struct{ io.Writer }{w}, resp.Body, *buf)
}

var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBufferBytes)
	return &buf
}}

func benchProfile() profile.Profile {
	p := testProfile()
	p.Limits.Slots, p.Limits.Connections, p.Limits.Queue = 1024, 4096, 4096
	for i := range p.Rules {
		p.Rules[i].Timeout = 10 * time.Second
	}
	return p
}

// BenchmarkPath compares, in one run, calls directly to a backend server, through
// passThrough and through the router.
func BenchmarkPath(b *testing.B) {
	answer := bytes.Repeat([]byte("a"), benchAnswerBytes)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(answer)
	}))
	defer server.Close()
	bare := &passThrough{addr: hostPort(server), transport: benchTransport()}
	defer bare.transport.CloseIdleConnections()
	bareServer := httptest.NewServer(bare)
	defer bareServer.Close()
	f := newFixture(b, fixtureOptions{addr: hostPort(server), profile: benchProfile()})
	paths := []struct{ name, url string }{
		{"direct", server.URL}, {"bare", bareServer.URL}, {"router", f.http.URL},
	}
	for _, callers := range []int{1, 64, 512} {
		for _, way := range paths {
			b.Run(fmt.Sprintf("lookup/callers=%d/%s", callers, way.name), func(b *testing.B) {
				benchCalls(b, callers, http.MethodGet, way.url+"/stock/lookup/k", nil)
			})
		}
	}
	for _, way := range paths {
		b.Run("order/callers=64/"+way.name, func(b *testing.B) {
			benchCalls(b, 64, http.MethodPost, way.url+"/stock/order/k", []byte("wheelset"))
		})
	}
}

// benchCalls makes b.N calls from concurrent callers and reports the calls per
// second and their p50 and p99 latencies.
func benchCalls(b *testing.B, callers int, method, url string, body []byte) {
	client := &http.Client{Transport: benchTransport()}
	defer client.CloseIdleConnections()
	latencies := make([]*hdrhistogram.Histogram, callers)
	var left atomic.Int64
	left.Store(int64(b.N))
	b.ReportAllocs()
	b.ResetTimer()
	var wait sync.WaitGroup
	for i := range callers {
		h := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
		latencies[i] = h
		wait.Go(func() {
			for left.Add(-1) >= 0 {
				start := time.Now()
				if err := benchCall(client, method, url, body); err != nil {
					b.Error(err)
					return
				}
				_ = h.RecordValue(time.Since(start).Microseconds())
			}
		})
	}
	wait.Wait()
	b.StopTimer()
	all := latencies[0]
	for _, h := range latencies[1:] {
		all.Merge(h)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
	b.ReportMetric(float64(all.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(all.ValueAtQuantile(99)), "p99-µs")
}

func benchCall(client *http.Client, method, url string, body []byte) error {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequest(method, url, reader)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || n != benchAnswerBytes) {
		return fmt.Errorf("status %d with %d bytes", resp.StatusCode, n)
	}
	return err
}
