package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

// host is an entry host: the real program as a process of its own.
type host struct {
	w        *world
	name     string
	settings string // path
	front    string // where the process takes requests
	peer     string // where it takes other hosts' questions
	store    *Proxy // between it and the store
	callers  *Proxy // between its callers and it

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// run numbers the processes of this host; even while none runs as planned.
	run      atomic.Int64
	leaving  time.Time // when SIGTERM was sent to the present process
	thawed   atomic.Int64
	expected bool // its end was asked for

	takes sync.Mutex // held by the fault of the process that is in force
}

// Ports of a process. Each process of a seed has a loopback address of its own, so
// that no connection of another can take its ports while it is down.
const (
	trafficPort = 7001 + iota
	readinessPort
	peerPort
)

// probeTime bounds a request that asks whether a host serves.
const probeTime = 2 * time.Second

// seedBlocks is the number of seeds that may run at the same time.
const seedBlocks = 200

// address returns the loopback address of the i-th process of a seed.
func address(seed uint64, i, port int) string {
	return fmt.Sprintf("127.%d.%d.1:%d", 1+seed%seedBlocks, 1+i, port)
}

func newHost(w *world, i int, store string) (*host, error) {
	h := &host{w: w, name: fmt.Sprintf("entry-%d", i)}
	var err error
	if h.store, err = NewProxy(store); err != nil {
		return nil, err
	}
	h.front = address(w.cfg.Seed, i, trafficPort)
	if h.callers, err = NewProxy(h.front); err != nil {
		return nil, err
	}
	h.peer = address(w.cfg.Seed, i, peerPort)
	ip, _, err := net.SplitHostPort(h.peer)
	if err != nil {
		return nil, err
	}
	seed := h.peer
	if len(w.hosts) > 0 {
		seed = w.hosts[0].peer
	}
	text := platformtest.Settings{
		Host:      h.name,
		IP:        ip,
		Traffic:   h.front,
		Readiness: address(w.cfg.Seed, i, readinessPort),
		Peer:      h.peer,
		Seed:      seed,
		Store:     h.store.Address(),
		StopGrace: graceTime,
	}.YAML()
	h.settings = filepath.Join(w.cfg.Dir, h.name+".yaml")
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// launch starts the process, whose output is added to the host's log.
func (h *host) launch() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(h.w.cfg.Dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close() // the process has its own descriptor
	cmd := exec.Command(h.w.cfg.Program)
	cmd.Env = []string{platformtest.SettingsVariable + "=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	h.process, h.exited, h.expected, h.leaving = cmd, make(chan struct{}), false, time.Time{}
	h.run.Add(1)
	go h.wait(cmd, h.exited)
	return nil
}

func (h *host) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	h.mu.Lock()
	expected := h.expected
	h.mu.Unlock()
	if !expected {
		h.w.violate("EXIT", "%s ended by itself: %v", h.name, err)
	}
	close(exited)
}

// signal sends a signal to the process. Ending says that it may end by that.
func (h *host) signal(s syscall.Signal, ending bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expected = h.expected || ending
	if s == syscall.SIGTERM {
		h.leaving = time.Now()
	}
	_ = h.process.Process.Signal(s) // the process may have ended
}

// stopAsPlanned ends the process by SIGTERM.
func (h *host) stopAsPlanned() {
	begin := time.Now()
	h.signal(syscall.SIGTERM, true)
	select {
	case <-h.done():
	case <-time.After(graceTime + time.Second):
		if h.w.calm(begin.Add(touchTime), h.name) {
			h.w.violate("LOST", "%s still ran %v after SIGTERM", h.name, graceTime+time.Second)
		}
		h.kill()
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL, true)
	<-h.done()
}

// stopRunning pauses the process, thaw lets it go on.
func (h *host) stopRunning() { h.signal(syscall.SIGSTOP, false) }

func (h *host) thaw() {
	h.thawed.Store(time.Now().UnixNano())
	h.signal(syscall.SIGCONT, false)
}

func (h *host) done() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exited
}

// leavingSince returns when a planned stop of the present process began, zero for
// none.
func (h *host) leavingSince() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

// end kills the process at the end of the soak.
func (h *host) end() {
	if h.process != nil {
		h.signal(syscall.SIGCONT, true)
		h.kill()
	}
	h.store.Close()
	h.callers.Close()
}

// serves reports whether the host serves a key by a version of the configuration.
func (h *host) serves(ctx context.Context, version int, key uint16) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	path := fmt.Sprintf("/look/v%d/ready", version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.front+path, nil)
	if err != nil {
		return false
	}
	req.Host = callersHost
	req.Close = true
	platformtest.SetRequestHeaders(req.Header, h.w.ledger.newID("probe"), int(key), probeTime)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
