package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// stopInterval is the pause between the stops of two hosts.
	stopInterval = 500 * time.Millisecond
	// balancerTime is when the load balancer has noticed that a stopping host is not
	// ready. Most hosts go over to refusing requests about then.
	balancerTime = 2300 * time.Millisecond
	// connectTime is the time for callers to open connections before SIGTERM.
	connectTime = 200 * time.Millisecond
	// maxKeptPause bounds the pause between the requests on a kept connection.
	maxKeptPause = 800 * time.Millisecond
	// maxDownTime bounds the time from the end of a process to its restart.
	maxDownTime = time.Second
	// maxSignals is the largest number of signals beside the first SIGTERM.
	maxSignals = 4
	// maxConfigs is the largest number of configurations in a row.
	maxConfigs = 4
	// seriesPause bounds the pause between the signals or configurations of a series.
	seriesPause = 100 * time.Millisecond
	// twiceIn is the number of planned stops of which one is followed by another stop.
	twiceIn = 3
	// plannedPause bounds the pause between two pieces of planned work of a kind.
	plannedPause = 2 * time.Second
)

// keptCallers are numbers of callers that keep a connection to a stopping host: so few
// that the host is idle at times, or so many that it never is.
var keptCallers = []int{4, 12, 48, 150}

// returnSpreads are times within which those callers return.
var returnSpreads = []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second}

// timedSignal is a signal sent some time after the first SIGTERM.
type timedSignal struct {
	after  time.Duration
	signal syscall.Signal
}

// stopPlan is how one host is stopped.
type stopPlan struct {
	signals  []timedSignal
	callers  int           // that keep a connection
	returnAt time.Duration // when they use it again, after SIGTERM
	spread   time.Duration // of their return
	downTime time.Duration // until the restart
}

// randomDuration returns a random duration below limit.
func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

// newStopPlan returns a random plan.
func newStopPlan(r *rand.Rand) stopPlan {
	p := stopPlan{
		callers:  keptCallers[r.IntN(len(keptCallers))],
		returnAt: randomDuration(r, graceTime),
		spread:   returnSpreads[r.IntN(len(returnSpreads))],
		downTime: randomDuration(r, maxDownTime),
	}
	if r.IntN(2) == 0 {
		p.returnAt = balancerTime
	}
	for range r.IntN(maxSignals + 1) {
		s := timedSignal{after: randomDuration(r, graceTime), signal: syscall.SIGHUP}
		if r.IntN(2) == 0 {
			s.signal = syscall.SIGTERM
		}
		p.signals = append(p.signals, s)
	}
	return p
}

// plannedKinds lists the kinds of planned work. Work of one kind runs one after the
// other; that of different kinds overlaps.
var plannedKinds = []func(w *world, r *rand.Rand){
	rollingStop,
	hangupSeries,
	func(w *world, r *rand.Rand) { serverDrain(w, r.IntN(targets), randomDuration(r, longestFault)) },
	func(w *world, r *rand.Rand) {
		serverFull(w, r.IntN(targets), shortestFault+randomDuration(r, longestFault))
	},
	configSeries,
}

// plannedStream separates the random numbers of planned work from those of faults.
const plannedStream = 1000

// runPlannedWork carries out planned work of all kinds for the configured length and
// waits until all of it has ended.
func (w *world) runPlannedWork(ctx context.Context) {
	end := time.Now().Add(w.cfg.Length)
	var running sync.WaitGroup
	for i, work := range plannedKinds {
		r := rand.New(rand.NewPCG(w.cfg.Seed, plannedStream+uint64(i)))
		running.Add(1)
		go func() {
			defer running.Done()
			for time.Now().Before(end) && ctx.Err() == nil {
				time.Sleep(randomDuration(r, plannedPause))
				work(w, r)
			}
		}()
	}
	running.Wait()
}

// rollingStop stops all hosts in turn without waiting for one to restart before the
// next, and some of them twice.
func rollingStop(w *world, r *rand.Rand) {
	var running sync.WaitGroup
	for _, i := range r.Perm(len(w.hosts)) {
		plans := []stopPlan{newStopPlan(r)}
		again := newStopPlan(r)
		if r.IntN(twiceIn) == 0 {
			plans = append(plans, again)
		}
		h := w.hosts[i]
		running.Add(1)
		go func() {
			defer running.Done()
			tryWithLock(&h.faultMu, func() {
				for _, p := range plans {
					w.stopAsPlanned(h, p)
				}
			})
		}()
		time.Sleep(stopInterval)
	}
	running.Wait()
}

// stopAsPlanned stops and restarts a host while callers keep connections to it.
func (w *world) stopAsPlanned(h *host, p stopPlan) {
	var callers sync.WaitGroup
	stopAt := time.Now().Add(connectTime)
	for i := range p.callers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			w.keepConnection(h, i, stopAt.Add(p.returnAt), p.spread)
		}()
	}
	time.Sleep(time.Until(stopAt))
	w.logEvent("%s: planned stop; %d callers return after %v; %d more signals", h.name, p.callers, p.returnAt.Round(time.Millisecond), len(p.signals))
	for _, s := range p.signals {
		go h.signalLater(s, h.done())
	}
	h.stopGracefully()
	callers.Wait()
	time.Sleep(p.downTime)
	w.restartHost(h)
	w.recordPlanned(h.name, time.Now())
}

// signalLater sends a signal unless the process exits before.
func (h *host) signalLater(s timedSignal, exited chan struct{}) {
	select {
	case <-time.After(s.after):
		h.signal(s.signal, s.signal == syscall.SIGTERM)
	case <-exited:
	}
}

// keepConnection opens a connection to a host, leaves it idle, and uses it from about
// returnAt on until the process is gone.
func (w *world) keepConnection(h *host, i int, returnAt time.Time, spread time.Duration) {
	exited := h.done()
	c := newDirectClient(w, plannedStream+i)
	defer c.http.CloseIdleConnections()
	c.call(h)
	pause := time.Until(returnAt) + randomDuration(c.rand, spread)
	for {
		select {
		case <-time.After(pause):
			c.call(h)
		case <-exited:
			return
		}
		pause = randomDuration(c.rand, maxKeptPause)
	}
}

// hangupSeries sends SIGHUP to a host several times in a row.
func hangupSeries(w *world, r *rand.Rand) {
	target := r.IntN(targets)
	for range 1 + r.IntN(maxSignals) {
		hangup(w, target, 0)
		time.Sleep(randomDuration(r, seriesPause))
	}
}

// configSeries publishes several configurations in a row.
func configSeries(w *world, r *rand.Rand) {
	for range 1 + r.IntN(maxConfigs) {
		w.publishConfig()
		time.Sleep(randomDuration(r, seriesPause))
	}
	time.Sleep(configInterval)
}
