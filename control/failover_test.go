package control

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/detect"
	"github.com/lacewingsaddle/lacewingsaddle/internal/fake"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

var failoverSeeds = flag.Int("failover-seeds", 3, "seeds for each row of the failover table")

const (
	// failoverTarget is the required bound on the time until a key is served again.
	failoverTarget = time.Second
	requestTimeout = time.Second
	requestEvery   = 20 * time.Millisecond
)

// site is a deployment size that is to be supported.
type site struct {
	name    string
	domains int
	servers int
	oneWay  time.Duration
}

var sites = []site{
	{"arrieta", 3, 20, 4 * time.Millisecond},
	{"hollister", 4, 23, 5 * time.Millisecond},
}

// inFlight counts one host's requests in flight by server.
type inFlight struct {
	mu sync.Mutex
	n  map[detect.Key]int64
}

func (f *inFlight) add(k detect.Key, n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n[k] += n
}

func (f *inFlight) of(k detect.Key) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n[k]
}

// observers runs a detect.Monitor and, with traffic, a stream of requests for each
// host.
type observers struct {
	c        *cluster
	servers  *fake.Servers
	monitors []*detect.Monitor
	stop     context.CancelFunc
	wait     sync.WaitGroup

	mu    sync.Mutex
	first time.Time // when the first host judged a server lost
}

func (c *cluster) observe(site site, seed uint64, withTraffic bool) *observers {
	ctx, stop := context.WithCancel(context.Background())
	o := &observers{c: c, servers: fake.NewServers(site.oneWay), stop: stop}
	for i, l := range c.loops {
		counts := &inFlight{n: map[detect.Key]int64{}}
		m := detect.NewMonitor(detect.Config{
			InFlight:  counts.of,
			Now:       func() time.Duration { return l.Now() + 1 },
			Targets:   func() ([]detect.Target, uint64) { return testTargets(site.servers), 1 },
			Transport: o.servers,
			Seed:      seed + uint64(i),
			Changed:   func(change detect.Change) { o.changed(l, change) },
		})
		o.alerts(l, m)
		m.Start()
		o.monitors = append(o.monitors, m)
		if withTraffic {
			o.wait.Go(func() { o.traffic(ctx, l, m, counts, rand.New(rand.NewPCG(seed, uint64(i)))) })
		}
	}
	return o
}

func (o *observers) alerts(l *Loop, m *detect.Monitor) {
	_, _ = call(o.c.t.Context(), l, func(ownership.Instant) bool {
		l.OnAlert(func(s ownership.Suspect) { m.Alert(detect.Key{Service: s.Service, Server: s.Server}) })
		return true
	})
}

func testTargets(n int) []detect.Target {
	var out []detect.Target
	for i := range n {
		out = append(out, detect.Target{
			Key:           detect.Key{Service: testService, Server: fmt.Sprintf("server-%d", i)},
			Address:       serverAddr(i),
			Path:          "/-/health",
			Interval:      time.Second,
			Timeout:       250 * time.Millisecond,
			FailoverAfter: 300 * time.Millisecond,
		})
	}
	return out
}

func serverAddr(i int) string { return fmt.Sprintf("127.0.0.1:%d", 1000+i) }

func (o *observers) changed(l *Loop, change detect.Change) {
	o.mu.Lock()
	if change.To.IsLost() && o.first.IsZero() {
		o.first = time.Now()
	}
	o.mu.Unlock()
	s := ownership.Suspect{Service: change.Service, Server: change.Server, Gone: change.To == detect.Gone}
	l.SetDoubt(change.Service, change.Server, change.To == detect.Doubtful)
	l.SetSuspect(s, change.To.IsLost())
}

// traffic sends one request after another to random servers without waiting
// for the answers.
func (o *observers) traffic(ctx context.Context, l *Loop, m *detect.Monitor, counts *inFlight, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * requestEvery))))
		sv := l.Snapshot().View.Services[testService]
		route := sv.Routes[rng.IntN(len(sv.Routes))]
		if route.Held || route.Server == "" {
			continue
		}
		k := detect.Key{Service: testService, Server: route.Server}
		o.wait.Go(func() {
			counts.add(k, 1)
			defer counts.add(k, -1)
			o.request(ctx, m, route.Server)
		})
	}
}

func (o *observers) request(ctx context.Context, m *detect.Monitor, server string) {
	var n int
	_, _ = fmt.Sscanf(server, "server-%d", &n)
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+serverAddr(n)+"/", http.NoBody)
	resp, err := o.servers.RoundTrip(req)
	result := detect.Answered
	if err != nil {
		result = detect.Silent
	} else {
		_ = resp.Body.Close()
	}
	m.Observe(detect.Observation{Service: testService, Server: server, Result: result, Latency: time.Since(start)})
}

func (o *observers) close() {
	o.stop()
	o.wait.Wait()
	for _, m := range o.monitors {
		m.Stop()
	}
}

