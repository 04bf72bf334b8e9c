package soak

import (
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

const (
	// budgetReaction is how long a host may go on sending to a server that has told it
	// for how long it wants no requests.
	budgetReaction = 500 * time.Millisecond
	// budgetRequests is how many requests may reach the server after that.
	budgetRequests = 2
)

// link is a host's process together with a run of a backend server.
type link struct {
	backend *platformtest.Backend
	process string
}

// quietPeriod is a time in which a server wants no requests from a host.
type quietPeriod struct {
	from, to time.Time
	requests int // that reached the server in it
}

// announcements checks that hosts heed what servers announce: that they leave, and for
// how long they want no requests.
type announcements struct {
	w  *world
	mu sync.Mutex
	// sent holds the requests of callers by id, marked the servers that announced in
	// their response to one that they leave.
	sent   map[string]*attempt
	marked map[string][]*platformtest.Backend
	// passedOn holds when a host passed on the first response in which a server
	// announced that it leaves.
	passedOn map[link]time.Time
	quiet    map[link][]*quietPeriod
	// reported holds the links of which a violation was reported, by rule.
	reported map[string]map[link]bool
}

func newAnnouncements(w *world) *announcements {
	return &announcements{
		w:        w,
		sent:     map[string]*attempt{},
		marked:   map[string][]*platformtest.Backend{},
		passedOn: map[link]time.Time{},
		quiet:    map[link][]*quietPeriod{},
		reported: map[string]map[link]bool{ruleDrain: {}, ruleBudget: {}},
	}
}

// requestSent records that a caller is about to send a request.
func (n *announcements) requestSent(a *attempt) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[a.id] = a
}

// senderOf returns the request with an id, if the process that it was sent to still
// runs.
func (n *announcements) senderOf(id string) (*attempt, bool) {
	a, ok := n.sent[id]
	return a, ok && a.launch == a.host.launches.Load()
}

// announced records what a server tells in its response to a request.
func (n *announcements) announced(s *server, backend *platformtest.Backend, id string, m platformtest.Announcement) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	a, ok := n.senderOf(id)
	if !ok {
		return
	}
	if m.Leaving {
		n.marked[id] = append(n.marked[id], backend)
	}
	if m.RetryAfter > budgetReaction && n.w.faultFree(now, a.host.name, s.id) {
		l := link{backend, a.process}
		n.quiet[l] = append(n.quiet[l], &quietPeriod{from: now.Add(budgetReaction), to: now.Add(m.RetryAfter)})
	}
}

// responsePassedOn records that a host passed on a server's response to a request.
func (n *announcements) responsePassedOn(a *attempt, server string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, backend := range n.marked[a.id] {
		l := link{backend, a.process}
		if backend.ID == server && n.passedOn[l].IsZero() {
			n.passedOn[l] = time.Now()
		}
	}
}

// requestArrived checks that a request does not reach a server that wants none.
func (n *announcements) requestArrived(s *server, backend *platformtest.Backend, id string) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	a, ok := n.senderOf(id)
	if !ok || !n.w.faultFree(now, a.host.name, s.id) {
		return
	}
	l := link{backend, a.process}
	var current []*quietPeriod
	broken := false
	for _, p := range n.quiet[l] {
		if now.After(p.to) {
			continue
		}
		current = append(current, p)
		if now.Before(p.from) {
			continue
		}
		p.requests++
		broken = broken || p.requests == budgetRequests+1
	}
	n.quiet[l] = current
	if broken {
		n.report(ruleBudget, l, "%s is the third request from %s that reached %s in the time for which it wants none", id, a.process, s.id)
	}
}

// report adds the first violation of a rule on a link.
func (n *announcements) report(rule string, l link, format string, args ...any) {
	if !n.reported[rule][l] {
		n.reported[rule][l] = true
		n.w.addViolation(rule, format, args...)
	}
}

// requestStarted checks that a server does not run a request that was sent long after
// the host had passed on that the server leaves.
func (n *announcements) requestStarted(s *server, backend *platformtest.Backend, id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, ok := n.senderOf(id)
	if !ok {
		return
	}
	l := link{backend, a.process}
	since := n.passedOn[l]
	if since.IsZero() || a.sentAt.Sub(since) <= drainTime || a.host.resumedSince(since) {
		return
	}
	n.report(ruleDrain, l, "%s was sent %v after %s had passed on that %s leaves", id, a.sentAt.Sub(since).Round(time.Millisecond), a.process, s.id)
}
