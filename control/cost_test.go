package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/internal/fake"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/peer"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// costWindow is how long the cost of the control loops is measured.
const costWindow = 3 * time.Second

// countedConn counts the bytes written to a connection.
type countedConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// countedListener counts the bytes that its connections write.
type countedListener struct {
	net.Listener
	sent *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{Conn: c, sent: l.sent}, err
}

// BenchmarkControlCost runs the idle control loops of one cell over real loopback
// connections and reports CPU share, bytes sent to peers and memory per host.
func BenchmarkControlCost(b *testing.B) {
	rows := []struct{ members, servers, shards int }{
		{3, 20, 1024},
		{5, 20, 1024},
		{9, 20, 1024},
		{9, 20, 16384},
		{9, 200, 16384},
		{9, 1000, 16384},
		{9, 20, 65536},
	}
	for _, r := range rows {
		b.Run(fmt.Sprintf("members=%d/servers=%d/shards=%d", r.members, r.servers, r.shards), func(b *testing.B) {
			for b.Loop() {
				measureCost(b, r.members, r.servers, r.shards)
			}
		})
	}
}

func measureCost(b *testing.B, members, servers, shards int) {
	before := heapInUse()
	log := fake.NewLog(0)
	putCatalog(b, log, servers, shards)
	var sent atomic.Int64
	ctx, stop := context.WithCancel(b.Context())
	var loops []*Loop
	var clients []*peer.Client
	for i := range members {
		loop, client := startMeasured(ctx, b, log, &sent, i)
		loops, clients = append(loops, loop), append(clients, client)
	}
	for !allServe(loops) {
		time.Sleep(testInterval)
	}
	time.Sleep(time.Second)
	cpu, bytes, start := processorTime(b), sent.Load(), time.Now()
	time.Sleep(costWindow)
	seconds := time.Since(start).Seconds() * float64(members)
	b.ReportMetric(100*(processorTime(b)-cpu).Seconds()/seconds, "%core/host")
	b.ReportMetric(float64(sent.Load()-bytes)/seconds, "B/s/host")
	b.ReportMetric(float64(heapInUse()-before)/float64(members)/(1<<20), "MB/host")
	for i := range loops {
		loops[i].Stop()
		clients[i].Close()
	}
	stop()
}

func startMeasured(ctx context.Context, b *testing.B, log tlog.Log, sent *atomic.Int64, i int) (*Loop, *peer.Client) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	client := peer.NewClient(func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", addr)
		return countedConn{Conn: c, sent: sent}, err
	})
	name := fmt.Sprintf("host-%d", i)
	self := ownership.Member{ID: ownership.MemberID(name + "/1"), Host: name, Domain: "d", PeerAddr: lis.Addr().String()}
	loop := New(Config{Cell: "main", Machine: ownership.Config{
		Self: self, TTL: ownership.DefaultTTL, Round: ownership.DefaultRound, Margin: ownership.DefaultMargin,
	}}, log, client, zap.NewNop())
	server, err := peer.NewServer(loop)
	require.NoError(b, err)
	go func() { _ = server.Serve(ctx, countedListener{Listener: lis, sent: sent}) }()
	loop.Start()
	return loop, client
}

func putCatalog(b *testing.B, log *fake.Log, servers, shards int) {
	p := profile.Default("p")
	p.Key = &profile.Key{From: profile.KeyFromPath, Segment: 1}
	p.Ownership.Shards = shards
	p.Rules = []profile.Rule{{Methods: []string{http.MethodGet}, Kind: profile.Lookup, Timeout: time.Second, Idempotent: true}}
	s := profile.Service{Name: testService, Profile: "p", PathPrefix: "/", ChecksGrants: true}
	for i := range servers {
		addr := fmt.Sprintf("127.0.%d.%d:80", i/200, 1+i%200)
		s.Servers = append(s.Servers, profile.Server{ID: fmt.Sprintf("server-%d", i), Address: addr, Domain: fmt.Sprint(i % 3)})
	}
	records := []profile.Record{
		{ID: "1", Author: "test", Kind: profile.ProfileDocument, Name: "p", Profile: &p},
		{ID: "2", Author: "test", Kind: profile.ServiceDocument, Name: testService, Service: &s},
	}
	catalog := profile.NewCatalog()
	for i, r := range records {
		data, err := r.Encode()
		require.NoError(b, err)
		catalog, err = catalog.Apply(tlog.Offset(i+1), data)
		require.NoError(b, err)
		log.Put(tlog.ProfileStream, data)
	}
}

func allServe(loops []*Loop) bool {
	for _, l := range loops {
		if !serves(l) {
			return false
		}
	}
	return true
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}