// failoverTimes are the phases of one failover, counted from the loss.
type failoverTimes struct {
	detected  time.Duration // the first host judged the server lost
	withdrawn time.Duration // every host withdrew the server
	served    time.Duration // every host routes every shard to a live server
}

// failover waits until every given host routes around the lost servers.
func (o *observers) failover(lost map[string]bool, loops []*Loop, limit time.Duration) failoverTimes {
	start := time.Now()
	var out failoverTimes
	for time.Since(start) < limit {
		time.Sleep(time.Millisecond)
		withdrawn, served := true, true
		for _, l := range loops {
			w, s := routesAround(l, lost)
			withdrawn, served = withdrawn && w, served && s
		}
		if withdrawn && out.withdrawn == 0 {
			out.withdrawn = time.Since(start)
		}
		if served {
			out.served = time.Since(start)
			break
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	out.detected = o.first.Sub(start)
	return out
}

// routesAround reports whether a host sends nothing to the lost servers, and
// whether it serves every shard without them.
func routesAround(l *Loop, lost map[string]bool) (withdrawn, served bool) {
	v := l.Snapshot().View
	withdrawn, served = true, v.MayRoute(l.Now())
	for _, r := range v.Services[testService].Routes {
		withdrawn = withdrawn && (r.Held || !lost[r.Server])
		served = served && !r.Held && r.Server != "" && !lost[r.Server]
	}
	return withdrawn, served
}

// loss is one row of the failover table.
type loss struct {
	name        string
	state       fake.ServerState
	lost        int // number of servers lost at once
	withTraffic bool
	// before, if set, injects a further fault one second before the loss.
	before func(c *cluster)
	hosts  int // entry hosts that crash together with the servers
}

var losses = []loss{
	{name: "freeze", state: fake.Frozen, lost: 1, withTraffic: true},
	{name: "kill", state: fake.Killed, lost: 1, withTraffic: true},
	{name: "cut off", state: fake.CutOff, lost: 1, withTraffic: true},
	{name: "freeze of two", state: fake.Frozen, lost: 2, withTraffic: true},
	{name: "freeze in a log outage", state: fake.Frozen, lost: 1, withTraffic: true, before: func(c *cluster) { c.log.SetOutage(true) }},
	{name: "freeze with 5 s appends", state: fake.Frozen, lost: 1, withTraffic: true, before: func(c *cluster) { c.log.SetDelay(5 * time.Second) }},
	{name: "freeze with an entry host's crash", state: fake.Frozen, lost: 1, withTraffic: true, hosts: 1},
}

func TestServedAgainWithinASecond(t *testing.T) {
	for _, site := range sites {
		for _, row := range losses {
			t.Run(site.name+"/"+row.name, func(t *testing.T) {
				var all []failoverTimes
				for seed := range uint64(*failoverSeeds) {
					synctest.Test(t, func(t *testing.T) { all = append(all, runLoss(t, site, row, seed+1)) })
				}
				report(t, all)
				for seed, x := range all {
					require.NotZero(t, x.served, "seed %d: not served", seed+1)
					require.LessOrEqual(t, x.served, failoverTarget, "seed %d", seed+1)
				}
			})
		}
	}
}

func runLoss(t *testing.T, site site, row loss, seed uint64) failoverTimes {
	c := newCluster(t, 9, site.domains, site.servers, site.oneWay, seed)
	c.waitUntilServing(10*time.Second, c.loops...)
	o := c.observe(site, seed*100, row.withTraffic)
	rng := rand.New(rand.NewPCG(seed, 0))
	time.Sleep(2*time.Second + time.Duration(rng.Int64N(int64(time.Second))))
	if row.before != nil {
		row.before(c)
		time.Sleep(time.Second)
	}
	lost := map[string]bool{}
	for _, i := range rng.Perm(site.servers)[:row.lost] {
		lost[fmt.Sprintf("server-%d", i)] = true
		o.servers.Set(serverAddr(i), row.state)
	}
	for i := range row.hosts {
		c.crash(i)
		o.monitors[i].Stop()
	}
	out := o.failover(lost, c.loops[row.hosts:], 10*time.Second)
	o.close()
	c.stop()
	return out
}

// report logs the median and the worst time of each phase.
func report(t *testing.T, all []failoverTimes) {
	part := func(name string, of func(failoverTimes) time.Duration) {
		var d []time.Duration
		for _, x := range all {
			d = append(d, of(x))
		}
		slices.Sort(d)
		t.Logf("%-9s median %4d ms, worst %4d ms", name, d[len(d)/2].Milliseconds(), d[len(d)-1].Milliseconds())
	}
	part("detected", func(x failoverTimes) time.Duration { return x.detected })
	part("withdrawn", func(x failoverTimes) time.Duration { return x.withdrawn })
	part("served", func(x failoverTimes) time.Duration { return x.served })
}
