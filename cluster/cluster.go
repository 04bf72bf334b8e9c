package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/event"
)

// Config holds the settings of one host.
type Config struct {
	Self    assigner.Host
	HoldMax time.Duration // longest grant that backend servers accept
	// Small marks a host with less capacity than others: it becomes the assigner only
	// if none of the others does.
	Small bool
	Seeds []string // peer addresses to contact while no assigner is known
	Clock Clock
}

// Cluster is the control state of one entry host.
type Cluster struct {
	cfg      Config
	store    Store
	backends Backends
	peers    Peers
	logger   *zap.Logger
	views    *views
	stats    *Stats

	events     chan func()
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// Used only by the control goroutine.
	machine        *assigner.Machine
	hosts          map[string]knownHost
	directory      *directory.Snapshot // the entries; the view's directory also has the leaving servers
	leaving        leavingState
	hostsVersion   uint64 // store offset after the last known registration
	rawConfig      []byte
	failingSince   time.Duration // time of the first of the failing confirmations, 0 if none fails
	stopping       bool
	leading        bool
	followedEpoch  uint64 // epoch of the assigner heard last
	assignerSilent bool   // the assigner did not answer the last sync request
	outage         outage
	responses      responses
	tickedAt       time.Duration // when the machine last ticked

	// confirmed is the time at which an assigner last confirmed the owner map to this
	// host, in nanoseconds of Clock.
	confirmed atomic.Int64

	mu           sync.Mutex // guards report and full
	report       assigner.Report
	full         fullServers
	urgent       chan struct{} // wakes sendUrgent
	seedTurn     int           // number of addresses tried so far, selects the next seed
	followerWake chan struct{} // wakes follow
}

// New returns a cluster that is not started.
func New(cfg Config, store Store, backends Backends, peers Peers, logger *zap.Logger) *Cluster {
	if cfg.Clock == nil {
		cfg.Clock = BootClock
	}
	c := &Cluster{
		cfg:          cfg,
		store:        store,
		backends:     backends,
		peers:        peers,
		logger:       logger.Named("cluster"),
		views:        newViews(),
		stats:        newStats(),
		events:       make(chan func(), eventQueue),
		directory:    &directory.Snapshot{},
		full:         fullServers{},
		hosts:        map[string]knownHost{cfg.Self.Name: {Host: cfg.Self}},
		followerWake: make(chan struct{}, 1),
		urgent:       make(chan struct{}, 1),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.machine = assigner.New(assigner.Config{
		Self:               cfg.Self,
		Lease:              lease,
		ConfirmEvery:       confirmEvery,
		SilenceBeforeClaim: silenceBeforeClaim,
		RankDelay:          rankDelay,
		ClaimDelay:         claimDelay(cfg.Small),
		Hold:               min(hold, cfg.HoldMax),
		HoldMax:            cfg.HoldMax,
		RenewEvery:         renewEvery,
		FirstPlanDelay:     firstPlanDelay,
	}, cfg.Clock())
	return c
}

// claimDelay returns the extra delay before a claim.
func claimDelay(small bool) time.Duration {
	if small {
		return smallClaimDelay
	}
	return 0
}

// SetSeeds replaces the peer addresses to contact while no assigner is known.
func (c *Cluster) SetSeeds(seeds []string) {
	c.post(func() { c.cfg.Seeds = seeds })
}

// View returns the newest view.
func (c *Cluster) View() *View { return c.views.current.Load() }

// MapAge returns the time since an assigner last confirmed the owner map.
func (c *Cluster) MapAge() time.Duration { return c.cfg.Clock() - time.Duration(c.confirmed.Load()) }

func (c *Cluster) logEvent(e event.Event) { event.Write(c.logger, e) }

// Stats returns the counters.
func (c *Cluster) Stats() *Stats { return c.stats }

// Start starts the control goroutine, the watches and the exchange with other hosts.
func (c *Cluster) Start() {
	for _, f := range []func(){c.run, c.watchConfig, c.watchServers, c.watchHosts, c.follow, c.sendUrgent} {
		c.goroutines.Add(1)
		go func() {
			defer c.goroutines.Done()
			f()
		}()
	}
}

// Stop ends all goroutines and closes the connections.
func (c *Cluster) Stop() {
	c.cancel()
	c.goroutines.Wait()
	c.peers.Close()
	c.store.Close()
	c.backends.Close()
}

// Resign gives up the epoch before a planned stop, so that a successor can take over
// without a gap.
func (c *Cluster) Resign() {
	c.post(func() {
		c.stopping = true
		c.machine.Resign(c.cfg.Clock())
		c.logEvent(event.ResignBegun{Epoch: c.machine.Epoch()})
	})
}
