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

// Times of the control loop.
const (
	tickLeading   = 20 * time.Millisecond
	tickFollowing = 60 * time.Millisecond
	// syncWait is how long the assigner holds a sync request that has no updates to
	// return.
	syncWait = 150 * time.Millisecond
	// syncTimeout bounds a sync request; after it the assigner counts as silent.
	// It grows with the number of hosts, as the assigner serves them one after the other.
	syncTimeout        = 450 * time.Millisecond
	syncTimeoutPerHost = 2 * time.Millisecond
	// minTickInterval is the minimum interval between the ticks that follow events.
	minTickInterval = 5 * time.Millisecond
	// abandonAfter is how long the assigner's confirmations of its epoch must fail
	// before it asks the other hosts to take over.
	abandonAfter = 500 * time.Millisecond
	// eventQueue bounds the functions queued for the control goroutine.
	eventQueue = 256
	// claimRanks is the number of ranks by which hosts delay their claims to become
	// the assigner.
	claimRanks = 8
)

// Times of the assigner's protocol. A successor must take over and renew all grants
// within hold - renewEvery of the end of its predecessor, so that no key loses its
// holder.
const (
	lease              = 1000 * time.Millisecond
	confirmEvery       = 300 * time.Millisecond
	silenceBeforeClaim = 600 * time.Millisecond
	rankDelay          = 80 * time.Millisecond
	smallClaimDelay    = 500 * time.Millisecond
	hold               = 2500 * time.Millisecond
	renewEvery         = 700 * time.Millisecond
	firstPlanDelay     = 1800 * time.Millisecond
)

// Calls to the store and to backend servers.
const (
	confirmTimeout = 800 * time.Millisecond
	loadTimeout    = 1200 * time.Millisecond
	appendTimeout  = 1500 * time.Millisecond
	// releaseTimeout is long because a server answers only after its running requests
	// have ended.
	releaseTimeout = 8 * time.Second
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

// Resign gives up leadership before a planned stop, so that a successor can take over
// without a gap.
func (c *Cluster) Resign() {
	c.post(func() {
		c.stopping = true
		c.machine.Resign(c.cfg.Clock())
		c.logEvent(event.ResignBegun{Epoch: c.machine.Epoch()})
	})
}

// post queues f for the control goroutine.
func (c *Cluster) post(f func()) {
	select {
	case c.events <- f:
	case <-c.ctx.Done():
	}
}

// query runs f in the control goroutine and returns its result. ok is false if the
// cluster stopped, ctx ended first or f panicked.
func query[T any](ctx context.Context, c *Cluster, f func() T) (found T, ok bool) {
	got := make(chan T, 1)
	c.post(func() {
		defer close(got) // f may panic
		got <- f()
	})
	select {
	case found, ok = <-got:
		return found, ok
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return found, false
}

// run is the loop of the control goroutine.
func (c *Cluster) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case f := <-c.events:
			f()
		case <-timer.C:
			timer.Reset(c.tickTime())
		}
		now := c.cfg.Clock()
		if now-c.tickedAt >= minTickInterval {
			c.tickedAt = now
			c.machine.Tick(now)
		}
		c.runActions(now)
		c.updateRole(now)
	}
}

func (c *Cluster) tickTime() time.Duration {
	if c.leading {
		return tickLeading
	}
	return tickFollowing
}

func (c *Cluster) updateRole(now time.Duration) {
	leads := c.machine.Leads(now)
	if leads {
		c.confirmed.Store(int64(now))
	}
	if c.machine.StoreDegraded(now) && c.failingSince == 0 {
		c.failingSince = now
	} else if !c.machine.StoreDegraded(now) {
		c.failingSince = 0
	}
	if leads == c.leading {
		return
	}
	c.leading = leads
	c.views.update(func(v *View) { v.Leads = leads })
	c.stats.Epochs.Inc(1)
	c.logEvent(event.RoleChanged{Assigner: leads, Epoch: c.machine.Epoch(), SilenceMS: event.Millis(c.machine.Silence(now))})
	c.wakeFollower()
}

func (c *Cluster) wakeFollower() {
	select {
	case c.followerWake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

func (c *Cluster) runActions(now time.Duration) {
	for _, a := range c.machine.Ready() {
		switch a := a.(type) {
		case assigner.Load:
			c.goWithTimeout(loadTimeout, c.load)
		case assigner.Append:
			c.goWithTimeout(appendTimeout, func(ctx context.Context) { c.append(ctx, a) })
		case assigner.Confirm:
			end := c.machine.End()
			c.goWithTimeout(confirmTimeout, func(ctx context.Context) { c.confirm(ctx, end) })
		case assigner.Grant:
			c.goWithTimeout(assigner.MaxGrantDelay, func(context.Context) { c.grant(now, a) })
		case assigner.Release:
			c.goWithTimeout(releaseTimeout, func(ctx context.Context) { c.release(ctx, a) })
		case assigner.Publish:
			c.applyMap(a.Map)
		case assigner.Admit:
			c.applyAdmission(&a.Admission)
		case assigner.FullBegun:
			c.stats.ServersFull.Inc(1)
			c.logEvent(event.ServerFull{Server: a.Server.ID, Born: a.Server.StartedMS, From: a.From, ForMS: event.Millis(a.For)})
		case assigner.FullEnded:
			c.logEvent(event.ServerFullEnded{Server: a.Server.ID, Born: a.Server.StartedMS})
		case assigner.ProbeSuspects:
			c.requestProbes(a.Suspects)
		}
	}
}

// goWithTimeout runs f in a goroutine of its own with a time limit.
func (c *Cluster) goWithTimeout(limit time.Duration, f func(context.Context)) {
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		ctx, cancel := context.WithTimeout(c.ctx, limit)
		defer cancel()
		f(ctx)
	}()
}
