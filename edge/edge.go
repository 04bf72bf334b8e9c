// Package edge assembles an entry host for a platform with a linearizable store:
// cluster membership, gateway, the load balancer's readiness check and metrics. To
// embed it, use Module and supply what it needs.
package edge

import (
	"context"
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
	"github.com/lacewingsaddle/lacewingsaddle/internal/incarnation"
	"github.com/lacewingsaddle/lacewingsaddle/routetable"
)

const (
	// sweepInterval is the interval at which idle connections are closed.
	sweepInterval = time.Second
	// maxConfigWait is how long callers' connections wait for the first
	// configuration, which holds the limits on connections. After it they are
	// served with the default limits.
	maxConfigWait = 3 * time.Second
	// defaultHeaderTimeout and defaultIdleTimeout apply while no configuration is
	// known.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// Host is a running entry host.
type Host struct {
	opts        Options
	logger      *zap.Logger
	incarnation string // identifies this run of the process
	cluster     *cluster.Cluster
	gateway     *gateway.Gateway
	callers     *callerServer
	stopping    chan struct{} // closed when the stop begins
	ready       *http.Server
	metrics     *http.Server
	stop        context.CancelFunc
	background  sync.WaitGroup
}

func (h *Host) logEvent(e event.Event) { event.Write(h.logger, e) }

// Module is the fx module of an entry host. It needs Options, cluster.Store,
// cluster.Backends and a logger.
var Module = fx.Module("edge", fx.Provide(New), fx.Invoke(register))

func register(lc fx.Lifecycle, h *Host) {
	lc.Append(fx.Hook{OnStart: h.Start, OnStop: h.Stop})
}

// New returns a host that is not started.
func New(opts Options, store cluster.Store, backends cluster.Backends, logger *zap.Logger) *Host {
	self := assigner.Host{Name: opts.Host, Incarnation: incarnation.NewID(), Peer: opts.Peer}
	logger = logger.With(zap.String("host", opts.Host))
	c := cluster.New(opts.clusterConfig(self), store, backends, hostlink.NewPool(), logger)
	g := gateway.New(opts.Gateway, c, logger)
	h := &Host{
		opts:        opts,
		logger:      logger.Named("edge"),
		incarnation: self.Incarnation,
		cluster:     c,
		gateway:     g,
		stopping:    make(chan struct{}),
	}
	h.callers = newCallerServer(g, g, h.logEvent)
	h.callers.server.HTTP.ErrorLog = zap.NewStdLog(logger.Named("http"))
	h.ready = &http.Server{Handler: http.HandlerFunc(h.serveReadiness), ReadHeaderTimeout: defaultHeaderTimeout}
	h.metrics = &http.Server{Handler: http.HandlerFunc(h.serveMetrics), ReadHeaderTimeout: defaultHeaderTimeout}
	return h
}

// Start joins the cluster and opens the listeners.
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
	h.runInBackground(func() {
		h.runServer("serve other hosts", func() error { return hostlink.Serve(ctx, peers, h.cluster, h.cluster.RecordBadMessage) })
	})
	h.runInBackground(func() { h.serveTraffic(ctx, traffic) })
	if err := h.serve(h.ready, h.opts.Readiness); err != nil {
		return err
	}
	if err := h.serve(h.metrics, h.opts.Metrics); err != nil {
		return err
	}
	h.runInBackground(func() { h.gateway.Follow(ctx) })
	h.runInBackground(func() { h.sweep(ctx) })
	h.logEvent(event.HostStarted{
		Incarnation: h.incarnation,
		Domain:      h.opts.Gateway.Domain,
		Traffic:     h.opts.Traffic,
		Peer:        h.opts.Peer,
		Metrics:     h.opts.Metrics,
	})
	return nil
}

// listen opens a TCP listener.
func listen(addr string) (net.Listener, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fault.Wrap(fault.BadSettings, err, "listen on "+addr)
	}
	return lis, nil
}

// serve opens the listener of a server and serves on it until the server is closed.
func (h *Host) serve(s *http.Server, addr string) error {
	lis, err := listen(addr)
	if err != nil {
		return err
	}
	h.runInBackground(func() { h.runServer("serve "+addr, func() error { return s.Serve(lis) }) })
	return nil
}

