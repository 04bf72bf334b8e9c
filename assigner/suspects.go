package assigner

import (
	"sort"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

const (
	// hostHeard is how recently a host must have reported to have a say.
	reportLifetime = time.Second
	// suspectTime is how long a refusal counts.
	refusalLifetime = 2 * time.Second
	// silentAfter is how long a server's grants stay unanswered before its keys
	// are given to others.
	unansweredLimit = 1100 * time.Millisecond
	// avoidTime is how long a server that was found unreachable gets no keys.
	avoidDuration = 3 * time.Second
	// leastVoices is the part of the registered hosts that must be heard before
	// their agreement counts.
	minReportingShare = 0.5
)

// suspects collects which servers cannot be reached: which hosts found no process
// at their addresses, and since when grants stay unanswered.
//
// That a server cannot be reached proves nothing about what it holds: a cut that
// resets connections looks like the end of its process, from every host.
type suspects struct {
	registered      int
	reportedAt      map[string]Time // last report of each host
	suspicions      map[keyrange.Holder]*suspicion
	unansweredSince map[keyrange.Holder]Time // since when grants have failed
	avoidedUntil    map[keyrange.Holder]Time // until when the server is assigned no keys
}

type suspicion struct {
	refusals map[string]Time
	cleared  bool // a host reached the server
}

func newSuspects() *suspects {
	return &suspects{
		reportedAt:      map[string]Time{},
		suspicions:      map[keyrange.Holder]*suspicion{},
		unansweredSince: map[keyrange.Holder]Time{},
		avoidedUntil:    map[keyrange.Holder]Time{},
	}
}

func (s *suspects) reset() {
	clear(s.reportedAt)
	clear(s.suspicions)
	clear(s.unansweredSince)
	clear(s.avoidedUntil)
}

// unreachable reports whether a server gets no keys at present.
func (s *suspects) unreachable(now Time, h keyrange.Holder) bool { return now < s.avoidedUntil[h] }

// answered notes that a server answered a call.
func (s *suspects) answered(h keyrange.Holder) {
	delete(s.unansweredSince, h)
	delete(s.avoidedUntil, h)
	delete(s.suspicions, h)
}

// unanswered notes that a call to a server failed and reports whether it has
// become unreachable by that.
func (s *suspects) unanswered(now Time, h keyrange.Holder) bool {
	since, ok := s.unansweredSince[h]
	if !ok {
		s.unansweredSince[h] = now
		return false
	}
	return now-since >= unansweredLimit && s.avoid(now, h)
}

// avoid keeps keys from a server for a while and reports whether that is news.
func (s *suspects) avoid(now Time, h keyrange.Holder) bool {
	news := !s.unreachable(now, h)
	s.avoidedUntil[h] = now + avoidDuration
	return news
}

func (s *suspects) recordReport(now Time, host string) { s.reportedAt[host] = now }

// reached drops the suspicion against a server.
func (s *suspects) reached(h keyrange.Holder) {
	if v := s.suspicions[h]; v != nil {
		clear(v.refusals)
		v.cleared = true
	}
}

// refused notes a refusal and reports whether every host that is heard agrees.
func (s *suspects) refused(now Time, host string, h keyrange.Holder) bool {
	v := s.suspicions[h]
	if v == nil {
		v = &suspicion{refusals: map[string]Time{}}
		s.suspicions[h] = v
	}
	v.cleared = false
	v.refusals[host] = now
	s.reportedAt[host] = now
	voices := 0
	for name, at := range s.reportedAt {
		if now-at > reportLifetime {
			continue
		}
		voices++
		said, ok := v.refusals[name]
		if !ok || now-said > refusalLifetime {
			return false
		}
	}
	return float64(voices) >= minReportingShare*float64(s.registered)
}

// open returns the servers that hosts are to be asked about.
func (s *suspects) unresolved(now Time) []keyrange.Holder {
	var out []keyrange.Holder
	for h, v := range s.suspicions {
		for name, at := range v.refusals {
			if now-at > refusalLifetime {
				delete(v.refusals, name)
			}
		}
		if len(v.refusals) == 0 {
			delete(s.suspicions, h)
		} else if !v.cleared {
			out = append(out, h)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
