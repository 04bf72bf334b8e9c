package keyserver

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const readHeaderTimeout = 5 * time.Second

// process stands for one operating system process of the server, from its start
// until it is killed.
type process struct {
	connCost time.Duration
	ended    chan struct{}

	mu         sync.Mutex
	connClosed *sync.Cond // signals that a connection closed
	maxConns   int        // 0 means no limit
	open       int        // accepted or reserved
	conns      map[*conn]struct{}
	frozen     chan struct{} // closed by thaw; nil while the process is not frozen
	terminated bool
}

func newProcess(connCost time.Duration, maxConns int) *process {
	p := &process{
		connCost: connCost,
		ended:    make(chan struct{}),
		maxConns: maxConns,
		conns:    map[*conn]struct{}{},
	}
	p.connClosed = sync.NewCond(&p.mu)
	return p
}

func (p *process) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen == nil {
		p.frozen = make(chan struct{})
	}
}

func (p *process) thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen != nil {
		close(p.frozen)
		p.frozen = nil
	}
}

// waitThawed waits until the process is not frozen, has ended, or until is
// closed. It reports whether the process runs.
func (p *process) waitThawed(until <-chan struct{}) bool {
	for {
		p.mu.Lock()
		frozen := p.frozen
		p.mu.Unlock()
		if frozen == nil {
			return !p.isTerminated()
		}
		select {
		case <-frozen:
		case <-p.ended:
			return false
		case <-until:
			return false
		}
	}
}

func (p *process) isTerminated() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// terminate ends the process at once, and with it its connections and requests.
func (p *process) terminate() {
	p.mu.Lock()
	if p.terminated {
		p.mu.Unlock()
		return
	}
	p.terminated = true
	close(p.ended)
	conns := p.conns
	p.conns = map[*conn]struct{}{}
	p.connClosed.Broadcast()
	p.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
}

// reserveConn waits until the process is below its connection limit and reserves
// a connection. It reports false when the process has ended.
func (p *process) reserveConn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.maxConns > 0 && p.open >= p.maxConns && !p.terminated {
		p.connClosed.Wait()
	}
	p.open++
	return !p.terminated
}

func (p *process) releaseConn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.connClosed.Signal()
}

func (p *process) track(raw net.Conn) *conn {
	c := newConn(raw, p, p.connCost)
	p.mu.Lock()
	over := p.terminated
	if !over {
		p.conns[c] = struct{}{}
	}
	p.mu.Unlock()
	if over {
		_ = raw.Close()
	}
	return c
}

func (p *process) untrack(c *conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	p.releaseConn()
}

// silenceConns makes every open connection go silent and returns their number.
func (p *process) silenceConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.goSilent()
	}
	return len(p.conns)
}

func (p *process) openConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Start serves at addr, an IP and a port; port 0 picks one. Errors are of kind
// BadSettings.
func (s *Server) Start(addr string) error {
	raw, err := net.Listen("tcp", addr)
	if err != nil {
		return fault.Wrap(fault.BadSettings, err, "listen for requests")
	}
	s.mu.Lock()
	s.process = newProcess(s.traits.connCost(), s.traits.Connections)
	s.addr = raw.Addr().String()
	s.started = time.Now()
	s.grants = map[string]*grant{}
	p := s.process
	s.mu.Unlock()
	server := &http.Server{Handler: s.processHandler(p), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: discardLog}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(&listener{Listener: raw, process: p})
	}()
	s.mu.Lock()
	s.stopProcess = func() {
		p.terminate()
		_ = server.Close()
		<-served
	}
	s.mu.Unlock()
	return nil
}

// Addr returns the address that the server was last started at.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Freeze stops the server until Thaw: connections stay open, the operating system
// accepts new ones, and nothing is answered.
func (s *Server) Freeze() { s.currentProcess().freeze() }

// Thaw resumes a frozen server with everything that it had begun.
func (s *Server) Thaw() { s.currentProcess().thaw() }

// SilenceConns makes every connection that is open now drop all traffic from now
// on, and returns their number.
func (s *Server) SilenceConns() int { return s.currentProcess().silenceConns() }

// Kill ends the server's process at once; connections to it are refused.
func (s *Server) Kill() {
	s.mu.Lock()
	closeServer := s.stopProcess
	s.stopProcess = nil
	s.mu.Unlock()
	if closeServer != nil {
		closeServer()
	}
}

// Restart starts a killed server again at its address, cold and without grants.
func (s *Server) Restart() error {
	s.mu.Lock()
	running := s.stopProcess != nil
	s.mu.Unlock()
	if running {
		return errors.New("the server is running")
	}
	return s.Start(s.Addr())
}

func (s *Server) currentProcess() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

func (p *process) isFrozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen != nil && !p.terminated
}
