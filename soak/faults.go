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
	// leaveTime is how long a server serves after it said that it leaves.
	leaveTime = drainTime + time.Second
)

// paces bound the pause between the starts of two faults. A seed has one of them:
// most faults overlap in the first, and in the last each has time to be over, so
// that the promises hold that need calm.
var paces = []time.Duration{900 * time.Millisecond, 3 * time.Second, 9 * time.Second}

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
	{"herd kill", 1, herdKill},
	{"callers' connections", 2, harmCallers},
	{"store's connections", 3, harmStore},
	{"store", 3, storeFault},
	{"history gone", 1, compact},
	{"server crash", 3, serverCrash},
	{"server drain", 2, serverDrain},
	{"server's connections", 3, harmServer},
}

// faults starts faults until the run's length is over, and waits for their ends.
func (w *world) faults(ctx context.Context) {
	locks := map[string]*sync.Mutex{}
	var running sync.WaitGroup
	pace := paces[w.cfg.Seed%uint64(len(paces))]
	for end := time.Now().Add(w.cfg.Length); time.Now().Before(end) && ctx.Err() == nil; {
		a := w.draw()
		target := w.rand.IntN(1 << 16)
		d := shortestFault + time.Duration(w.rand.Int64N(int64(longestFault-shortestFault)))
		pause := time.Duration(w.rand.Int64N(int64(pace)))
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

func (w *world) draw() action {
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

// during lets a fault of a subject last for d.
func (w *world) during(subject string, d time.Duration, begin, end func()) {
	w.harm(subject, time.Now().Add(d))
	begin()
	time.Sleep(d)
	end()
	w.harm(subject, time.Now())
}

// alone runs f unless another fault of the same process is in force.
func alone(process *sync.Mutex, f func()) {
	if !process.TryLock() {
		return
	}
	defer process.Unlock()
	f()
}

// relaunch starts a host's process anew.
func (w *world) relaunch(h *host) {
	if err := h.launch(); err != nil {
		w.violate("SOAK", "start %s: %v", h.name, err)
	}
}

func plannedStop(w *world, target int, d time.Duration) {
	h := w.host(target)
	alone(&h.takes, func() {
		w.note("%s stops as planned", h.name)
		h.stopAsPlanned()
		time.Sleep(d / 4)
		w.relaunch(h)
		w.harm(h.name, time.Now())
	})
}

func kill(w *world, target int, d time.Duration) {
	h := w.host(target)
	alone(&h.takes, func() {
		w.note("%s is killed for %v", h.name, d.Round(time.Millisecond))
		w.during(h.name, d, h.kill, func() { w.relaunch(h) })
	})
}

func pause(w *world, target int, d time.Duration) {
	h := w.host(target)
	alone(&h.takes, func() {
		w.note("%s is paused for %v", h.name, d.Round(time.Millisecond))
		w.harm(h.name, time.Now().Add(d+time.Second))
		w.during(h.name, d, h.stopRunning, h.thaw)
	})
}

func hangup(w *world, target int, _ time.Duration) {
	h := w.host(target)
	w.note("%s gets a hangup", h.name)
	h.signal(syscall.SIGHUP, false)
}

// herdKill kills every host but one, or all.
func herdKill(w *world, target int, d time.Duration) {
	w.note("all hosts but %d of %d are killed", target%2, len(w.hosts))
	var running sync.WaitGroup
	for _, h := range w.hosts[target%2:] {
		running.Add(1)
		go func() {
			defer running.Done()
			h.takes.Lock()
			defer h.takes.Unlock()
			w.during(h.name, d/4, h.kill, func() { w.relaunch(h) })
		}()
	}
	running.Wait()
}

// modes are the harms of connections.
var modes = []Mode{Delay, SilenceUp, SilenceDown, Silence, Reset}

// harmConnections sets a proxy's mode for a while.
func (w *world) harmConnections(p *Proxy, what, subject string, target int, d time.Duration) {
	m := modes[target%len(modes)]
	w.note("%s: %s for %v", what, m, d.Round(time.Millisecond))
	w.during(subject, d, func() { p.Set(m) }, func() { p.Set(Pass) })
}

func harmCallers(w *world, target int, d time.Duration) {
	h := w.host(target)
	w.harmConnections(h.callers, "callers of "+h.name, h.name, target/7, d)
}

func harmStore(w *world, target int, d time.Duration) {
	h := w.host(target)
	w.harmConnections(h.store, "store of "+h.name, h.name, target/7, d)
}

func harmServer(w *world, target int, d time.Duration) {
	s := w.server(target)
	w.harmConnections(s.proxy, "callers of "+s.id, s.id, target/7, d)
}

// storeFaults are the ways in which the store goes wrong for all.
var storeFaults = []platformtest.Fault{platformtest.Down, platformtest.Busy, platformtest.Silent, platformtest.LostAnswer}

func storeFault(w *world, target int, d time.Duration) {
	f := storeFaults[target%len(storeFaults)]
	w.note("store goes wrong (%d) for %v", f, d.Round(time.Millisecond))
	w.during("store", d, func() { w.store.SetFault(f) }, func() { w.store.SetFault(platformtest.NoFault) })
}

func compact(w *world, _ int, _ time.Duration) {
	w.note("the store forgets its history")
	w.harm("store", time.Now())
	w.store.CompactAll()
}

func serverCrash(w *world, target int, d time.Duration) {
	s := w.server(target)
	alone(&s.takes, func() {
		w.note("%s crashes for %v", s.id, d.Round(time.Millisecond))
		w.during(s.id, d, s.crash, func() { w.relaunchServer(s) })
	})
}

func serverDrain(w *world, target int, d time.Duration) {
	s := w.server(target)
	alone(&s.takes, func() {
		w.note("%s leaves", s.id)
		s.drain()
		time.Sleep(leaveTime)
		w.during(s.id, d, s.crash, func() { w.relaunchServer(s) })
	})
}

func (w *world) relaunchServer(s *server) {
	if err := s.launch(); err != nil {
		w.violate("SOAK", "start %s: %v", s.id, err)
		return
	}
	s.beat()
}
