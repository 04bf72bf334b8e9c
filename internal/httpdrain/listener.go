package httpdrain

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptTail is how long a closing listener waits for connections. Those in its backlog,
// which would be reset, are accepted after it, too.
const acceptTail = 10 * time.Millisecond

// listener registers the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
	slots  chan struct{} // holds one for each open connection; nil if there is no limit
}

func newListener(l net.Listener, s *Server) *listener {
	out := &listener{Listener: l, server: s}
	if s.MaxConns > 0 {
		out.slots = make(chan struct{}, s.MaxConns)
	}
	return out
}

// acquire waits until the limit on connections admits one more, or the server closes. It
// returns what releases the place.
func (l *listener) acquire() (release func()) {
	if l.slots == nil {
		return func() {}
	}
	select {
	case l.slots <- struct{}{}:
		return sync.OnceFunc(func() { <-l.slots })
	case <-l.server.ended:
		return func() {}
	}
}

// Accept implements net.Listener. While the server closes, it ends once the backlog is
// empty.
func (l *listener) Accept() (net.Conn, error) {
	release := l.acquire()
	raw, err := l.accept()
	if err != nil {
		release()
		return nil, err
	}
	c := &conn{Conn: raw, idle: true, since: time.Now(), release: release}
	l.server.add(c)
	return c, nil
}

// accept accepts a connection. A closing listener whose time is over goes on as long as
// its backlog is not empty.
func (l *listener) accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err == nil {
			return raw, nil
		}
		if !isTimeout(err) || !l.server.isClosing() {
			return nil, err
		}
		if !hasBacklog(l.Listener) || !endAccept(l.Listener) {
			return nil, net.ErrClosed
		}
	}
}

// hasBacklog reports whether a connection waits to be accepted. A deadline that has expired
// doesn't tell: Accept then fails without a look at the backlog.
func hasBacklog(l net.Listener) bool {
	sys, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		ready, _ = unix.Poll(fds, 0) // an error counts as no connection
	})
	return err == nil && ready > 0
}

// isTimeout reports whether err is that of a deadline that has expired.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// endAccept has Accept end after acceptTail. It reports whether the listener can do that.
func endAccept(l net.Listener) bool {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(acceptTail)) == nil
}
