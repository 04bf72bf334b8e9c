// Package eligibility decides which requests this host may send to a backend server
// that has said that it leaves or that it is full.
//
// A server says so in its answers, and its entry in the directory may say that it drains.
// Both lead to the same state, of which there is one for each holder: a new start of the
// same server is another holder. The package does no I/O. Times are arguments, and the
// caller makes sure that the methods of a Book do not run at the same time.
package eligibility

import (
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

const (
	// ownerShare is the share of the drain time for which requests for a leaving
	// server's keys may still be sent to it. The rest of that time is a margin for
	// requests that are on their way.
	ownerShare = 0.7
	// forgetAfter is how long a server that is not listed is remembered. Its entry may
	// lapse and come back while the store is away.
	forgetAfter = 10 * time.Minute
	// maxServers bounds the servers that are remembered without being listed.
	maxServers = 2000
)

// Standing is the judgement on a server.
type Standing string

// The standings.
const (
	Eligible Standing = "eligible" // it may be sent every request
	Leaving  Standing = "leaving"  // it takes no new work
	Full     Standing = "full"     // it wants no request before a certain time
)

// Source says where a judgement is from.
type Source string

// The sources.
const (
	FromAnswer    Source = "answer"
	FromDirectory Source = "directory"
)

// Phase says how a judgement changed.
type Phase string

// The phases of a judgement.
const (
	Begun    Phase = "begun"
	Extended Phase = "extended" // only of Full: its end is later now
	Ended    Phase = "ended"
)

// Change is a change of the judgement on a server.
type Change struct {
	Holder   keyrange.Holder
	Standing Standing
	Source   Source
	Phase    Phase
	Since    time.Time
	// Until is the end of the pause, or the time from which a leaving server is not
	// sent requests for its keys either.
	Until time.Time
}

// Request is what a decision depends on, besides the server.
type Request struct {
	Keyed bool // the server owns the request's key
	Retry bool // an earlier attempt of the request was sent
}

// Verdict is the decision on sending a request to a server.
type Verdict struct {
	Standing Standing  // Eligible if the request may be sent, else the reason why not
	Until    time.Time // end of the pause, if Standing is Full
}

// Allowed reports whether the request may be sent.
func (v Verdict) Allowed() bool { return v.Standing == Eligible }

// Book holds the states of the servers that said that they leave or are full.
type Book struct {
	drain  time.Duration
	states map[keyrange.Holder]*state
}

// state is the judgement on one holder.
type state struct {
	source        Source // of leavingSince, "" if the server is not leaving
	leavingSince  time.Time
	fullSince     time.Time // zero if the server is not full
	fullUntil     time.Time
	unlistedSince time.Time // zero while the server is listed
	unreadable    bool      // an unreadable header was reported
}

// NewBook returns a book without judgements. No request of a caller may reach a server
// later than drain after a caller got an answer by which the server leaves.
func NewBook(drain time.Duration) *Book {
	return &Book{drain: drain, states: map[keyrange.Holder]*state{}}
}

// Check decides whether a request may be sent to h now.
//
// A full server is sent nothing: with many hosts, a single request of each keeps it full. A
// leaving server is sent only first attempts of requests for keys that it owns, until the
// share of the drain time is over in which another server becomes their owner. A server
// that is both is sent nothing, and counts as leaving: its keys move and it takes no other
// requests, so nobody is to wait for the end of its pause.
func (b *Book) Check(h keyrange.Holder, now time.Time, r Request) Verdict {
	s := b.states[h]
	switch {
	case s == nil:
		return Verdict{Standing: Eligible}
	case s.isLeaving() && (s.isFull(now) || !b.mayServe(s, now, r)):
		return Verdict{Standing: Leaving}
	case s.isFull(now):
		return Verdict{Standing: Full, Until: s.fullUntil}
	}
	return Verdict{Standing: Eligible}
}

// mayServe reports whether a leaving server that is not full may be sent a request.
func (b *Book) mayServe(s *state, now time.Time, r Request) bool {
	return r.Keyed && !r.Retry && now.Before(b.ownerUntil(s))
}

// IsLeaving reports whether h leaves.
func (b *Book) IsLeaving(h keyrange.Holder) bool {
	s := b.states[h]
	return s != nil && s.isLeaving()
}

// LeavingByAnswer returns the servers that said in an answer that they leave, sorted.
func (b *Book) LeavingByAnswer() []keyrange.Holder {
	var out []keyrange.Holder
	for h, s := range b.states {
		if s.source == FromAnswer {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, keyrange.Holder.Compare)
	return out
}

// Count returns the numbers of servers that leave and that are full.
func (b *Book) Count(now time.Time) (leaving, full int) {
	for _, s := range b.states {
		if s.isLeaving() {
			leaving++
		}
		if s.isFull(now) {
			full++
		}
	}
	return leaving, full
}

// Answered applies what an answer of h says. A server that leaves goes on leaving
// whatever later answers and entries say. Of several pauses the latest end holds, so that
// the answers to concurrent requests, which arrive in any order, do not shorten it.
func (b *Book) Answered(h keyrange.Holder, now time.Time, a Signal) []Change {
	if !a.Leaving && a.RetryAfter <= 0 {
		return nil
	}
	s := b.state(h)
	var out []Change
	if a.Leaving && s.source != FromAnswer {
		out = append(out, b.beginLeaving(h, s, now, FromAnswer))
	}
	if a.RetryAfter > 0 {
		out = append(out, s.pause(h, now, now.Add(a.RetryAfter))...)
	}
	return out
}

// Listed applies the directory of backend servers. A draining server leaves until it is
// listed as ready; a server that said itself that it leaves is not affected by its entry.
func (b *Book) Listed(now time.Time, listed *directory.Snapshot) []Change {
	var out []Change
	for i := range listed.Servers {
		v := &listed.Servers[i]
		if v.State == directory.Ready {
			continue
		}
		if s := b.state(v.Holder); !s.isLeaving() {
			out = append(out, b.beginLeaving(v.Holder, s, now, FromDirectory))
		}
	}
	for h, s := range b.states {
		out = append(out, b.applyEntry(h, s, now, listed.Find(h.ID))...)
	}
	return sorted(out)
}

// applyEntry applies to the state of h the entry that the directory has for its id, if
// any.
func (b *Book) applyEntry(h keyrange.Holder, s *state, now time.Time, v *directory.Server) []Change {
	switch {
	case v != nil && v.Holder == h:
		s.unlistedSince = time.Time{}
		if s.source == FromDirectory && v.State == directory.Ready {
			return []Change{b.endLeaving(h, s)}
		}
	case v != nil && v.Holder.StartedMS > h.StartedMS:
		return b.forget(h, s)
	case s.unlistedSince.IsZero():
		s.unlistedSince = now
	}
	return nil
}

// Expire ends the judgements whose time is over.
func (b *Book) Expire(now time.Time) []Change {
	var out []Change
	for h, s := range b.states {
		if !s.fullSince.IsZero() && !s.isFull(now) {
			out = append(out, s.endPause(h))
		}
		unlisted := !s.unlistedSince.IsZero()
		if unlisted && (now.Sub(s.unlistedSince) >= forgetAfter || len(b.states) > maxServers) {
			out = append(out, b.forget(h, s)...)
		} else if !unlisted && s.isIdle() {
			delete(b.states, h)
		}
	}
	return sorted(out)
}

// ReportUnreadable reports whether to log that a header of h's answer is unreadable: once
// for each server, as all of its answers may be like that.
func (b *Book) ReportUnreadable(h keyrange.Holder) bool {
	s := b.state(h)
	first := !s.unreadable
	s.unreadable = true
	return first
}

// state returns the state of h, and creates it if needed.
func (b *Book) state(h keyrange.Holder) *state {
	s := b.states[h]
	if s == nil {
		s = &state{}
		b.states[h] = s
	}
	return s
}

// ownerUntil is the time from which a leaving server is not sent requests for its keys.
func (b *Book) ownerUntil(s *state) time.Time {
	return s.leavingSince.Add(time.Duration(ownerShare * float64(b.drain)))
}

// beginLeaving judges h to be leaving. The drain time counts from the first source.
func (b *Book) beginLeaving(h keyrange.Holder, s *state, now time.Time, from Source) Change {
	if !s.isLeaving() {
		s.leavingSince = now
	}
	s.source = from
	return b.leavingChange(h, s, Begun)
}

// endLeaving ends the judgement that h leaves.
func (b *Book) endLeaving(h keyrange.Holder, s *state) Change {
	c := b.leavingChange(h, s, Ended)
	s.source, s.leavingSince = "", time.Time{}
	return c
}

// leavingChange returns the change of the judgement that h leaves.
func (b *Book) leavingChange(h keyrange.Holder, s *state, p Phase) Change {
	return Change{Holder: h, Standing: Leaving, Source: s.source, Phase: p, Since: s.leavingSince, Until: b.ownerUntil(s)}
}

// forget ends the judgements on a server that is gone.
func (b *Book) forget(h keyrange.Holder, s *state) []Change {
	var out []Change
	if s.isLeaving() {
		out = append(out, b.endLeaving(h, s))
	}
	if !s.fullSince.IsZero() {
		out = append(out, s.endPause(h))
	}
	delete(b.states, h)
	return out
}

func (s *state) isLeaving() bool { return s.source != "" }

func (s *state) isFull(now time.Time) bool { return now.Before(s.fullUntil) }

// isIdle reports whether the state holds no judgement.
func (s *state) isIdle() bool { return !s.isLeaving() && s.fullSince.IsZero() && !s.unreadable }

// pause makes h full until the given time, unless it is full for longer.
func (s *state) pause(h keyrange.Holder, now, until time.Time) []Change {
	var out []Change
	if !s.fullSince.IsZero() && !s.isFull(now) {
		out = append(out, s.endPause(h))
	}
	if !until.After(s.fullUntil) {
		return out
	}
	phase := Extended
	if s.fullSince.IsZero() {
		s.fullSince = now
		phase = Begun
	}
	s.fullUntil = until
	return append(out, s.pauseChange(h, phase))
}

// endPause ends the judgement that h is full.
func (s *state) endPause(h keyrange.Holder) Change {
	c := s.pauseChange(h, Ended)
	s.fullSince, s.fullUntil = time.Time{}, time.Time{}
	return c
}

// pauseChange returns the change of the judgement that h is full.
func (s *state) pauseChange(h keyrange.Holder, p Phase) Change {
	return Change{Holder: h, Standing: Full, Source: FromAnswer, Phase: p, Since: s.fullSince, Until: s.fullUntil}
}

// sorted orders changes by server, as a map has no order.
func sorted(list []Change) []Change {
	slices.SortStableFunc(list, func(a, b Change) int { return a.Holder.Compare(b.Holder) })
	return list
}
