package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"
)

// lossSlack is how long after its last byte was sent a request that was not passed on
// may still cross the close of its connection.
const lossSlack = 200 * time.Millisecond

// sendSlack is how soon after it was connected a caller must have sent its request, so
// that a host has no reason to close the connection.
const sendSlack = 50 * time.Millisecond

// unanswered is a request without a complete answer.
type unanswered struct {
	attempt  *attempt
	closedAt time.Time // when its connection was closed
	err      error
	// faulty holds the servers of which a fault was in force when the connection was closed.
	faulty map[*server]bool
}

// addUnanswered records a request whose connection was closed without a complete
// answer, unless a fault of its host or a timeout explains it.
func (l *ledger) addUnanswered(a *attempt, err error) {
	now := time.Now()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() || now.Sub(a.sentAt) >= callTimeout {
		return
	}
	if !l.w.faultFree(now, a.host.name) {
		return
	}
	u := unanswered{attempt: a, closedAt: now, err: err, faulty: map[*server]bool{}}
	for _, s := range l.w.servers {
		if !l.w.faultFree(now, s.id) {
			u.faulty[s] = true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unanswered = append(l.unanswered, u)
}

// requestArrived records that a request reached a server.
func (l *ledger) requestArrived(s *server, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reached[id] = append(l.reached[id], s)
}

// checkUnanswered checks that hosts answered or refused what was sent to them whole: a
// request that was passed on must be answered. Another must neither wait for longer than
// lossSlack before its connection closes nor be dropped on a connection that the host had
// accepted for it. The rest crossed the close of a kept connection or of the listener,
// which a host cannot avoid. It runs after all requests have ended,
// since a request may be passed on after its connection has closed.
func (l *ledger) checkUnanswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range l.unanswered {
		reached := l.reached[u.attempt.id]
		switch {
		case u.excused(reached):
		case len(reached) > 0 || u.waited() > lossSlack || u.accepted():
			l.w.addViolationAt(u.closedAt, ruleLost, "%s", u.describe(l.w, reached))
		case u.waited() > 0 && u.attempt.direct:
			l.w.addCrossed(u.closedAt, u.describe(l.w, nil))
		}
	}
}

// excused reports whether a fault disturbed a server that the request had reached. One that
// reached none may have been sent to any server whose connections are disturbed.
func (u unanswered) excused(reached []*server) bool {
	if len(reached) == 0 {
		return len(u.faulty) > 0
	}
	return slices.ContainsFunc(reached, func(s *server) bool { return u.faulty[s] })
}

// accepted reports whether the host accepted a new connection for the request and closed
// it in an orderly way. Connections that wait to be accepted are reset when the listener
// closes.
func (u unanswered) accepted() bool {
	a := u.attempt
	connected, wrote := a.connectedAt.Load(), a.wroteAt.Load()
	if !a.direct || connected == 0 || wrote == 0 {
		return false
	}
	return errors.Is(u.err, io.EOF) && time.Duration(wrote-connected) <= sendSlack
}

// waited returns the time from the request's last byte to the close, or 0 if it was not
// sent whole.
func (u unanswered) waited() time.Duration {
	wrote := u.attempt.wroteAt.Load()
	if wrote == 0 {
		return 0
	}
	return max(u.closedAt.Sub(time.Unix(0, wrote)), 1)
}

// describe tells when and where the request was sent, and how its connection ended.
func (u unanswered) describe(w *world, reached []*server) string {
	a := u.attempt
	var out strings.Builder
	stop := a.host.stopOf(a.launch)
	if !stop.IsZero() && stop.Before(u.closedAt) {
		fmt.Fprintf(&out, "in a planned stop, %.3f s after SIGTERM: ", u.closedAt.Sub(stop).Seconds())
	}
	fmt.Fprintf(&out, "%s, sent to %s at %.3f s, ", a.id, a.process, a.sentAt.Sub(w.start).Seconds())
	if len(reached) > 0 {
		fmt.Fprintf(&out, "reached %s, ", reached[0].id)
	}
	if a.connectedAt.Load() != 0 {
		out.WriteString("on a new connection, ")
	}
	fmt.Fprintf(&out, "closed %.3f ms after its last byte: %v", float64(u.waited().Microseconds())/1000, u.err)
	return out.String()
}
