package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/fake"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

const (
	testService  = "stock"
	testInterval = 5 * time.Millisecond
	// testRetention is the log's retention in tests that expire records.
	testRetention = time.Minute
)

// cluster is a set of control loops over fakes.
type cluster struct {
	t     *testing.T
	log   *fake.Log
	net   *fake.Network
	loops []*Loop
	// severed cuts single hosts off from the log.
	severed  *severedLogs
	restarts int
}

// severedLogs is the set of hosts that are cut off from the log.
type severedLogs struct {
	mu  sync.Mutex
	off map[string]bool
}

func (s *severedLogs) sever(l *Loop) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.off[l.cfg.Machine.Self.Host] = true
	for _, f := range l.followers {
		f.interrupt()
	}
}

func (s *severedLogs) severed(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.off[host]
}

// hostLog is the log as one host reaches it.
type hostLog struct {
	tlog.Log
	host    string
	severed *severedLogs
}

func (h hostLog) Append(ctx context.Context, stream string, data []byte) (tlog.Offset, error) {
	if h.severed.severed(h.host) {
		return 0, fault.New(fault.LogUnavailable, "cut off")
	}
	return h.Log.Append(ctx, stream, data)
}

func (h hostLog) Read(ctx context.Context, stream string, from tlog.Offset, wait time.Duration) (tlog.Batch, error) {
	if h.severed.severed(h.host) {
		return tlog.Batch{}, fault.New(fault.LogUnavailable, "cut off")
	}
	return h.Log.Read(ctx, stream, from, wait)
}

// newCluster starts hosts spread over failure domains with a one-way network
// delay of oneWay between them.
func newCluster(t *testing.T, hosts, domains, servers int, oneWay time.Duration, seed uint64) *cluster {
	c := &cluster{t: t, log: fake.NewLog(oneWay), severed: &severedLogs{off: map[string]bool{}}}
	delay := func(from, to string) time.Duration {
		if from[:1] == to[:1] {
			return 100 * time.Microsecond
		}
		return oneWay
	}
	c.net = fake.NewNetwork(delay, seed)
	c.publish(domains, servers)
	for i := range hosts {
		c.start(i, i%domains, 1)
	}
	t.Cleanup(c.stop)
	return c
}

func (c *cluster) publish(domains, servers int) {
	p := profile.Default("p")
	p.Key = &profile.Key{From: profile.KeyFromPath, Segment: 1}
	p.Ownership.Shards = 64
	p.Rules = []profile.Rule{{Kind: profile.Order, Timeout: time.Second}}
	s := profile.Service{Name: testService, Profile: "p", PathPrefix: "/", ChecksGrants: true}
	for i := range servers {
		s.Servers = append(s.Servers, profile.Server{
			ID:      fmt.Sprintf("server-%d", i),
			Address: fmt.Sprintf("127.0.0.1:%d", 1000+i),
			Domain:  fmt.Sprintf("%d", i%domains),
		})
	}
	c.put(profile.Record{ID: "1", Author: "test", Kind: profile.ProfileDocument, Name: "p", Profile: &p})
	c.put(profile.Record{ID: "2", Author: "test", Kind: profile.ServiceDocument, Name: testService, Service: &s})
}

func (c *cluster) put(r profile.Record) {
	data, err := r.Encode()
	require.NoError(c.t, err)
	c.log.Put(tlog.ProfileStream, data)
}

func (c *cluster) start(i, domain, incarnation int) *Loop {
	addr := fmt.Sprintf("%d/%d", domain, i)
	self := ownership.Member{
		ID:       ownership.MemberID(fmt.Sprintf("host-%d/%d", i, incarnation)),
		Host:     fmt.Sprintf("host-%d", i),
		Domain:   fmt.Sprintf("%d", domain),
		PeerAddr: addr,
	}
	cfg := Config{Cell: "main", Retention: testRetention, Seeds: c.addrs(), Machine: ownership.Config{
		Self: self, TTL: ownership.DefaultTTL, Round: ownership.DefaultRound, Margin: ownership.DefaultMargin,
	}}
	loop := New(cfg, hostLog{Log: c.log, host: self.Host, severed: c.severed}, c.net.From(addr), zap.NewNop())
	c.net.Attach(addr, loop)
	loop.Start()
	c.loops = append(c.loops, loop)
	return loop
}

// addrs returns the peer addresses of the running hosts.
func (c *cluster) addrs() []string {
	var out []string
	for _, l := range c.loops {
		out = append(out, l.cfg.Machine.Self.PeerAddr)
	}
	return out
}

// crash stops a host without notice to the others.
func (c *cluster) crash(i int) {
	c.net.Attach(c.loops[i].cfg.Machine.Self.PeerAddr, nil)
	c.loops[i].Stop()
}

func (c *cluster) stop() {
	for _, l := range c.loops {
		l.Stop()
	}
}

// serves reports whether a host may send requests for every shard.
func serves(l *Loop) bool {
	v := l.Snapshot().View
	sv := v.Services[testService]
	if sv == nil || !v.MayRoute(l.Now()) {
		return false
	}
	for _, r := range sv.Routes {
		if r.Held || r.Server == "" {
			return false
		}
	}
	return true
}

