// Package fleet runs the control loops and admin APIs of several entry hosts over
// fakes, for tests in virtual time.
package fleet

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/admin"
	"github.com/lacewingsaddle/lacewingsaddle/client"
	"github.com/lacewingsaddle/lacewingsaddle/command"
	"github.com/lacewingsaddle/lacewingsaddle/control"
	"github.com/lacewingsaddle/lacewingsaddle/internal/fake"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/query"
	"github.com/lacewingsaddle/lacewingsaddle/steps"
)

// The tokens of a fleet's admin API.
const (
	ReadToken  = "read-token"
	WriteToken = "write-token"
)

// localDelay is the one-way delay within a failure domain.
const localDelay = 100 * time.Microsecond

// Host is one entry host of a Fleet.
type Host struct {
	Loop     *control.Loop
	Command  *command.Service
	Query    *query.Service
	Measures *query.Measures
	Steps    *steps.Ring
	Handler  http.Handler
	addr     string
}

// Fleet is a set of entry hosts that share a fake log and network.
type Fleet struct {
	Log   *fake.Log
	Net   *fake.Network
	Hosts []*Host

	domains   []string
	retention time.Duration
	starts    int
}

// New starts hosts spread over the failure domains. oneWay is the one-way delay
// between failure domains and to the log, which keeps records for retention.
func New(hosts int, domains []string, oneWay, retention time.Duration) *Fleet {
	f := &Fleet{Log: fake.NewLog(oneWay), domains: domains, retention: retention}
	f.Net = fake.NewNetwork(func(from, to string) time.Duration {
		if f.domainOf(from) == f.domainOf(to) {
			return localDelay
		}
		return oneWay
	}, 1)
	f.Hosts = make([]*Host, hosts)
	for i := range hosts {
		f.Start(i)
	}
	return f
}

func (f *Fleet) domainOf(addr string) string {
	var i int
	_, _ = fmt.Sscanf(addr, "host-%d", &i)
	return f.domains[i%len(f.domains)]
}

// Start starts host i as a new incarnation without any state.
func (f *Fleet) Start(i int) *Host {
	f.starts++
	name := fmt.Sprintf("host-%d", i)
	self := ownership.Member{
		ID:   ownership.MemberID(fmt.Sprintf("%s/%d", name, f.starts)),
		Host: name, Domain: f.domains[i%len(f.domains)], PeerAddr: name,
	}
	cfg := control.Config{Cell: "main", Retention: f.retention, Machine: ownership.Config{
		Self: self, TTL: ownership.DefaultTTL, Round: ownership.DefaultRound, Margin: ownership.DefaultMargin,
	}}
	for j := range f.Hosts {
		if j != i {
			cfg.Seeds = append(cfg.Seeds, fmt.Sprintf("host-%d", j))
		}
	}
	h := &Host{addr: name, Steps: steps.NewRing(64)}
	h.Loop = control.New(cfg, f.Log, f.Net.From(name), zap.NewNop())
	registry := metrics.NewRegistry()
	h.Measures = query.NewMeasures(registry)
	h.Query = query.New(h.Loop, f.Log, cfg.Cell, h.Steps, h.Measures)
	h.Command = command.New(h.Loop, h.Query, cfg.Cell)
	h.Handler = admin.NewHandler(admin.Deps{
		Command: h.Command, Query: h.Query, Metrics: registry,
		Tokens: admin.Tokens{
			Read:  []admin.Token{{Name: "ana", Value: ReadToken}},
			Write: []admin.Token{{Name: "ben", Value: WriteToken}},
		},
	})
	f.Net.Attach(name, h.Loop)
	h.Loop.Start()
	f.Hosts[i] = h
	return h
}

// Crash detaches host i from the network and stops it without notifying the other
// hosts.
func (f *Fleet) Crash(i int) {
	f.Net.Attach(f.Hosts[i].addr, nil)
	f.Hosts[i].Loop.Stop()
}

// Stop stops every host.
func (f *Fleet) Stop() {
	for _, h := range f.Hosts {
		h.Loop.Stop()
	}
}

// Client returns a client of the host's admin API that uses no network.
func (h *Host) Client(token string) *client.Client {
	return client.New("http://"+h.addr, token, h)
}

// RoundTrip implements http.RoundTripper by calling the host's handler directly.
func (h *Host) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	h.Handler.ServeHTTP(w, r)
	return w.Result(), nil
}
