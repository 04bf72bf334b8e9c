package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

const (
	// shortestFault and longestFault bound how long a fault lasts.
	shortestFault = 200 * time.Millisecond
	longestFault  = 4 * time.Second
	// drainServeTime is how long a server serves after it said that it leaves.
	drainServeTime = drainTime + time.Second
)

// maxFaultIntervals bound the pause between the starts of two faults. A seed has one of them:
// most faults overlap in the first, and in the last each has time to be over, so
// that the promises hold that need calm.
var maxFaultIntervals = []time.Duration{900 * time.Millisecond, 3 * time.Second, 9 * time.Second}

// action is a fault that begins, lasts and ends.
type action struct {
	name   string
	weight int
	run    func(w *world, target int, d time.Duration)
}

// actions is the list of faults. Each holds its subject's lock, so that faults of
// different subjects overlap and those of one follow each other.
var actions = []action{
	{"planned stop", 3, plannedStop},
	{"kill", 3, kill},
	{"pause", 3, pause},
	{"hangup", 1, hangup},
	{"herd kill", 1, killMostHosts},
	{"callers' connections", 2, disturbCallers},
	{"store's connections", 3, disturbStore},
	{"store", 3, storeFault},
	{"history gone", 1, compact},
	{"server crash", 3, serverCrash},
	{"server drain", 2, serverDrain},
	{"server's connections", 3, disturbServer},
}

// runFaults starts runFaults until the run's length is over, and waits for their ends.
func (w *world) runFaults(ctx context.Context) {
	locks := map[string]*sync.Mutex{}
	var running sync.WaitGroup
	maxInterval := maxFaultIntervals[w.cfg.Seed%uint64(len(maxFaultIntervals))]
	for end := time.Now().Add(w.cfg.Length); time.Now().Before(end) && ctx.Err() == nil; {
		a := w.randomAction()
		target := w.rand.IntN(1 << 16)
		d := shortestFault + time.Duration(w.rand.Int64N(int64(longestFault-shortestFault)))
		pause := time.Duration(w.rand.Int64N(int64(maxInterval)))
		lock := locks[a.name]
		if lock == nil {
			lock = &sync.Mutex{}
			locks[a.name] = lock
		}
		running.Add(1)
		go func() {
			defer running.Done()
			lock.Lock()
			defer lock.Unlock()
			a.run(w, target, d)
		}()
		time.Sleep(pause)
	}
	running.Wait()
}

func (w *world) randomAction() action {
	sum := 0
	for _, a := range actions {
		sum += a.weight
	}
	n := w.rand.IntN(sum)
	for _, a := range actions {
		if n < a.weight {
			return a
		}
		n -= a.weight
	}
	return actions[0]
}

func (w *world) host(target int) *host     { return w.hosts[target%len(w.hosts)] }
func (w *world) server(target int) *server { return w.servers[target%len(w.servers)] }

// withFault lets a fault of a subject last for d.
func (w *world) withFault(subject string, d time.Duration, begin, end func()) {
	w.recordFault(subject, time.Now().Add(d))
	begin()
	time.Sleep(d)
	end()
	w.recordFault(subject, time.Now())
}

// tryWithLock runs f unless another fault of the same process is in force.
func tryWithLock(process *sync.Mutex, f func()) {
	if !process.TryLock() {
		return
	}
	defer process.Unlock()
	f()
}

// restartHost starts a host's process anew.
func (w *world) restartHost(h *host) {
	if err := h.launch(); err != nil {
		w.addViolation("SOAK", "start %s: %v", h.name, err)
	}
}

func plannedStop(w *world, target int, d time.Duration) {
	h := w.host(target)
	tryWithLock(&h.faultMu, func() {
		w.logEvent("%s stops as planned", h.name)
		h.stopGracefully()
		time.Sleep(d / 4)
		w.restartHost(h)
		w.recordFault(h.name, time.Now())
	})
}