// waitUntilServing waits in virtual time until every given host serves and returns
// how long that took.
func (c *cluster) waitUntilServing(limit time.Duration, loops ...*Loop) time.Duration {
	c.t.Helper()
	start := time.Now()
	for time.Since(start) < limit {
		all := true
		for _, l := range loops {
			all = all && serves(l)
		}
		if all {
			return time.Since(start)
		}
		time.Sleep(testInterval)
	}
	require.FailNow(c.t, "the hosts do not serve", "after %s of virtual time", limit)
	return 0
}

func TestClusterStartsAndServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 9, 3, 20, 4*time.Millisecond, 1)
		t.Logf("serving after %s", c.waitUntilServing(10*time.Second, c.loops...))
		c.stop()
	})
}

func TestLogOutageStopsNoMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 3, 6, 4*time.Millisecond, 1)
		c.waitUntilServing(10*time.Second, c.loops...)
		c.log.SetOutage(true)
		for range 2000 {
			time.Sleep(testInterval)
			for i, l := range c.loops {
				require.True(t, serves(l), "host %d", i)
			}
		}
		c.stop()
	})
}

func TestMinorityStopsWithinTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 3, 6, 4*time.Millisecond, 1)
		c.waitUntilServing(10*time.Second, c.loops...)
		lone := c.loops[0].cfg.Machine.Self.PeerAddr
		for _, l := range c.loops[1:] {
			c.net.SetBlocked(lone, l.cfg.Machine.Self.PeerAddr, true)
			c.net.SetBlocked(l.cfg.Machine.Self.PeerAddr, lone, true)
		}
		time.Sleep(ownership.DefaultTTL)
		require.False(t, serves(c.loops[0]))
		c.waitUntilServing(time.Second, c.loops[1:]...)
		c.stop()
	})
}

func TestAppendFaultsAreSettled(t *testing.T) {
	tests := []struct {
		name   string
		faults []fake.AppendFault
		kind   fault.Kind // of Submit's error; empty when the record is accepted
	}{
		{"answer lost", []fake.AppendFault{fake.AnswerLost}, ""},
		{"taken late", []fake.AppendFault{fake.AppendedLate}, ""},
		{"taken late twice", []fake.AppendFault{fake.AppendedLate, fake.AppendedLate}, ""},
		{"refused", []fake.AppendFault{fake.AppendRefused}, fault.LogUnavailable},
		{"late, then refused", []fake.AppendFault{fake.AppendedLate, fake.AppendRefused}, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3, 3, 3, 4*time.Millisecond, 1)
				c.waitUntilServing(10*time.Second, c.loops...)
				c.log.FailAppends(3*time.Second, tc.faults...)
				r := ownership.Record{
					ID:   "operator#1",
					Kind: ownership.DrainRecord, Drain: &ownership.Drain{Service: testService, Server: "server-0"},
				}
				verdict, err := c.loops[0].Submit(t.Context(), r)
				if tc.kind != "" {
					require.Equal(t, tc.kind, fault.KindOf(err))
					c.stop()
					return
				}
				require.NoError(t, err)
				require.NoError(t, verdict.Void)
				c.stop()
			})
		})
	}
}

func TestHostLossLeavesTheOthersServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 3, 6, 4*time.Millisecond, 1)
		c.waitUntilServing(10*time.Second, c.loops...)
		c.crash(0)
		for range 400 {
			time.Sleep(testInterval)
			for i, l := range c.loops[1:] {
				require.True(t, serves(l), "host %d", i+1)
			}
		}
		c.stop()
	})
}

// A verdict must not arrive before the snapshot: a writer whose record was
// accepted reads its effect from the same host's snapshot.
func TestVerdictComesAfterTheSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 3, 3, 4*time.Millisecond, 1)
		c.waitUntilServing(10*time.Second, c.loops...)
		for i := range 50 {
			p := c.loops[0].Snapshot().Catalog.Profiles["p"]
			next := p.Value
			next.Limits.Queue = 1 + i
			r := profile.Record{
				ID: fmt.Sprintf("operator#%d", i), Author: "test", Cause: "test",
				Kind: profile.ProfileDocument, Name: "p", Base: p.Version, Profile: &next,
			}
			verdict, err := c.loops[0].SubmitProfile(t.Context(), r)
			require.NoError(t, err)
			require.NoError(t, verdict.Void)
			require.GreaterOrEqual(t, c.loops[0].Snapshot().Catalog.Applied, verdict.Offset)
		}
		c.stop()
	})
}

// On empty streams the first host must become ready without a profile: its first
// read must not wait for a record.
func TestHostIsReadyBeforeTheFirstProfile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fake.NewLog(4 * time.Millisecond)
		net := fake.NewNetwork(func(string, string) time.Duration { return time.Millisecond }, 1)
		c := &cluster{t: t, log: log, net: net, severed: &severedLogs{off: map[string]bool{}}}
		l := c.start(0, 0, 1)
		time.Sleep(time.Second)
		require.True(t, l.Snapshot().View.MayRoute(l.Now()))
		c.stop()
	})
}
