// Package soak runs real entry hosts on one machine, as separate processes or all in this
// one, injects faults from outside, and checks the documented guarantees by what callers
// and backend servers see.
//
// Hosts are stopped, paused, killed and restarted by signals. Connections to the
// store, to backend servers and from callers pass through loopback proxies that
// delay, silence or reset them. The stand-in for the store refuses requests, does not
// answer, loses answers and compacts its history. Backend servers crash, restart and
// drain. The configuration changes meanwhile. The seed determines the faults and
// their timing.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

// Config configures one run.
type Config struct {
	Program  string        // path of the entry host's program; "" runs the hosts in this process
	Dir      string        // directory for settings and logs
	Seed     uint64        // determines the faults
	Hosts    int           // entry hosts
	Backends int           // backend servers
	Clients  int           // callers
	Length   time.Duration // how long faults are started; the length of each fault in a tour
	Work     Work          // what happens to hosts and servers; with hosts in this process a tour
	// Progress, if set, is called with each fault and new configuration.
	Progress func(string)
}

// Work is what happens to hosts and servers in a run.
type Work string

// The kinds of work.
const (
	Faults  Work = "faults"  // faults, and single planned stops
	Planned Work = "planned" // planned work alone
	Both    Work = "both"
	Tour    Work = "tour" // a fixed sequence of single faults and planned work
)

// Works lists all kinds of work.
var Works = []Work{Faults, Planned, Both, Tour}

// Time bounds. The first three are those that the platform sets for hosts, see the
// settings in hosts.go.
const (
	drainTime = 2 * time.Second
	applyTime = 2 * time.Second
	graceTime = 6 * time.Second
	// undisturbedPeriod is how long no fault must have been in force before time
	// bounds hold.
	undisturbedPeriod = 3 * time.Second
	// resumeSlack is how long after a host was resumed overlapping grants are
	// tolerated.
	resumeSlack = 300 * time.Millisecond
	// startTimeout bounds the time until every host serves after the start,
	// recoveryTimeout after the last fault.
	startTimeout    = 30 * time.Second
	recoveryTimeout = 15 * time.Second
	// servePollInterval is the interval at which a host is asked whether it serves.
	servePollInterval = 50 * time.Millisecond
)

// world holds everything that takes part in one run.
type world struct {
	cfg      Config
	start    time.Time
	rand     *rand.Rand
	store    *platformtest.Store
	hosts    []*host
	servers  []*server
	ledger   *ledger
	operator *operator

	announcements *announcements

	mu     sync.Mutex
	report Report
	// disturbedUntil is when the last fault or planned work of each subject ends or ended. A
	// subject is a host's name, a server's id, or "store".
	disturbedUntil map[string]time.Time
	// faultUntil is the same for faults alone.
	faultUntil map[string]time.Time
}

// Run runs one seed. An error means that the run itself could not be carried out.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if cfg.Program == "" && cfg.Work != Tour {
		return nil, fault.Newf(fault.BadSettings, "work %q needs the entry host's program", cfg.Work)
	}
	w := &world{
		cfg:            cfg,
		start:          time.Now(),
		rand:           newRand(cfg.Seed),
		store:          platformtest.NewStore(),
		disturbedUntil: map[string]time.Time{},
		faultUntil:     map[string]time.Time{},
	}
	w.report.Seed = cfg.Seed
	w.ledger = newLedger(w)
	w.announcements = newAnnouncements(w)
	w.operator = newOperator(w)
	storeServer := httptest.NewServer(w.store)
	defer storeServer.Close()
	defer w.store.Close()
	defer w.close()
	if err := w.setUp(strings.TrimPrefix(storeServer.URL, "http://")); err != nil {
		return nil, err
	}
	if unserved := w.waitUntilServed(ctx, startTimeout); unserved != "" {
		return nil, fmt.Errorf("%v after the start: %s; see the logs in %s", startTimeout, unserved, cfg.Dir)
	}
	w.report.ReadyAfter = time.Since(w.start)
	w.runFaultPhase(ctx)
	w.checkAtEnd(ctx)
	w.report.Took = time.Since(w.start)
	return &w.report, nil
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

func (w *world) setUp(store string) error {
	w.operator.publish()
	for i := range w.cfg.Backends {
		s, err := newServer(w, i)
		if err != nil {
			return err
		}
		w.servers = append(w.servers, s)
	}
	for i := range w.cfg.Hosts {
		h, err := newHost(w, i, store)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		if err := h.launch(); err != nil {
			return err
		}
	}
	return nil
}

// runFaultPhase runs the clients, the operator and the heartbeats while faults are
// injected, and for undisturbedPeriod after the last fault.
func (w *world) runFaultPhase(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	for i := range w.cfg.Clients {
		running.Add(1)
		c := newClient(w, i)
		go func() {
			defer running.Done()
			c.run(ctx)
		}()
	}
	running.Add(1)
	go func() {
		defer running.Done()
		w.operator.run(ctx)
	}()
	running.Add(1)
	go func() {
		defer running.Done()
		w.runHeartbeats(ctx)
	}()
	w.runWork(ctx)
	time.Sleep(undisturbedPeriod)
	stop()
	running.Wait()
}

