// Package edge assembles an entry host for a platform with a linearizable
// store: control state, gateway, the balancer's readiness check and metrics. It
// can be embedded: Module needs the options and the ports.
package edge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/gateway"
	"github.com/lacewingsaddle/lacewingsaddle/hostlink"
)

const (
	incarnationBytes = 6
	// sweepEvery is the pause between sweeps of idle connections.
	sweepEvery = time.Second
	// serveWithout is how long callers' connections wait for a configuration,
	// which holds the limits on connections, before they are served without.
	serveWithout = 3 * time.Second
	// stopMargin is kept between the end of a planned stop and the moment at which
	// the platform kills the process.
	stopMargin = 400 * time.Millisecond
	// leaveRotation is how long the balancer may still send new connections to a
	// host that says it is not ready.
	leaveRotation = 2300 * time.Millisecond
	// refuseBefore is how long before the kill new requests are refused.
	refuseBefore = 2 * time.Second
	stopPoll     = 10 * time.Millisecond
	// closeTime bounds the closing of idle connections.
	closeTime = 100 * time.Millisecond
	// defaultHeaderTime and defaultIdle hold while no configuration is known.
	defaultHeaderTime = 3 * time.Second
	defaultIdle       = 15 * time.Second
)

// Options describe the host.
type Options struct {
	Host      string
	Traffic   string // addresses to listen at
	Readiness string
	Peer      string
	Metrics   string
	Seeds     []string      // peer addresses to ask while the store does not answer
	CPU       float64       // share of a core; 0 means unknown
	LinkMbps  float64       // 0 means unknown
	StopGrace time.Duration // from the stop signal to the kill
	HoldMax   time.Duration // longest grant that backend servers accept
	Gateway   gateway.Config
	// DroppedLines returns the number of log lines that could not be written; nil
	// where nobody counts them.
	DroppedLines func() int64
}

// A host below either figure becomes the assigner only when no other does: the
// assigner talks to every host and every backend server.
const (
	assignerCPU  = 0.25 // share of a core
	assignerLink = 50.0 // Mbit/s
)

// small reports whether the host suits less as the assigner.
func (o Options) small() bool {
	return o.CPU > 0 && o.CPU < assignerCPU || o.LinkMbps > 0 && o.LinkMbps < assignerLink
}

// Host is a running entry host.
type Host struct {
	opts        Options
	logger      *zap.Logger
	incarnation string // names this run of the process
	cluster     *cluster.Cluster
	gateway     *gateway.Gateway
	traffic     *http.Server
	ready       *http.Server
	metrics     *http.Server
	stop        context.CancelFunc
	running     sync.WaitGroup
}

func (h *Host) write(e event.Event) { event.Write(h.logger, e) }

// Module is the fx module of an entry host. It needs Options, cluster.Store,
// cluster.Backends and a logger.
var Module = fx.Module("edge", fx.Provide(New), fx.Invoke(register))

func register(lc fx.Lifecycle, h *Host) {
	lc.Append(fx.Hook{OnStart: h.Start, OnStop: h.Stop})
}

// New assembles a host that is not started.
func New(opts Options, store cluster.Store, backends cluster.Backends, logger *zap.Logger) (*Host, error) {
	b := make([]byte, incarnationBytes)
	if _, err := rand.Read(b); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "draw an incarnation")
	}
	self := assigner.Host{Name: opts.Host, Incarnation: hex.EncodeToString(b), Peer: opts.Peer}
	logger = logger.With(zap.String("host", opts.Host))
	c := cluster.New(cluster.Config{Self: self, HoldMax: opts.HoldMax, Seeds: opts.Seeds, Small: opts.small()}, store, backends, hostlink.NewPool(), logger)
	g := gateway.New(opts.Gateway, c, logger)
	h := &Host{opts: opts, logger: logger.Named("edge"), incarnation: self.Incarnation, cluster: c, gateway: g}
	h.traffic = &http.Server{Handler: g, ErrorLog: zap.NewStdLog(logger.Named("http"))}
	h.ready = &http.Server{Handler: http.HandlerFunc(h.serveReadiness), ReadHeaderTimeout: defaultHeaderTime}
	h.metrics = &http.Server{Handler: http.HandlerFunc(h.serveMetrics), ReadHeaderTimeout: defaultHeaderTime}
	return h, nil
}

