package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

// answer is the outcome of one request as its caller saw it.
type answer struct {
	id         string
	atMostOnce bool // the request may run at most once
	outcome    outcome
}

// pair names two backends that held a key at the same time.
type pair struct{ a, b *platformtest.Backend }

// ledger records the answers that callers got and the backends that ran requests. A
// restarted backend server is a new backend.
type ledger struct {
	w        *world
	mu       sync.Mutex
	lastID   int
	answers  []answer
	backends []*platformtest.Backend
	servers  map[*platformtest.Backend]*server // of the backends that are running
	// reached holds the servers that each request reached.
	reached    map[string][]*server
	unanswered []unanswered
	// overlaps holds, by key, each backend that began a request of the key (a) while
	// another held the key too (b).
	overlaps map[uint64]map[pair]bool
}

func newLedger(w *world) *ledger {
	return &ledger{
		w:        w,
		servers:  map[*platformtest.Backend]*server{},
		reached:  map[string][]*server{},
		overlaps: map[uint64]map[pair]bool{},
	}
}

func (l *ledger) newID(prefix string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return fmt.Sprintf("%s-%d-%d", prefix, l.w.cfg.Seed, l.lastID)
}

func (l *ledger) addBackend(s *server, backend *platformtest.Backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backends = append(l.backends, backend)
	l.servers[backend] = s
}

func (l *ledger) removeBackend(backend *platformtest.Backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.servers, backend)
}

func (l *ledger) addAnswer(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
}

// requestStarted checks a request that a backend begins to run: no other may run
// requests of the key while both hold it, and a draining server gets no new requests.
func (l *ledger) requestStarted(s *server, backend *platformtest.Backend, key uint64) {
	now := time.Now()
	l.checkDrain(s, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for other, o := range l.servers {
		if other == backend || !other.Holds(key) {
			continue
		}
		if l.recentlyResumed(now) {
			continue
		}
		if l.overlaps[key] == nil {
			l.overlaps[key] = map[pair]bool{}
		}
		l.overlaps[key][pair{backend, other}] = true
		if l.overlaps[key][pair{other, backend}] {
			l.w.addViolation(ruleOwner, "%s and %s both ran requests of key %d while both held it", s.id, o.id, key)
		}
	}
}

// recentlyResumed reports whether a host was resumed so lately that grants which it
// sent before its pause may have just arrived.
func (l *ledger) recentlyResumed(now time.Time) bool {
	for _, h := range l.w.hosts {
		if resumed := h.resumedAt.Load(); resumed != 0 && now.Sub(time.Unix(0, resumed)) < resumeSlack {
			return true
		}
	}
	return false
}

// checkDrain checks that no request reaches a server too long after it began to
// drain. The bound holds only while the store, the server and all hosts are
// undisturbed, and no host has just been told to stop.
func (l *ledger) checkDrain(s *server, now time.Time) {
	since := s.drainingSince()
	if since.IsZero() || now.Sub(since) < drainTime+requestDuration {
		return
	}
	subjects := []string{"store", s.id}
	for _, h := range l.w.hosts {
		subjects = append(subjects, h.name)
		if h.stoppedSince(now.Add(-undisturbedPeriod)) {
			return
		}
	}
	if l.w.undisturbed(now, subjects...) {
		l.w.addViolation(ruleDrain, "%s began a request %v after its draining was acknowledged", s.id, now.Sub(since).Round(time.Millisecond))
	}
}

// checkRuns compares the answers with the requests that ran.
func (l *ledger) checkRuns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := map[string]int{}
	sent := map[string]bool{}
	for _, backend := range l.backends {
		for id, n := range backend.AllRuns() {
			runs[id] += n
		}
	}
	for _, a := range l.answers {
		sent[a.id] = true
		n := runs[a.id]
		if a.atMostOnce && n > 1 {
			l.w.addViolation(ruleTwice, "%s ran %d times", a.id, n)
		}
		if a.atMostOnce && a.outcome == rejected && n > 0 {
			l.w.addViolation(ruleRefused, "%s ran although its answer said that it did not", a.id)
		}
		if a.outcome == served && n == 0 {
			l.w.addViolation(ruleUnrun, "%s was answered although it did not run", a.id)
		}
	}
	for id := range runs {
		if !sent[id] && !strings.HasPrefix(id, "probe-") {
			l.w.addViolation(ruleUnasked, "%s ran but no caller sent it", id)
		}
	}
}
