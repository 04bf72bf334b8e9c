package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/event"
)

// Times of the control loop.
const (
	tickLeading = 20 * time.Millisecond
	tickFollow  = 60 * time.Millisecond
	// syncWait is how long a question waits at the assigner for news.
	syncWait = 150 * time.Millisecond
	// syncTimeout bounds a question; the assigner is then taken as silent.
	syncTimeout = 450 * time.Millisecond
	// abandonAfter is how long the assigner's own confirmations fail before it
	// asks the others to take over.
	abandonAfter = 500 * time.Millisecond
	// eventQueue bounds the events that wait for the control goroutine.
	eventQueue = 256
	// ranks is the number of places in the order of claims.
	ranks = 8
)

// Times of the assigner's protocol. A successor takes over and renews within
// hold - renewEvery of its forerunner's end, so that no key is lost by that.
const (
	lease              = 1000 * time.Millisecond
	confirmEvery       = 300 * time.Millisecond
	silenceBeforeClaim = 600 * time.Millisecond
	rankDelay          = 80 * time.Millisecond
	smallDelay         = 500 * time.Millisecond
	hold               = 2500 * time.Millisecond
	renewEvery         = 700 * time.Millisecond
	settle             = 1800 * time.Millisecond
)

// Calls to the store and to backend servers.
const (
	confirmTimeout = 800 * time.Millisecond
	loadTimeout    = 1200 * time.Millisecond
	appendTimeout  = 1500 * time.Millisecond
	// releaseTimeout is long since a server answers when running work has ended.
	releaseTimeout = 8 * time.Second
)

// Config holds what a cluster needs to know of its host.
type Config struct {
	Self    assigner.Host
	HoldMax time.Duration // longest grant that backend servers accept
	// Small says that this host has less power than others: it becomes the assigner
	// only when none of those does.
	Small bool
	Seeds []string // peer addresses to ask while no assigner is known
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

	events chan func()
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	// Owned by the control goroutine.
	machine      *assigner.Machine
	hosts        map[string]knownHost
	hostsVersion uint64 // offset after the last registration that is known
	rawConfig    []byte
	troubled     time.Duration // since when confirmations fail, 0 when they do not
	stopping     bool
	ledBefore    bool
	followed     uint64 // epoch of the assigner that was heard last
	silent       bool   // it did not answer the last question
	outage       outage

	// confirmed is when an assigner last confirmed the map of owners to this host,
	// in nanoseconds of the clock.
	confirmed atomic.Int64

	mu     sync.Mutex // guards report
	report assigner.Report
	urgent chan struct{} // wakes the sender of urgent reports
	asked  int           // number of seeds that were asked
	relink chan struct{} // wakes the follower
}

// New returns a cluster that is not started.
func New(cfg Config, store Store, backends Backends, peers Peers, logger *zap.Logger) *Cluster {
	if cfg.Clock == nil {
		cfg.Clock = BootClock
	}
	c := &Cluster{
		cfg:      cfg,
		store:    store,
		backends: backends,
		peers:    peers,
		logger:   logger.Named("cluster"),
		views:    newViews(),
		stats:    newStats(),
		events:   make(chan func(), eventQueue),
		hosts:    map[string]knownHost{cfg.Self.Name: {Host: cfg.Self}},
		relink:   make(chan struct{}, 1),
		urgent:   make(chan struct{}, 1),
	}
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
		FirstPlanDelay:     settle,
	}, cfg.Clock())
	return c
}

func claimDelay(small bool) time.Duration {
	if small {
		return smallDelay
	}
	return 0
}

// SetSeeds replaces the peer addresses to ask while no assigner is known.
func (c *Cluster) SetSeeds(seeds []string) {
	c.post(func() { c.cfg.Seeds = seeds })
}

// View returns the newest view.
func (c *Cluster) View() *View { return c.views.current.Load() }

// MapAge returns how long ago an assigner confirmed the map of owners.
func (c *Cluster) MapAge() time.Duration { return c.cfg.Clock() - time.Duration(c.confirmed.Load()) }

func (c *Cluster) write(e event.Event) { event.Write(c.logger, e) }

// Stats returns the counters.
func (c *Cluster) Stats() *Stats { return c.stats }

// Start begins to watch and to take part.
func (c *Cluster) Start() {
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, f := range []func(){c.run, c.watchConfig, c.watchServers, c.watchHosts, c.follow, c.sendUrgent} {
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			f()
		}()
	}
}

// Stop ends all work.
func (c *Cluster) Stop() {
	c.cancel()
	c.wait.Wait()
	c.peers.Close()
	c.store.Close()
	c.backends.Close()
}

// Resign hands the epoch on before a planned stop.
func (c *Cluster) Resign() {
	c.post(func() {
		c.stopping = true
		c.machine.Resign(c.cfg.Clock())
		c.write(event.ResignBegun{Epoch: c.machine.Epoch()})
	})
}

// post runs f in the control goroutine.
func (c *Cluster) post(f func()) {
	select {
	case c.events <- f:
	case <-c.ctx.Done():
	}
}

// query runs f in the control goroutine and returns what it found. Ok is false
// when the cluster stopped, or ctx ended, before that.
func query[T any](ctx context.Context, c *Cluster, f func() T) (found T, ok bool) {
	got := make(chan T, 1)
	c.post(func() { got <- f() })
	select {
	case found = <-got:
		return found, true
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return found, false
}

// run is the control goroutine.
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
		c.machine.Tick(now)
		c.carryOut(now)
		c.noteRole(now)
	}
}

func (c *Cluster) tickTime() time.Duration {
	if c.ledBefore {
		return tickLeading
	}
	return tickFollow
}

func (c *Cluster) noteRole(now time.Duration) {
	leads := c.machine.Leads(now)
	if leads {
		c.confirmed.Store(int64(now))
	}
	if c.machine.StoreDegraded(now) && c.troubled == 0 {
		c.troubled = now
	} else if !c.machine.StoreDegraded(now) {
		c.troubled = 0
	}
	if leads == c.ledBefore {
		return
	}
	c.ledBefore = leads
	c.views.change(func(v *View) { v.Leads = leads })
	c.stats.Epochs.Inc(1)
	c.write(event.RoleChanged{Assigner: leads, Epoch: c.machine.Epoch(), SilenceMS: event.Millis(c.machine.Silence(now))})
	c.wakeFollower()
}

func (c *Cluster) wakeFollower() {
	select {
	case c.relink <- struct{}{}:
	default: // it is awake already
	}
}

func (c *Cluster) carryOut(now time.Duration) {
	for _, a := range c.machine.Ready() {
		switch a := a.(type) {
		case assigner.Load:
			c.call(loadTimeout, c.load)
		case assigner.Append:
			c.call(appendTimeout, func(ctx context.Context) { c.append(ctx, a) })
		case assigner.Confirm:
			end := c.machine.End()
			c.call(confirmTimeout, func(ctx context.Context) { c.confirm(ctx, end) })
		case assigner.Grant:
			c.call(assigner.MaxGrantDelay, func(context.Context) { c.grant(now, a) })
		case assigner.Release:
			c.call(releaseTimeout, func(ctx context.Context) { c.release(ctx, a) })
		case assigner.Publish:
			c.takeMap(a.Map)
		case assigner.ProbeSuspects:
			c.askHosts(a.Suspects)
		}
	}
}

// call runs f beside the control goroutine with a time limit.
func (c *Cluster) call(limit time.Duration, f func(context.Context)) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		ctx, cancel := context.WithTimeout(c.ctx, limit)
		defer cancel()
		f(ctx)
	}()
}
