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
	// drainServeTime is how long a draining server goes on serving.
	drainServeTime = drainTime + time.Second
	// targets is the number of values from which a host or server is drawn, by remainder.
	targets = 1 << 16
	// choiceStep divides such a value for a choice beside that of the host or server.
	choiceStep = 7
	// maxDrainNotice bounds how long a server that leaves is still listed as ready.
	maxDrainNotice = 3 * time.Second
)

// maxFaultIntervals are upper bounds of the pause between the starts of two faults;
// the seed selects one. With the shortest most faults overlap. With the longest each
// fault can end before the next, so that guarantees which hold only while nothing
// is disturbed are checked too.
var maxFaultIntervals = []time.Duration{900 * time.Millisecond, 3 * time.Second, 9 * time.Second}

// faultKind is one kind of fault. run starts it on a target, keeps it in force for
// about d and ends it.
type faultKind struct {
	name   string
	weight int
	run    func(w *world, target int, d time.Duration)
}

// faultKinds lists the kinds of faults. Faults of one kind run one after the other;
// those of different kinds may overlap.
var faultKinds = []faultKind{
	{"planned stop", 3, plannedStop},
	{"kill", 3, kill},
	{"pause", 3, pause},
	{"hangup", 1, hangup},
	{"mass kill", 1, killMostHosts},
	{"callers' connections", 2, disturbCallers},
	{"store's connections", 3, disturbStore},
	{"store", 3, storeFault},
	{"compaction", 1, compact},
	{"server crash", 3, serverCrash},
	{"server drain", 2, serverDrain},
	{"server's connections", 3, disturbServer},
	{"server's responses", 3, misbehave},
}

// runFaults starts faults for the configured length and waits until all have ended.
func (w *world) runFaults(ctx context.Context) {
	locks := map[string]*sync.Mutex{}
	var running sync.WaitGroup
	maxInterval := maxFaultIntervals[w.cfg.Seed%uint64(len(maxFaultIntervals))]
	for end := time.Now().Add(w.cfg.Length); time.Now().Before(end) && ctx.Err() == nil; {
		a := w.randomFaultKind()
		target := w.rand.IntN(targets)
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

func (w *world) randomFaultKind() faultKind {
	sum := 0
	for _, a := range faultKinds {
		sum += a.weight
	}
	n := w.rand.IntN(sum)
	for _, a := range faultKinds {
		if n < a.weight {
			return a
		}
		n -= a.weight
	}
	return faultKinds[0]
}

func (w *world) host(target int) *host     { return w.hosts[target%len(w.hosts)] }
func (w *world) server(target int) *server { return w.servers[target%len(w.servers)] }

// withFault keeps a fault of a subject in force for d.
func (w *world) withFault(subject string, d time.Duration, begin, end func()) {
	w.recordFault(subject, time.Now().Add(d))
	begin()
	time.Sleep(d)
	end()
	w.recordFault(subject, time.Now())
}

// tryWithLock runs f while holding the fault lock of a process, and skips f when
// another fault of that process is in force.
func tryWithLock(process *sync.Mutex, f func()) {
	if !process.TryLock() {
		return
	}
	defer process.Unlock()
	f()
}

// restartHost starts a new process of a host.
func (w *world) restartHost(h *host) {
	if err := h.launch(); err != nil {
		w.addViolation(ruleSoak, "cannot start %s: %v", h.name, err)
	}
}

func plannedStop(w *world, target int, d time.Duration) {
	h := w.host(target)
	tryWithLock(&h.faultMu, func() {
		w.logEvent("%s: planned stop", h.name)
		h.stopGracefully()
		time.Sleep(d / 4)
		w.restartHost(h)
		w.recordPlanned(h.name, time.Now())
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
	if h.launchedSince(time.Now().Add(-handlerTime)) {
		return
	}
	w.logEvent("%s gets SIGHUP", h.name)
	h.signal(syscall.SIGHUP, false)
}

// killMostHosts kills all hosts, or all but the first.
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

// faultModes are the modes that disturb connections.
var faultModes = []Mode{Delay, SilenceUp, SilenceDown, Silence, Reset}

// disturbConnections switches a proxy to one of faultModes for d.
func (w *world) disturbConnections(p *Proxy, what, subject string, target int, d time.Duration) {
	m := faultModes[target%len(faultModes)]
	w.logEvent("%s: %s for %v", what, m, d.Round(time.Millisecond))
	w.withFault(subject, d, func() { p.Set(m) }, func() { p.Set(Pass) })
}

func disturbCallers(w *world, target int, d time.Duration) {
	h := w.host(target)
	w.disturbConnections(h.callerProxy, "callers of "+h.name, h.name, target/choiceStep, d)
}

func disturbStore(w *world, target int, d time.Duration) {
	h := w.host(target)
	w.disturbConnections(h.storeProxy, "store of "+h.name, h.name, target/choiceStep, d)
}

func disturbServer(w *world, target int, d time.Duration) {
	s := w.server(target)
	w.disturbConnections(s.proxy, "callers of "+s.id, s.id, target/choiceStep, d)
}

// misbehave makes a backend server answer the requests that it runs in a wrong way.
func misbehave(w *world, target int, d time.Duration) {
	s := w.server(target)
	m := platformtest.Misbehaviours[(target/choiceStep)%len(platformtest.Misbehaviours)]
	backend := s.currentBackend()
	if backend == nil {
		return
	}
	w.logEvent("%s: %s for %v", s.id, m, d.Round(time.Millisecond))
	w.withFault(s.id, d, func() { backend.SetMisbehaviour(m) }, func() { backend.SetMisbehaviour(platformtest.WellBehaved) })
}

// storeFaults are the store faults that affect all hosts.
var storeFaults = []platformtest.Fault{platformtest.Down, platformtest.Busy, platformtest.Silent, platformtest.LostAnswer}

func storeFault(w *world, target int, d time.Duration) {
	f := storeFaults[target%len(storeFaults)]
	w.logEvent("the store: %v for %v", f, d.Round(time.Millisecond))
	w.withFault("store", d, func() { w.store.SetFault(f) }, func() { w.store.SetFault(platformtest.NoFault) })
}

func compact(w *world, _ int, _ time.Duration) {
	w.logEvent("the store compacts its history")
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
		backend := s.currentBackend()
		if backend == nil {
			return
		}
		w.logEvent("%s leaves and tells so, and drains after %v", s.id, drainNotice(d))
		backend.SetLeaving()
		time.Sleep(drainNotice(d))
		s.drain()
		time.Sleep(drainServeTime)
		w.withFault(s.id, d, s.crash, func() { w.restartServer(s) })
	})
}

// drainNotice returns how long a server that leaves is still listed as ready.
func drainNotice(d time.Duration) time.Duration { return min(d, maxDrainNotice) }

// serverFull makes a server reject all requests.
func serverFull(w *world, target int, d time.Duration) {
	s := w.server(target)
	backend := s.currentBackend()
	if backend == nil {
		return
	}
	form := platformtest.RetryAfterForms[(target/choiceStep)%len(platformtest.RetryAfterForms)]
	w.logEvent("%s is full for %v and tells %v", s.id, d.Round(time.Millisecond), form)
	backend.SetFull(d, form)
	time.Sleep(d)
}

func (w *world) restartServer(s *server) {
	if err := s.instance.Start(); err != nil {
		w.addViolation(ruleSoak, "cannot start %s: %v", s.id, err)
	}
}
