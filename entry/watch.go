package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/backend"
	"github.com/lacewingsaddle/lacewingsaddle/control"
	"github.com/lacewingsaddle/lacewingsaddle/detect"
	"github.com/lacewingsaddle/lacewingsaddle/grant"
	"github.com/lacewingsaddle/lacewingsaddle/hotkeys"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

const (
	transportIdleTimeout = 10 * time.Second
	connsPerServer       = 2 // connections to a backend server, for probes and for grants each
	// clockOffset is added to control's time, because the detector's must be above 0.
	clockOffset = time.Second
)

// backendWatcher runs what an entry host does about backend servers apart from
// requests: it detects failures, sends grants and counts requests by key.
type backendWatcher struct {
	loop       *control.Loop
	backends   *backend.Set
	logger     *zap.Logger
	monitor    *detect.Monitor
	grants     *grant.Keeper
	keyCounter *hotkeys.Counter
	transports []*http.Transport
	done       chan struct{}
	stopOnce   sync.Once
	goroutines sync.WaitGroup

	cachedTargets []detect.Target // like cachedCatalog, used only by the monitor's goroutine
	cachedCatalog *profile.Catalog
}

func newBackendWatcher(name string, ports Ports, loop *control.Loop, backends *backend.Set, logger *zap.Logger) *backendWatcher {
	w := &backendWatcher{
		loop:       loop,
		backends:   backends,
		logger:     logger.Named("detect"),
		keyCounter: hotkeys.NewCounter(),
		done:       make(chan struct{}),
	}
	w.monitor = detect.NewMonitor(detect.Config{
		Now:       func() time.Duration { return loop.Now() + clockOffset },
		Targets:   w.targets,
		InFlight:  w.inFlight,
		Hosts:     liveHosts(ports.HostList),
		Transport: w.newTransport(ports.BackendDial),
		Seed:      xxhash.Sum64String(name),
		Changed:   w.judgementChanged,
	})
	w.grants = grant.New(loop, w.newTransport(ports.BackendDial))
	backends.SetObserver(w.monitor)
	loop.AddHolder(w.grants)
	loop.OnAlert(func(s ownership.Suspect) { w.monitor.Alert(detect.Key{Service: s.Service, Server: s.Server}) })
	return w
}

func (w *backendWatcher) newTransport(dial backend.Dialer) *http.Transport {
	t := &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     connsPerServer,
		MaxIdleConnsPerHost: connsPerServer,
		IdleConnTimeout:     transportIdleTimeout,
		DisableCompression:  true,
	}
	w.transports = append(w.transports, t)
	return t
}

func (w *backendWatcher) start() {
	w.monitor.Start()
	w.grants.Start()
	w.goroutines.Go(func() { w.keyCounter.Run(w.done) })
}

func (w *backendWatcher) stop() {
	w.stopOnce.Do(func() { close(w.done) })
	w.goroutines.Wait()
	w.monitor.Stop()
	w.grants.Stop()
	for _, t := range w.transports {
		t.CloseIdleConnections()
	}
}

// targets returns the declared backend servers and the catalog's version.
func (w *backendWatcher) targets() ([]detect.Target, uint64) {
	catalog := w.loop.Snapshot().Catalog
	if w.cachedCatalog != catalog {
		w.cachedCatalog, w.cachedTargets = catalog, declaredTargets(catalog)
	}
	return w.cachedTargets, uint64(catalog.Applied)
}

func declaredTargets(catalog *profile.Catalog) []detect.Target {
	var out []detect.Target
	for name, s := range catalog.Services {
		p, ok := catalog.ProfileOf(name)
		if !ok {
			continue
		}
		for _, server := range s.Value.Servers {
			out = append(out, detect.Target{
				Key:           detect.Key{Service: name, Server: server.ID},
				Address:       server.Address,
				Path:          p.Health.Path,
				Interval:      p.Health.Interval,
				Timeout:       p.Health.Timeout,
				FailoverAfter: p.Ownership.FailoverAfter,
			})
		}
	}
	return out
}

func (w *backendWatcher) inFlight(k detect.Key) int64 {
	return int64(w.backends.Outstanding(k.Service, k.Server))
}

// judgementChanged reports to control the servers that this host begins or
// ceases to doubt or to judge lost.
func (w *backendWatcher) judgementChanged(c detect.Change) {
	w.loop.SetDoubt(c.Service, c.Server, c.To == detect.Doubtful)
	if !c.From.IsLost() && !c.To.IsLost() {
		return
	}
	w.logger.Info("detect: judgement changed", zap.String("service", c.Service), zap.String("server", c.Server),
		zap.Stringer("from", c.From), zap.Stringer("to", c.To), zap.String("cause", c.Cause))
	s := ownership.Suspect{Service: c.Service, Server: c.Server, Gone: c.To == detect.Gone}
	if c.To.IsLost() {
		w.loop.SetSuspect(s, true)
		return
	}
	for _, gone := range []bool{false, true} {
		s.Gone = gone
		w.loop.SetSuspect(s, false)
	}
}

// liveHosts returns a function that fetches the names of the hosts that the
// platform lists as live; nil without a list.
func liveHosts(list tlog.HostList) func(ctx context.Context) (map[string]bool, error) {
	if list == nil {
		return nil
	}
	return func(ctx context.Context) (map[string]bool, error) {
		hosts, err := list.Hosts(ctx)
		if err != nil {
			return nil, err
		}
		live := make(map[string]bool, len(hosts))
		for _, h := range hosts {
			if h.State == tlog.HostLive {
				live[h.Name] = true
			}
		}
		return live, nil
	}
}
