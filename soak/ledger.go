package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

// answer is what a caller got for one request.
type answer struct {
	id       string
	once     bool // it may run at most once
	promised bool // the answer promised that it did not run and never will
}

// pair names two lives that held a key at the same time.
type pair struct{ a, b *platformtest.Backend }

// ledger keeps what callers and backend servers saw.
type ledger struct {
	w       *world
	mu      sync.Mutex
	count   int
	answers []answer
	lives   []*platformtest.Backend
	servers map[*platformtest.Backend]*server // of the lives that go on
	// overlaps holds, for a key, the lives that began a request while another held
	// it too.
	overlaps map[uint64]map[pair]bool
}

func newLedger(w *world) *ledger {
	return &ledger{w: w, servers: map[*platformtest.Backend]*server{}, overlaps: map[uint64]map[pair]bool{}}
}

func (l *ledger) newID(prefix string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	return fmt.Sprintf("%s-%d-%d", prefix, l.w.cfg.Seed, l.count)
}

func (l *ledger) lived(s *server, life *platformtest.Backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lives = append(l.lives, life)
	l.servers[life] = s
}

func (l *ledger) died(life *platformtest.Backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.servers, life)
}

func (l *ledger) answered(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
}

// began checks a request that a life begins: no other may hold its key and have
// begun requests on it in the same time, and a server that leaves gets no new work.
func (l *ledger) began(s *server, life *platformtest.Backend, key uint64) {
	now := time.Now()
	l.checkDrain(s, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for other, o := range l.servers {
		if other == life || !other.Holds(key) {
			continue
		}
		if l.excused(now) {
			continue
		}
		if l.overlaps[key] == nil {
			l.overlaps[key] = map[pair]bool{}
		}
		l.overlaps[key][pair{life, other}] = true
		if l.overlaps[key][pair{other, life}] {
			l.w.violate("OWNER", "%s and %s both run requests of key %d", s.id, o.id, key)
		}
	}
}

// excused reports whether grants of a host that was thawed a moment ago may have
// just arrived.
func (l *ledger) excused(now time.Time) bool {
	for _, h := range l.w.hosts {
		if thawed := h.thawed.Load(); thawed != 0 && now.Sub(time.Unix(0, thawed)) < thawSlack {
			return true
		}
	}
	return false
}

// checkDrain checks that a request does not reach a server too late after it began
// to leave. The bound holds while the store and all hosts are calm.
func (l *ledger) checkDrain(s *server, now time.Time) {
	since := s.leavingSince()
	if since.IsZero() || now.Sub(since) < drainTime+workTime {
		return
	}
	subjects := []string{"store", s.id}
	for _, h := range l.w.hosts {
		subjects = append(subjects, h.name)
	}
	if l.w.calm(now, subjects...) {
		l.w.violate("DRAIN", "%s began a request %v after its leaving was acknowledged", s.id, now.Sub(since).Round(time.Millisecond))
	}
}

// judge compares the answers with what ran.
func (l *ledger) judge() {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := map[string]int{}
	known := map[string]bool{}
	for _, life := range l.lives {
		for id, n := range life.AllRuns() {
			runs[id] += n
		}
	}
	for _, a := range l.answers {
		known[a.id] = true
		n := runs[a.id]
		if a.once && n > 1 {
			l.w.violate("TWICE", "%s ran %d times", a.id, n)
		}
		if a.once && a.promised && n > 0 {
			l.w.violate("REFUSED", "%s was said not to have run, and ran", a.id)
		}
	}
	for id := range runs {
		if !known[id] && !strings.HasPrefix(id, "probe-") {
			l.w.violate("UNASKED", "%s ran and no caller sent it", id)
		}
	}
}
