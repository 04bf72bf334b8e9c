package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does to the connections through it.
type Mode uint8

// The modes.
const (
	Pass        Mode = iota
	Delay            // delays bytes in both directions
	SilenceUp        // drops bytes sent to the target
	SilenceDown      // drops bytes sent by the target
	Silence          // drops bytes in both directions
	Reset            // resets present and new connections
)

func (m Mode) String() string {
	return [...]string{"pass", "delay", "silence up", "silence down", "silence", "reset"}[m]
}

// addedDelay is the delay of each read in mode Delay.
const addedDelay = 40 * time.Millisecond

// Proxy forwards TCP connections from a loopback address to a target, and disturbs
// them according to its mode.
type Proxy struct {
	lis    net.Listener
	target string
	wg     sync.WaitGroup

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// NewProxy starts a proxy to a target. Close stops it.
func NewProxy(target string) (*Proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{lis: lis, target: target, conns: map[net.Conn]bool{}}
	p.wg.Add(1)
	go p.accept()
	return p, nil
}

// Address returns the address to connect to.
func (p *Proxy) Address() string { return p.lis.Addr().String() }

// Set changes the mode. A direction of a connection that has lost bytes stays
// silent, since the bytes are missing from the stream.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == Reset {
		for c := range p.conns {
			reset(c)
		}
	}
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	_ = p.lis.Close() // makes accept return
	p.mu.Lock()
	for c := range p.conns {
		_ = c.Close() // makes its copies return
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	defer p.wg.Done()
	for {
		c, err := p.lis.Accept()
		if err != nil {
			return // closed
		}
		p.wg.Add(1)
		go p.serve(c)
	}
}

func (p *Proxy) serve(downstream net.Conn) {
	defer p.wg.Done()
	if p.currentMode() == Reset {
		reset(downstream)
		return
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(downstream) // the target is down: the caller sees a broken connection
		return
	}
	p.track(downstream, upstream)
	defer p.release(downstream, upstream)
	var copies sync.WaitGroup
	copies.Add(2)
	go func() { defer copies.Done(); p.copy(upstream, downstream, SilenceUp) }()
	go func() { defer copies.Done(); p.copy(downstream, upstream, SilenceDown) }()
	copies.Wait()
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *Proxy) release(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close() // nothing uses it any more
	}
}

// copy forwards the bytes of one direction. Once it has dropped bytes, the direction
// stays silent, as a connection does whose state a router has lost.
func (p *Proxy) copy(to, from net.Conn, silentMode Mode) {
	buf := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(buf)
		if n > 0 && !dropping {
			switch p.currentMode() {
			case silentMode, Silence:
				dropping = true
			case Delay:
				time.Sleep(addedDelay)
			}
			if !dropping {
				if _, werr := to.Write(buf[:n]); werr != nil {
					_ = from.Close() // ends the other direction
					return
				}
			}
		}
		if err != nil {
			if dropping {
				return // the other end must not learn of the close
			}
			closeWrite(to, err)
			return
		}
	}
}

// closeWrite forwards the end of a direction, either an orderly close or a reset.
func closeWrite(c net.Conn, err error) {
	tcp, ok := c.(*net.TCPConn)
	if ok && err == io.EOF {
		_ = tcp.CloseWrite() // fails only on a closed connection
		return
	}
	reset(c)
}