// Start opens the listeners and takes part in the cluster.
func (h *Host) Start(context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	peers, err := listen(h.opts.Peer)
	if err != nil {
		return err
	}
	traffic, err := listen(h.opts.Traffic)
	if err != nil {
		return err
	}
	h.cluster.Start()
	h.spawn(func() { h.report("serve other hosts", func() error { return hostlink.Serve(ctx, peers, h.cluster) }) })
	h.spawn(func() { h.serveTraffic(ctx, traffic) })
	if err := h.serve(h.ready, h.opts.Readiness); err != nil {
		return err
	}
	if err := h.serve(h.metrics, h.opts.Metrics); err != nil {
		return err
	}
	h.spawn(func() { h.sweep(ctx) })
	h.write(event.HostStarted{
		Incarnation: h.incarnation,
		Domain:      h.opts.Gateway.Domain,
		Traffic:     h.opts.Traffic,
		Peer:        h.opts.Peer,
		Metrics:     h.opts.Metrics,
	})
	return nil
}

func listen(addr string) (net.Listener, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fault.Wrap(fault.BadSettings, err, "listen at "+addr)
	}
	return lis, nil
}

func (h *Host) serve(s *http.Server, addr string) error {
	lis, err := listen(addr)
	if err != nil {
		return err
	}
	h.spawn(func() { h.report("serve "+addr, func() error { return s.Serve(lis) }) })
	return nil
}

// spawn runs f beside, until the host has stopped.
func (h *Host) spawn(f func()) {
	h.running.Add(1)
	go func() {
		defer h.running.Done()
		f()
	}()
}

// report logs why a server ended, unless it was closed.
func (h *Host) report(what string, f func() error) {
	if err := f(); err != nil && err != http.ErrServerClosed {
		h.write(event.ListenerEnded{Server: what, Error: err.Error()})
	}
}

// serveTraffic waits for the limits of the first configuration.
func (h *Host) serveTraffic(ctx context.Context, lis net.Listener) {
	limit := time.NewTimer(serveWithout)
	defer limit.Stop()
	h.traffic.ReadHeaderTimeout, h.traffic.IdleTimeout = defaultHeaderTime, defaultIdle
	for waiting := true; waiting; {
		v := h.cluster.View()
		if v.Routes != nil {
			h.traffic.ReadHeaderTimeout = v.Routes.Limits.HeaderTimeout
			h.traffic.IdleTimeout = v.Routes.Limits.IdleTimeout
			h.traffic.MaxHeaderBytes = v.Routes.Limits.HeaderBytes
			break
		}
		select {
		case <-v.Next:
		case <-limit.C:
			waiting = false
		case <-ctx.Done():
			return
		}
	}
	h.report("serve callers", func() error { return h.traffic.Serve(lis) })
}

// Reload takes what may change while the host runs: the peer addresses to ask
// while no assigner is known. Its own addresses stay until its restart.
func (h *Host) Reload(opts Options) {
	h.cluster.SetSeeds(opts.Seeds)
	h.write(event.SettingsReloaded{Seeds: opts.Seeds})
}

// KeepSettings logs that changed settings are unusable.
func (h *Host) KeepSettings(err error) {
	h.write(event.SettingsKept{Error: err.Error()})
}

func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !h.gateway.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WriteOnce(h.gateway.Metrics.Registry, w)
	metrics.WriteOnce(h.cluster.Stats().StoreResults, w)
	h.writeClusterMetrics(w)
}

func (h *Host) sweep(ctx context.Context) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			h.gateway.Sweep()
		case <-ctx.Done():
			return
		}
	}
}

// Stop ends the host as planned: it leaves the balancer's rotation, hands the
// epoch on, answers what callers have sent, and closes. The listener stays open
// to the end, so that no connection waits in its queue unanswered.
func (h *Host) Stop(context.Context) error {
	begin := time.Now()
	h.write(event.StopBegun{Active: h.gateway.Active()})
	h.gateway.Stop()
	h.cluster.Resign()
	time.Sleep(min(leaveRotation, h.opts.StopGrace/2))
	h.finishRequests(begin)
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	if err := h.traffic.Shutdown(ctx); err != nil {
		h.write(event.ConnectionsLeft{Active: h.gateway.Active(), Error: err.Error()})
	}
	h.stop()
	h.cluster.Stop()
	_ = h.ready.Close()   // nobody needs the answers of these two
	_ = h.metrics.Close() // any more
	h.gateway.CloseIdle()
	h.running.Wait()
	h.write(event.HostStopped{TookMS: event.Millis(time.Since(begin))})
	return nil
}

// finishRequests waits until no request is being handled. Towards the end of
// the grace time new ones are refused.
func (h *Host) finishRequests(begin time.Time) {
	for {
		spent := time.Since(begin)
		if h.gateway.Active() == 0 || spent > h.opts.StopGrace-stopMargin {
			return
		}
		if spent > h.opts.StopGrace-refuseBefore {
			h.gateway.RejectNew()
		}
		time.Sleep(stopPoll)
	}
}