func kill(w *world, target int, d time.Duration) {
	h := w.host(target)
	tryWithLock(&h.faultMu, func() {
		w.logEvent("%s is killed for %v", h.name, d.Round(time.Millisecond))
		w.withFault(h.name, d, h.kill, func() { w.restartHost(h) })
	})
}

func pause(w *world, target int, d time.Duration) {
	h := w.host(target)
	tryWithLock(&h.faultMu, func() {
		w.logEvent("%s is paused for %v", h.name, d.Round(time.Millisecond))
		w.recordFault(h.name, time.Now().Add(d+time.Second))
		w.withFault(h.name, d, h.suspend, h.resume)
	})
}

func hangup(w *world, target int, _ time.Duration) {
	h := w.host(target)
	w.logEvent("%s gets a hangup", h.name)
	h.signal(syscall.SIGHUP, false)
}

// killMostHosts kills every host but one, or all.
func killMostHosts(w *world, target int, d time.Duration) {
	w.logEvent("all hosts but %d of %d are killed", target%2, len(w.hosts))
	var running sync.WaitGroup
	for _, h := range w.hosts[target%2:] {
		running.Add(1)
		go func() {
			defer running.Done()
			h.faultMu.Lock()
			defer h.faultMu.Unlock()
			w.withFault(h.name, d/4, h.kill, func() { w.restartHost(h) })
		}()
	}
	running.Wait()
}

// faultModes are the harms of connections.
var faultModes = []Mode{Delay, SilenceUp, SilenceDown, Silence, Reset}

// disturbConnections sets a proxy's mode for a while.
func (w *world) disturbConnections(p *Proxy, what, subject string, target int, d time.Duration) {
	m := faultModes[target%len(faultModes)]
	w.logEvent("%s: %s for %v", what, m, d.Round(time.Millisecond))
	w.withFault(subject, d, func() { p.Set(m) }, func() { p.Set(Pass) })
}

func disturbCallers(w *world, target int, d time.Duration) {
	h := w.host(target)
	w.disturbConnections(h.callerProxy, "callers of "+h.name, h.name, target/7, d)
}

func disturbStore(w *world, target int, d time.Duration) {
	h := w.host(target)
	w.disturbConnections(h.storeProxy, "store of "+h.name, h.name, target/7, d)
}

func disturbServer(w *world, target int, d time.Duration) {
	s := w.server(target)
	w.disturbConnections(s.proxy, "callers of "+s.id, s.id, target/7, d)
}

// storeFaults are the ways in which the store goes wrong for all.
var storeFaults = []platformtest.Fault{platformtest.Down, platformtest.Busy, platformtest.Silent, platformtest.LostAnswer}

func storeFault(w *world, target int, d time.Duration) {
	f := storeFaults[target%len(storeFaults)]
	w.logEvent("store goes wrong (%d) for %v", f, d.Round(time.Millisecond))
	w.withFault("store", d, func() { w.store.SetFault(f) }, func() { w.store.SetFault(platformtest.Sound) })
}

func compact(w *world, _ int, _ time.Duration) {
	w.logEvent("the store forgets its history")
	w.recordFault("store", time.Now())
	w.store.CompactAll()
}

func serverCrash(w *world, target int, d time.Duration) {
	s := w.server(target)
	tryWithLock(&s.faultMu, func() {
		w.logEvent("%s crashes for %v", s.id, d.Round(time.Millisecond))
		w.withFault(s.id, d, s.crash, func() { w.restartServer(s) })
	})
}

func serverDrain(w *world, target int, d time.Duration) {
	s := w.server(target)
	tryWithLock(&s.faultMu, func() {
		w.logEvent("%s leaves", s.id)
		s.drain()
		time.Sleep(drainServeTime)
		w.withFault(s.id, d, s.crash, func() { w.restartServer(s) })
	})
}

func (w *world) restartServer(s *server) {
	if err := s.launch(); err != nil {
		w.addViolation("SOAK", "start %s: %v", s.id, err)
		return
	}
	s.heartbeat()
}
