package requestlog

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/event"
)

// subject holds what a request involved: its time, hosts, servers and key. It selects
// the log lines that are context of the request.
type subject struct {
	first, last time.Time
	hosts       map[string]bool // hosts that handled the request
	servers     map[string]bool // servers that it was sent to
	service     string
	keyed       bool
	key         uint16
}

func subjectOf(steps []Step) *subject {
	s := &subject{
		first:   steps[0].Time,
		last:    steps[len(steps)-1].Time,
		hosts:   map[string]bool{},
		servers: map[string]bool{},
	}
	for _, step := range steps {
		s.hosts[step.Host] = true
		s.addEvent(step.Event)
	}
	return s
}

func (s *subject) addEvent(e event.Event) {
	switch e := e.(type) {
	case event.RequestReceived:
		s.service = e.Service
		s.setKey(e.Keyed, e.Key)
	case event.RequestSent:
		s.servers[e.Server] = true
		s.setKey(e.Keyed, e.Key)
	case event.SendFailed:
		s.servers[e.Server] = true
		s.setKey(e.Keyed, e.Key)
	case event.RequestAnswered:
		s.service = e.Service
		s.servers[e.Server] = true
	case event.RequestRefused:
		s.service = e.Service
		if e.Server != "" {
			s.servers[e.Server] = true
		}
		s.setKey(e.Keyed, e.Key)
	}
}

func (s *subject) setKey(keyed bool, key uint16) {
	if keyed {
		s.keyed, s.key = true, key
	}
}

// keyIn reports whether the request's key lies in the range [from, to].
func (s *subject) keyIn(from, to uint16) bool { return s.keyed && from <= s.key && s.key <= to }

// concerns reports whether a line is context of the request: whether it is about a
// host that handled the request, a server that it was sent to, or its key.
func (s *subject) concerns(l event.Line) bool {
	if id, ok := serverOf(l.Event); ok {
		return s.servers[id]
	}
	switch e := l.Event.(type) {
	case event.RangeMoved:
		return e.Service == s.service && s.keyIn(e.From, e.To)
	case event.KeysReleased:
		return s.keyIn(e.From, e.To)
	case event.GrantFailed:
		return s.keyIn(e.From, e.To)
	case event.StandingBegun:
		return s.hosts[l.Host] && s.servers[e.Server]
	case event.StandingEnded:
		return s.hosts[l.Host] && s.servers[e.Server]
	case event.HeaderUnreadable:
		return s.hosts[l.Host] && s.servers[e.Server]
	case event.ServersSuspected:
		return s.anyServer(e.Servers)
	case event.RoleChanged:
		return true
	case event.RetryBudgetExhausted:
		return s.hosts[l.Host] && e.Service == s.service
	case event.MapApplied:
		return s.hosts[l.Host] && !l.Time.Before(s.first) && !l.Time.After(s.last)
	case event.RelayFailed, event.RelayedCallFailed, event.AssignmentRecorded:
		return false
	}
	return s.hosts[l.Host]
}

// serverOf returns the id of the server that an event is about, whichever host wrote it.
// ok is false for other events.
func serverOf(e event.Event) (id string, ok bool) {
	switch e := e.(type) {
	case event.ServerFound:
		return e.ID, true
	case event.ServerRestarted:
		return e.ID, true
	case event.ServerChanged:
		return e.ID, true
	case event.ServerGone:
		return e.ID, true
	case event.ServerLeaving:
		return e.Server, true
	case event.ServerLeavingEnded:
		return e.Server, true
	case event.ServerFull:
		return e.Server, true
	case event.ServerFullEnded:
		return e.Server, true
	case event.SuspectProbed:
		return e.Server, true
	}
	return "", false
}

func (s *subject) anyServer(ids []string) bool {
	for _, id := range ids {
		if s.servers[id] {
			return true
		}
	}
	return false
}
