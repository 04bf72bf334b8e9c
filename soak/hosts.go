package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

// host is an entry host, over all of its processes.
type host struct {
	w            *world
	name         string
	settingsPath string
	trafficAddr  string // listens for callers' requests
	peerAddr     string // listens for requests of other hosts
	storeProxy   *Proxy // from the host to the store
	callerProxy  *Proxy // from callers to the host

	mu      sync.Mutex
	process process
	exited  chan struct{}
	// launches counts the processes started for this host; it numbers the present one.
	launches atomic.Int64
	// stops holds when the planned stop of each process began, by its number.
	stops        map[int64]time.Time
	launchedAt   time.Time // when the present process was started
	resumedAt    atomic.Int64
	exitExpected bool // the process was told to exit

	faultMu sync.Mutex // held while a fault of the process is in force
}

// Ports of a process. Each process of a seed listens on its own loopback address, so
// that no connection of another process can occupy its ports while it is down.
const (
	trafficPort = 7001 + iota
	readinessPort
	peerPort
)

// handlerTime is how long a new process may take until it handles SIGHUP, which ends it
// before.
const handlerTime = time.Second

// probeTimeout bounds a request that checks whether a host serves.
const probeTimeout = 2 * time.Second

// maxConcurrentSeeds is the number of consecutive seeds that can run at the same
// time without sharing loopback addresses.
const maxConcurrentSeeds = 200

// localNetworks is the number of networks of runs with hosts in this process, 127.201 to
// 127.209, after those of the seeds. Runs whose process ids are equal modulo this number
// share one, and the second fails to start.
const localNetworks = 9

// address returns the loopback address of the i-th process of a run.
func (c Config) address(i, port int) string {
	network := 1 + int(c.Seed%maxConcurrentSeeds)
	if c.Program == "" {
		network = 1 + maxConcurrentSeeds + os.Getpid()%localNetworks
	}
	return fmt.Sprintf("127.%d.%d.1:%d", network, 1+i, port)
}

func newHost(w *world, i int, store string) (*host, error) {
	h := &host{w: w, name: fmt.Sprintf("entry-%d", i), stops: map[int64]time.Time{}}
	var err error
	if h.storeProxy, err = NewProxy(store); err != nil {
		return nil, err
	}
	h.trafficAddr = w.cfg.address(i, trafficPort)
	if h.callerProxy, err = NewProxy(h.trafficAddr); err != nil {
		return nil, err
	}
	h.peerAddr = w.cfg.address(i, peerPort)
	ip, _, err := net.SplitHostPort(h.peerAddr)
	if err != nil {
		return nil, err
	}
	seed := h.peerAddr
	if len(w.hosts) > 0 {
		seed = w.hosts[0].peerAddr
	}
	text := platformtest.Settings{
		Host:      h.name,
		IP:        ip,
		Traffic:   h.trafficAddr,
		Readiness: w.cfg.address(i, readinessPort),
		Peer:      h.peerAddr,
		Seed:      seed,
		Store:     h.storeProxy.Address(),
		StopGrace: graceTime,
	}.YAML()
	h.settingsPath = filepath.Join(w.cfg.Dir, h.name+".yaml")
	return h, os.WriteFile(h.settingsPath, []byte(text), 0o600)
}

// launch starts the process. Its output is appended to the host's log.
func (h *host) launch() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(h.w.cfg.Dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p, err := h.start(log)
	if err != nil {
		_ = log.Close() // nothing was written to it
		return err
	}
	h.process, h.exited, h.exitExpected = p, make(chan struct{}), false
	h.launchedAt = time.Now()
	h.launches.Add(1)
	go h.awaitExit(p, h.exited)
	return nil
}

// start starts the program, or the host in this process if there is none.
func (h *host) start(log *os.File) (process, error) {
	if h.w.cfg.Program == "" {
		return startLocal(h.settingsPath, log)
	}
	return startProgram(h.w.cfg.Program, h.settingsPath, log)
}

func (h *host) awaitExit(p process, exited chan struct{}) {
	err := p.wait()
	h.mu.Lock()
	expected := h.exitExpected
	h.mu.Unlock()
	if !expected {
		h.w.addViolation(ruleExit, "%s exited unexpectedly: %v", h.name, err)
	}
	close(exited)
}

// signal sends a signal to the process. With mayExit, the process may exit because
// of it.
func (h *host) signal(s syscall.Signal, mayExit bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exitExpected = h.exitExpected || mayExit
	n := h.launches.Load()
	if s == syscall.SIGTERM && h.stops[n].IsZero() {
		h.stops[n] = time.Now()
	}
	h.process.signal(s)
}

// stopGracefully stops the process by SIGTERM, and by SIGKILL if it has not exited
// a second after the grace period.
func (h *host) stopGracefully() {
	begin := time.Now()
	h.signal(syscall.SIGTERM, true)
	select {
	case <-h.done():
	case <-time.After(graceTime + time.Second):
		if h.w.faultFree(begin.Add(undisturbedPeriod), h.name) {
			h.w.addViolation(ruleLost, "%s was still running %v after SIGTERM", h.name, graceTime+time.Second)
		}
		h.kill()
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL, true)
	<-h.done()
}

// suspend pauses the process by SIGSTOP.
func (h *host) suspend() { h.signal(syscall.SIGSTOP, false) }

// resume continues a suspended process.
func (h *host) resume() {
	h.resumedAt.Store(time.Now().UnixNano())
	h.signal(syscall.SIGCONT, false)
}

func (h *host) done() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exited
}

// stopOf returns when the planned stop of a process began, or zero if it did not.
func (h *host) stopOf(launch int64) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stops[launch]
}

// processName names a process of a host by its number.
func processName(host string, launch int64) string { return fmt.Sprint(host, "/", launch) }

// launchedSince reports whether the process was started after t.
func (h *host) launchedSince(t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.launchedAt.After(t)
}

// stoppedSince reports whether the planned stop of the process began after t.
func (h *host) stoppedSince(t time.Time) bool { return h.stopOf(h.launches.Load()).After(t) }

// resumedSince reports whether the process was resumed after t.
func (h *host) resumedSince(t time.Time) bool {
	resumed := h.resumedAt.Load()
	return resumed != 0 && time.Unix(0, resumed).After(t)
}

// close kills the process and closes its proxies.
func (h *host) close() {
	if h.process != nil {
		h.signal(syscall.SIGCONT, true)
		h.kill()
	}
	h.storeProxy.Close()
	h.callerProxy.Close()
}

// serves reports whether the host serves a key on a path that a configuration
// version added.
func (h *host) serves(ctx context.Context, version int, key uint16) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	path := fmt.Sprintf("/look/v%d/ready", version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.trafficAddr+path, nil)
	if err != nil {
		return false
	}
	req.Host = requestHost
	req.Close = true
	platformtest.SetRequestHeaders(req.Header, h.w.ledger.newID("probe"), int(key), probeTimeout)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
