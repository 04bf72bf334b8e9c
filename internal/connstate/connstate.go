// Package connstate tells, without reading or writing, what a connection has to read and
// whether all that was written to it has arrived.
package connstate

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a connection has to read.
type State uint8

// The states of a connection.
const (
	Quiet State = iota // nothing; a connection that cannot be looked at counts as quiet
	Bytes              // bytes that have arrived
	Ended              // the end of the connection, or an error
)

// Of returns the state of a connection.
func Of(conn net.Conn) State {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return Quiet
	}
	control, err := sys.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	err = control.Read(func(fd uintptr) bool {
		state = peek(int(fd))
		return true
	})
	if err != nil {
		return Ended
	}
	return state
}

// peek returns the state of a socket.
func peek(fd int) State {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN:
		return Quiet
	case err == nil && n > 0:
		return Bytes
	}
	return Ended
}

// Unacknowledged reports whether bytes that were written to a connection have not arrived at
// the other end yet. A connection that cannot be looked at counts as having none.
func Unacknowledged(conn net.Conn) bool {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	if controlErr := control.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); controlErr != nil {
		return false
	}
	return err == nil && n > 0
}
