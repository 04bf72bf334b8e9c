package gateway

import (
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/eligibility"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

const (
	// defaultDrain applies if the drain time is not configured.
	defaultDrain = 2 * time.Second
	// reportLeavingEvery is the interval at which the assigner is told again of a server
	// that leaves while the directory lists it as ready: the report may have been lost,
	// and another host may be the assigner now.
	reportLeavingEvery = 3 * time.Second
)

// standings holds the judgements on the backend servers, from the directory and from the
// servers' answers.
type standings struct {
	mu     sync.Mutex
	book   *eligibility.Book
	listed *directory.Snapshot // applied to book last
	// reported holds when each server that said that it leaves was last reported.
	reported map[keyrange.Holder]time.Time
}

// newStandings returns standings without judgements. drain is the drain time; 0 means
// defaultDrain.
func newStandings(drain time.Duration) *standings {
	if drain <= 0 {
		drain = defaultDrain
	}
	return &standings{book: eligibility.NewBook(drain), reported: map[keyrange.Holder]time.Time{}}
}

// check decides whether a request may be sent to h now.
func (s *standings) check(h keyrange.Holder, r eligibility.Request) eligibility.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Check(h, time.Now(), r)
}

// isLeaving reports whether h leaves.
func (s *standings) isLeaving(h keyrange.Holder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.IsLeaving(h)
}

// answered applies what an answer of h says.
func (s *standings) answered(h keyrange.Holder, a eligibility.Signal) []eligibility.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if a.Leaving && !s.book.IsLeaving(h) {
		s.reported[h] = now
	}
	return s.book.Answered(h, now, a)
}

// expire ends the judgements whose time is over.
func (s *standings) expire() []eligibility.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Expire(time.Now())
}

// follow returns the current view after it has applied its directory. Views are applied
// in their order.
func (s *standings) follow(control Control) (*cluster.View, []eligibility.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := control.View()
	if view.Servers == s.listed {
		return view, nil
	}
	s.listed = view.Servers
	return view, s.book.Listed(time.Now(), view.Servers)
}

// unnoticed returns the servers that said that they leave and are still listed as ready,
// those of them that it is time to report again.
func (s *standings) unnoticed(now time.Time) []keyrange.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []keyrange.Holder
	reported := map[keyrange.Holder]time.Time{}
	for _, h := range s.book.LeavingByAnswer() {
		if !s.listsReady(h) {
			continue
		}
		reported[h] = s.reported[h]
		if now.Sub(reported[h]) >= reportLeavingEvery {
			reported[h] = now
			out = append(out, h)
		}
	}
	s.reported = reported
	return out
}

// count returns the numbers of servers that leave and that are full.
func (s *standings) count() (leaving, full int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Count(time.Now())
}

// reportUnreadable reports whether to log that a header of h's answer is unreadable.
func (s *standings) reportUnreadable(h keyrange.Holder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.ReportUnreadable(h)
}

// listsReady reports whether the directory lists h as ready. s.mu must be held.
func (s *standings) listsReady(h keyrange.Holder) bool {
	if s.listed == nil {
		return false
	}
	v := s.listed.Find(h.ID)
	return v != nil && v.Holder == h && v.State == directory.Ready
}