// runInBackground runs f in a goroutine that Stop waits for.
func (h *Host) runInBackground(f func()) {
	h.background.Add(1)
	go func() {
		defer h.background.Done()
		f()
	}()
}

// runServer runs f, which serves until it is closed, and logs its error if it ends
// for another reason.
func (h *Host) runServer(what string, f func() error) {
	if err := f(); err != nil && err != http.ErrServerClosed {
		h.logEvent(event.ListenerEnded{Server: what, Error: err.Error()})
	}
}

// serveTraffic serves callers once the first configuration is known, with its limits,
// or with the defaults after maxConfigWait or when the host stops: requests in the
// listener's backlog are answered then, too.
func (h *Host) serveTraffic(ctx context.Context, lis net.Listener) {
	server := h.callers.server
	server.HTTP.ReadHeaderTimeout, server.HTTP.IdleTimeout = defaultHeaderTimeout, defaultIdleTimeout
	routes, err := h.awaitRoutes(ctx)
	if err != nil {
		_ = lis.Close() // the host has ended; nothing was accepted
		return
	}
	if routes != nil {
		server.HTTP.ReadHeaderTimeout = routes.Limits.HeaderTimeout
		server.HTTP.IdleTimeout = routes.Limits.IdleTimeout
		server.HTTP.MaxHeaderBytes = routes.Limits.HeaderBytes
	}
	h.runServer("serve callers", func() error { return server.Serve(lis) })
}

// awaitRoutes returns the first configuration, or nil if none is known after
// maxConfigWait or when the host stops. If ctx ends first, it returns the error of ctx.
func (h *Host) awaitRoutes(ctx context.Context) (*routetable.Table, error) {
	limit := time.NewTimer(maxConfigWait)
	defer limit.Stop()
	for {
		v := h.cluster.View()
		if v.Routes != nil {
			return v.Routes, nil
		}
		select {
		case <-v.Next:
		case <-limit.C:
			return nil, nil
		case <-h.stopping:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Reload applies the options that may change while the host runs: the seeds, which
// it contacts while no assigner is known. Listen addresses change only with a
// restart.
func (h *Host) Reload(opts Options) {
	h.cluster.SetSeeds(opts.Seeds)
	h.logEvent(event.SettingsReloaded{Seeds: opts.Seeds})
}

// LogInvalidSettings logs that changed settings are invalid and not applied.
func (h *Host) LogInvalidSettings(err error) {
	h.logEvent(event.SettingsRejected{Error: err.Error()})
}

// serveReadiness answers the load balancer's readiness check.
func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !h.gateway.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveMetrics writes all metrics as text.
func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WriteOnce(h.gateway.Metrics.Registry, w)
	metrics.WriteOnce(h.cluster.Stats().StoreResults, w)
	h.writeClusterMetrics(w)
}

// sweep closes idle connections once per sweepInterval until ctx ends.
func (h *Host) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
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

// Stop stops the host gracefully: it fails the readiness check so that the load
// balancer sends no new connections, resigns as the assigner, completes the requests
// in flight, and closes. The callers' listener stays open to the end, so that no
// connection is left unanswered in its backlog.
func (h *Host) Stop(context.Context) error {
	begin := time.Now()
	h.logEvent(event.StopBegun{Active: h.gateway.Active()})
	close(h.stopping)
	h.gateway.Stop()
	h.cluster.Resign()
	h.callers.stop(begin, planStop(h.opts.StopGrace))
	h.stop()
	h.cluster.Stop()
	_ = h.ready.Close()   // closed at once: the responses of these two
	_ = h.metrics.Close() // are no longer needed
	h.gateway.CloseIdle()
	h.background.Wait()
	h.logEvent(event.HostStopped{TookMS: event.Millis(time.Since(begin))})
	return nil
}

// Kill ends a host at once, as a crash of its process would: it does not resign, and it
// closes callers' connections without an answer. Call it at most once, and not together
// with Stop: both close h.stopping.
func (h *Host) Kill() {
	close(h.stopping)
	h.stop()
	_ = h.callers.server.Close() // the requests in flight end with their connections
	_ = h.ready.Close()
	_ = h.metrics.Close()
	h.cluster.Stop()
	h.gateway.CloseIdle()
	h.background.Wait()
}
