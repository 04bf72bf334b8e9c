// Package entry assembles and runs an entry host. Other programs can embed one:
// Module takes a settings.Host and the Ports that connect it to the network.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/backend"
	"github.com/lacewingsaddle/lacewingsaddle/claim"
	"github.com/lacewingsaddle/lacewingsaddle/control"
	"github.com/lacewingsaddle/lacewingsaddle/internal/httpdrain"
	"github.com/lacewingsaddle/lacewingsaddle/internal/incarnation"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/peer"
	"github.com/lacewingsaddle/lacewingsaddle/query"
	"github.com/lacewingsaddle/lacewingsaddle/routing"
	"github.com/lacewingsaddle/lacewingsaddle/settings"
	"github.com/lacewingsaddle/lacewingsaddle/steps"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
	"github.com/lacewingsaddle/lacewingsaddle/tlsconfig"
)

// readHeaderTimeout applies to requests of operators.
const readHeaderTimeout = 5 * time.Second

// Ports are an entry host's connections to the network. Programs that embed a
// host, and tests, may provide their own.
type Ports struct {
	Log         tlog.Log
	HostList    tlog.HostList
	PeerDial    peer.Dialer    // nil means plain TCP
	BackendDial backend.Dialer // nil means plain TCP
	// Listen opens the listeners at the settings' addresses; nil means net.Listen.
	Listen func(network, addr string) (net.Listener, error)
}

// DefaultPorts returns ports that reach the platform at the address in the
// settings and the other hosts over TCP.
func DefaultPorts(h settings.Host) Ports {
	client := tlog.NewClient(h.Platform, nil)
	return Ports{Log: client, HostList: client}
}

// Host is an entry host.
type Host struct {
	Settings settings.Host
	Control  *control.Loop
	Router   *routing.Router
	Backends *backend.Set

	Metrics metrics.Registry
	Steps   *steps.Ring // processing steps of recent requests

	measures *query.Measures

	logger           *zap.Logger
	peerClient       *peer.Client
	requestClient    *peer.RequestClient
	claimCoordinator *claim.Coordinator
	peerServer       *peer.Server
	callerServer     *httpdrain.Server
	cancel           context.CancelFunc
	watcher          *backendWatcher

	listenFunc  func(network, addr string) (net.Listener, error)
	tlsSource   *tlsconfig.Source // nil means plain TCP
	adminServer *http.Server
	adminMux    *http.ServeMux
	stopping    atomic.Bool
	requests    atomic.Int64
	inFlight    atomic.Int64
	goroutines  sync.WaitGroup
}

// Module is the fx module of an entry host.
func Module(h settings.Host, ports Ports) fx.Option {
	return fx.Module("entry",
		fx.Supply(h, ports),
		fx.Provide(New),
		fx.Invoke(register),
	)
}

// New assembles an entry host without starting it.
func New(h settings.Host, ports Ports, logger *zap.Logger) (*Host, error) {
	if h.Limits == (settings.Limits{}) {
		h.Limits = settings.DefaultLimits()
	}
	tlsSource, err := loadTLS(h, &ports)
	if err != nil {
		return nil, err
	}
	self := newMember(h)
	logger = logger.With(zap.String("host", h.Name))
	host := &Host{
		Settings:      h,
		Backends:      backend.NewSet(ports.BackendDial),
		Steps:         steps.NewRing(recentRequests),
		logger:        logger.Named("entry"),
		peerClient:    peer.NewClient(ports.PeerDial),
		requestClient: peer.NewRequestClient(ports.PeerDial),
		listenFunc:    ports.Listen,
		tlsSource:     tlsSource,
	}
	host.Control = control.New(controlConfig(h, self), ports.Log, host.peerClient, logger)
	host.watcher = newBackendWatcher(h.Name, ports, host.Control, host.Backends, logger)
	if err := host.assembleRouter(self.ID); err != nil {
		return nil, err
	}
	host.configureServers(routing.NewServer(host.Router))
	host.mountOperatorAPI(ports.Log)
	return host, nil
}

// newMember returns the member that this run of the host's process joins as.
func newMember(h settings.Host) ownership.Member {
	return ownership.Member{
		ID:       ownership.MemberID(h.Name + "/" + incarnation.NewID()),
		Host:     h.Name,
		Domain:   h.Domain,
		PeerAddr: h.Peer,
	}
}

// controlConfig returns the configuration of the control loop.
func controlConfig(h settings.Host, self ownership.Member) control.Config {
	return control.Config{
		Cell:  h.Cell,
		Seeds: h.Seeds,
		Machine: ownership.Config{
			Self:   self,
			TTL:    ownership.DefaultTTL,
			Round:  ownership.DefaultRound,
			Margin: ownership.DefaultMargin,
		},
	}
}

// assembleRouter sets up the way of requests, whether they come from callers or from
// other hosts.
func (h *Host) assembleRouter(self ownership.MemberID) error {
	claims := claim.NewTable()
	h.claimCoordinator = claim.NewCoordinator(self, claims, h.requestClient)
	h.Router = routing.New(routing.Deps{
		Steps:    h.Steps,
		Source:   h.Control,
		Backends: h.Backends,
		Peers:    h.requestClient,
		Claims:   h.claimCoordinator,
		Domain:   h.Settings.Domain,
		HotKeys:  h.watcher.keyCounter,
	})
	h.Control.AddRequestHolder(h.Router.InFlight())
	requests := peer.RequestService(h.Router.ForwardedHandler(), claims)
	server, err := peer.NewServer(h.Control, requests)
	if err != nil {
		return err
	}
	h.peerServer = server
	return nil
}

// configureServers sets up the metrics and the HTTP servers for callers and
// operators.
func (h *Host) configureServers(callers *http.Server) {
	limits := h.Settings.Limits
	callers.Handler = h.countRequests(callers.Handler)
	callers.ReadHeaderTimeout = limits.ReadHeaderTimeout
	callers.IdleTimeout = limits.IdleTimeout
	callers.MaxHeaderBytes = limits.HeaderBytes
	h.callerServer = httpdrain.Wrap(callers)
	h.callerServer.MaxConns = limits.Connections
	h.Metrics = metrics.NewRegistry()
	h.registerMetrics()
	h.adminMux = h.newAdminMux()
	h.adminServer = &http.Server{Handler: h.adminMux, ReadHeaderTimeout: readHeaderTimeout}
}

// loadTLS loads the TLS files that the settings name and, unless the ports have
// a dialer for peers, sets one that uses them. It returns nil when the settings
// name no TLS files.
func loadTLS(h settings.Host, ports *Ports) (*tlsconfig.Source, error) {
	if h.TLS == nil {
		return nil, nil
	}
	source, err := tlsconfig.Load(tlsconfig.Files{Cert: h.TLS.Cert, Key: h.TLS.Key, CA: h.TLS.CA})
	if err != nil {
		return nil, err
	}
	if ports.PeerDial == nil {
		ports.PeerDial = source.Dial
	}
	return source, nil
}

func register(lc fx.Lifecycle, h *Host) {
	lc.Append(fx.Hook{OnStart: h.Start, OnStop: h.Stop})
}
