// Package control owns an entry host's control state on one goroutine. It
// passes events to the ownership state machine, performs its actions and
// publishes an immutable snapshot through an atomic pointer.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/peer"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

const (
	tickInterval = 10 * time.Millisecond
	eventQueue   = 1024
)

// Transport sends control messages to other entry hosts.
type Transport interface {
	Confirm(ctx context.Context, addr string, msg ownership.Confirm) (ownership.ConfirmReply, error)
	Snapshot(ctx context.Context, addr string) (peer.Snapshot, error)
	KeepSeat(ctx context.Context, addr, host string, seat []byte) error
	ClaimSeat(ctx context.Context, addr, host string) ([]byte, error)
}

// Config holds a Loop's settings.
type Config struct {
	Cell    string
	Machine ownership.Config
	// Seeds are peer addresses to ask for a snapshot while no member is known.
	Seeds []string
	// Retention is how long the log keeps a record; 0 means DefaultRetention.
	Retention time.Duration
}

// Loop runs the control goroutine.
type Loop struct {
	cfg         Config
	log         tlog.Log
	transport   Transport
	zap         *zap.Logger
	clockStart  time.Time
	machine     *ownership.Machine
	incarnation int  // number of this process's incarnation, from 1
	leaving     bool // a planned stop of this host has begun
	catalog     *profile.Catalog
	// catalogCurrent is true once the catalog has reached the newest record that the
	// log, or in an outage a majority of the members, knew.
	catalogCurrent bool
	suspects       map[ownership.Suspect]bool
	seats          map[string][]byte // seats of stopped members, kept for their hosts' next processes; by host
	followers      []*follower

	ownershipTail tail
	catalogTail   tail

	events          chan func(now ownership.Instant)
	snapshot        atomic.Pointer[Snapshot]
	changed         atomic.Pointer[chan struct{}]
	trackers        []ownership.OutstandingTracker
	requestTrackers []ownership.OutstandingTracker // of requests in flight
	alert           func(s ownership.Suspect)
	verdicts        *verdicts
	ctx             context.Context
	stop            context.CancelFunc
	wait            sync.WaitGroup
}

// New returns a loop that is not started.
func New(cfg Config, log tlog.Log, transport Transport, logger *zap.Logger) *Loop {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.Machine.Self.Started == 0 {
		cfg.Machine.Self.Started = time.Now().UnixNano()
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Loop{
		cfg:         cfg,
		log:         log,
		transport:   transport,
		zap:         logger.Named("control"),
		clockStart:  time.Now(),
		machine:     ownership.NewMachine(cfg.Machine),
		incarnation: 1,
		catalog:     profile.NewCatalog(),
		suspects:    map[ownership.Suspect]bool{},
		seats:       map[string][]byte{},
		events:      make(chan func(ownership.Instant), eventQueue),
		verdicts:    newVerdicts(),
		ctx:         ctx,
		stop:        stop,
	}
	l.followers = []*follower{
		newFollower(l, tlog.ProfileStream, catalogFold{l}),
		newFollower(l, tlog.OwnershipStream(cfg.Cell), ownershipFold{l}),
	}
	changed := make(chan struct{})
	l.changed.Store(&changed)
	l.publish()
	return l
}

// Now returns the current time of the loop's monotonic clock.
func (l *Loop) Now() ownership.Instant { return time.Since(l.clockStart) }

// Start starts the goroutines. Stop ends them.
func (l *Loop) Start() {
	l.spawn(l.run)
	for _, f := range l.followers {
		l.spawn(f.run)
	}
	l.spawn(l.join)
	l.spawn(l.catchUp)
	l.spawn(l.writeCheckpoints)
}

// Stop ends the loop and waits for its goroutines.
func (l *Loop) Stop() {
	l.stop()
	l.wait.Wait()
}

func (l *Loop) spawn(f func()) {
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		f()
	}()
}

func (l *Loop) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.events:
			f(l.Now())
		case <-ticker.C:
			l.machine.Tick(l.Now())
		}
		l.finishStep()
	}
}

// finishStep publishes what an event changed and performs the resulting actions.
// The order matters: a withdrawn route must be unpublished before the trackers of
// outstanding work are asked, so that no request starts under it afterwards.
func (l *Loop) finishStep() {
	l.startNewIncarnation()
	l.publish()
	if l.reportOutstanding() {
		l.publish()
	}
	l.verdicts.deliver()
	l.performActions()
	l.deliverAlerts()
}

// enqueue queues f for the control goroutine. It blocks while the queue is full.
func (l *Loop) enqueue(f func(now ownership.Instant)) {
	select {
	case l.events <- f:
	case <-l.ctx.Done():
	}
}

func (l *Loop) sleep(d time.Duration) {
	_ = wait.Sleep(l.ctx, d) // callers check ctx themselves
}
