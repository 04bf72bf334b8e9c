// Package claim deduplicates orders by the id that their caller gives, so that an
// order is not executed twice. Before an order is sent, its id is claimed at a
// quorum of the members ranked first for it. A second claim of the id learns how
// the first one ended or that it is in progress. Claims are kept in memory for a
// window and survive the loss of one member.
package claim

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// ID identifies an order.
type ID struct {
	Service string
	Order   string // the caller's id
}

// Request is a request for a claim.
type Request struct {
	ID
	Fingerprint uint64        // of the order's content
	Attempt     string        // unique id of the claimant's request
	MaxRunTime  time.Duration // the order has ended by then
	Window      time.Duration // how long the claim is kept
}

// State is the result of a claim.
type State int

// The states.
const (
	Granted    State = iota + 1 // the claimant may send the order
	InProgress                  // another request with the id is in progress
	Unknown                     // another request with the id may have been executed
	Answered                    // another request with the id was answered
	Mismatch                    // the id was used for an order with other content
	Full                        // the table has no capacity for another claim
)

// Answer is a stored answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Verdict is the reply to a Request.
type Verdict struct {
	State  State
	Answer *Answer // of an answered order; nil when it is not stored
}

// Settlement is the outcome of a claimed order. NotRun releases the id.
type Settlement struct {
	ID
	Attempt string
	Outcome fault.Outcome
	Answer  *Answer
}

const (
	// MaxAnswerBytes bounds the body of a stored answer.
	MaxAnswerBytes = 16 << 10
	maxEntries     = 200_000
	maxBytes       = 64 << 20
	entryBytes     = 256 // estimate of an entry without strings and answer
	// sweepInterval is the minimum time between two sweeps of expired entries.
	sweepInterval = time.Second
)

// Table holds the claims that one member granted. It is safe for concurrent use.
type Table struct {
	mu         sync.Mutex
	entries    map[ID]*entry
	bytes      int
	lastSweep  time.Time
	withAnswer []ID // entries that may hold an answer, oldest first
}

type entry struct {
	fingerprint uint64
	attempt     string
	runsUntil   time.Time
	expiresAt   time.Time
	outcome     fault.Outcome // empty while in progress
	answer      *Answer
	size        int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[ID]*entry{}} }

// Claim decides on the claim r at time now. Until the attempt that holds a claim is
// settled, its repeated claims are granted again.
func (t *Table) Claim(now time.Time, r Request) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if e := t.entries[r.ID]; e != nil && !now.After(e.expiresAt) {
		return e.verdict(now, r)
	}
	t.remove(r.ID)
	return t.grant(now, r)
}

func (e *entry) verdict(now time.Time, r Request) Verdict {
	switch {
	case e.attempt == r.Attempt && e.outcome == "":
		return Verdict{State: Granted}
	case e.fingerprint != r.Fingerprint:
		return Verdict{State: Mismatch}
	case e.outcome == fault.Answered:
		return Verdict{State: Answered, Answer: e.answer}
	case e.outcome == "" && now.Before(e.runsUntil):
		return Verdict{State: InProgress}
	}
	return Verdict{State: Unknown}
}

func (t *Table) grant(now time.Time, r Request) Verdict {
	size := entryBytes + len(r.Service) + len(r.Order) + len(r.Attempt)
	if len(t.entries) >= maxEntries || !t.freeBytes(size) {
		return Verdict{State: Full}
	}
	t.entries[r.ID] = &entry{
		fingerprint: r.Fingerprint,
		attempt:     r.Attempt,
		runsUntil:   now.Add(r.MaxRunTime),
		expiresAt:   now.Add(max(r.Window, r.MaxRunTime)),
		size:        size,
	}
	t.bytes += size
	return Verdict{State: Granted}
}

// freeBytes evicts the oldest stored answers until size more bytes fit, and reports
// whether they do. Entries within their window are never evicted.
func (t *Table) freeBytes(size int) bool {
	for t.bytes+size > maxBytes && len(t.withAnswer) > 0 {
		t.evictAnswer(t.entries[t.withAnswer[0]])
		t.withAnswer = t.withAnswer[1:]
	}
	return t.bytes+size <= maxBytes
}

func (t *Table) evictAnswer(e *entry) {
	if e == nil || e.answer == nil {
		return
	}
	n := answerSize(e.answer)
	e.answer = nil
	e.size -= n
	t.bytes -= n
}

func (t *Table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for id, e := range t.entries {
		if now.After(e.expiresAt) {
			t.remove(id)
		}
	}
	t.withAnswer = slices.DeleteFunc(t.withAnswer, func(id ID) bool { return t.entries[id] == nil })
}

func (t *Table) remove(id ID) {
	if e := t.entries[id]; e != nil {
		t.bytes -= e.size
		delete(t.entries, id)
	}
}

// Settle records how a claimed order ended. Only the attempt that holds the claim
// may settle it. An answered order keeps its outcome, and NotRun does not replace
// an unknown one.
func (t *Table) Settle(s Settlement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[s.ID]
	if e == nil || e.attempt != s.Attempt || e.outcome == fault.Answered {
		return
	}
	if s.Outcome == fault.NotRun {
		if e.outcome == "" {
			t.remove(s.ID)
		}
		return
	}
	e.outcome = s.Outcome
	n := answerSize(s.Answer)
	if s.Answer == nil || len(s.Answer.Body) > MaxAnswerBytes || !t.freeBytes(n) {
		return
	}
	t.withAnswer = append(t.withAnswer, s.ID)
	e.answer = s.Answer
	e.size += n
	t.bytes += n
}

func answerSize(a *Answer) int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Len returns the number of entries, including expired ones not yet swept.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