// runWork starts faults or planned work for the configured length and waits until all
// of it has ended.
func (w *world) runWork(ctx context.Context) {
	var running sync.WaitGroup
	if w.cfg.Work == Tour {
		w.runTour(ctx)
		return
	}
	if w.cfg.Work != Planned {
		running.Add(1)
		go func() {
			defer running.Done()
			w.runFaults(ctx)
		}()
	}
	if w.cfg.Work == Planned || w.cfg.Work == Both {
		running.Add(1)
		go func() {
			defer running.Done()
			w.runPlannedWork(ctx)
		}()
	}
	running.Wait()
}

// checkAtEnd runs the checks that need the whole run: recovery after the last fault,
// and answers against the requests that ran.
func (w *world) checkAtEnd(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go w.runHeartbeats(ctx)
	if unserved := w.waitUntilServed(ctx, recoveryTimeout); unserved != "" {
		w.addViolation(ruleRecover, "%v after the last fault: %s", recoveryTimeout, unserved)
	}
	w.ledger.checkRuns()
	w.ledger.checkUnanswered()
}

func (w *world) close() {
	for _, h := range w.hosts {
		h.close()
	}
	for _, s := range w.servers {
		s.close()
	}
}

func (w *world) addViolation(rule, format string, args ...any) {
	w.addViolationAt(time.Now(), rule, format, args...)
}

// addViolationAt adds a violation that was seen at t.
func (w *world) addViolationAt(t time.Time, rule, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report.Violations = append(w.report.Violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...), At: t.Sub(w.start)})
}

// addCrossed adds a request whose bytes crossed the close of its connection.
func (w *world) addCrossed(t time.Time, detail string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report.Crossed = append(w.report.Crossed, fmt.Sprintf("%7.3f s  %s", t.Sub(w.start).Seconds(), detail))
}

// recordFault records that a fault of a subject is in force until the given time,
// which is now for one that has just ended.
func (w *world) recordFault(subject string, until time.Time) {
	w.recordPlanned(subject, until)
	w.mu.Lock()
	defer w.mu.Unlock()
	if until.After(w.faultUntil[subject]) {
		w.faultUntil[subject] = until
	}
}

// recordPlanned records that planned work on a subject goes on until the given time, which
// is now for work that has just ended.
func (w *world) recordPlanned(subject string, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until.After(w.disturbedUntil[subject]) {
		w.disturbedUntil[subject] = until
	}
}

// undisturbed reports whether no fault and no planned work of the subjects was in force
// in the undisturbedPeriod before t.
func (w *world) undisturbed(t time.Time, subjects ...string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return endedBefore(t.Add(-undisturbedPeriod), w.disturbedUntil, subjects)
}

// faultFree reports whether no fault of the subjects was in force in the
// undisturbedPeriod before t. Planned work is no fault.
func (w *world) faultFree(t time.Time, subjects ...string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return endedBefore(t.Add(-undisturbedPeriod), w.faultUntil, subjects)
}

// endedBefore reports whether what disturbed the subjects had ended at t.
func endedBefore(t time.Time, until map[string]time.Time, subjects []string) bool {
	for _, s := range subjects {
		if until[s].After(t) {
			return false
		}
	}
	return true
}

func (w *world) logEvent(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  ", time.Since(w.start).Seconds()) + fmt.Sprintf(format, args...)
	w.report.Faults = append(w.report.Faults, line)
	if w.cfg.Progress != nil {
		w.cfg.Progress(line)
	}
}

// probedKeys are the keys that every host must serve; they spread over the key space.
var probedKeys = []uint16{0, 9000, 21000, 33000, 45000, 57000, 65535}

// waitUntilServed waits for up to d until every host serves all probedKeys under the
// newest configuration. It returns a description of what is not served, or "".
func (w *world) waitUntilServed(ctx context.Context, d time.Duration) string {
	deadline := time.Now().Add(d)
	unserved := make([]string, len(w.hosts))
	var running sync.WaitGroup
	for i, h := range w.hosts {
		running.Add(1)
		go func() {
			defer running.Done()
			unserved[i] = w.waitUntilHostServes(ctx, h, deadline)
		}()
	}
	running.Wait()
	return strings.Join(slices.DeleteFunc(unserved, func(s string) bool { return s == "" }), "; ")
}

// waitUntilHostServes waits until a host serves each probed key under the newest
// configuration. It returns what it does not serve, or "".
func (w *world) waitUntilHostServes(ctx context.Context, h *host, deadline time.Time) string {
	for _, key := range probedKeys {
		for !h.serves(ctx, w.operator.newestVersion(), key) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Sprintf("%s does not serve key %d", h.name, key)
			}
			time.Sleep(servePollInterval)
		}
	}
	return ""
}
