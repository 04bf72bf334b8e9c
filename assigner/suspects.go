package assigner

import (
	"sort"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

const (
	// reportLifetime is how recent a host's last report must be for the host to count
	// in the agreement.
	reportLifetime = time.Second
	// refusalLifetime is how long a refused connection counts.
	refusalLifetime = 2 * time.Second
	// unansweredLimit is how long a server's grants may stay unanswered before its
	// keys are assigned to others.
	unansweredLimit = 1100 * time.Millisecond
	// avoidDuration is how long a server that was found unreachable is assigned no
	// keys.
	avoidDuration = 3 * time.Second
	// minReportingShare is the fraction of the registered hosts that must have
	// reported recently for their agreement to count.
	minReportingShare = 0.5
)

// suspects records which servers appear unreachable: which hosts found no process at
// their addresses, and since when their grants have been unanswered.
//
// That a server cannot be reached does not show what it still holds: a network
// partition that resets connections looks like the end of its process, from every
// host.
type suspects struct {
	registered      int             // number of registered entry hosts
	reportedAt      map[string]Time // last report of each host
	suspicions      map[keyrange.Holder]*suspicion
	unansweredSince map[keyrange.Holder]Time // since when grants have failed
	avoidedUntil    map[keyrange.Holder]Time // until when the server is assigned no keys
}

// suspicion records which hosts were refused by a server, and when.
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

// reset discards what was reported under an earlier epoch.
func (s *suspects) reset() {
	clear(s.reportedAt)
	clear(s.suspicions)
	clear(s.unansweredSince)
	clear(s.avoidedUntil)
}

// unreachable reports whether a server is assigned no keys at present.
func (s *suspects) unreachable(now Time, h keyrange.Holder) bool { return now < s.avoidedUntil[h] }

// answered records that a server answered a call.
func (s *suspects) answered(h keyrange.Holder) {
	delete(s.unansweredSince, h)
	delete(s.avoidedUntil, h)
	delete(s.suspicions, h)
}

// unanswered records that a call to a server failed, and reports whether the server
// has become unreachable by it.
func (s *suspects) unanswered(now Time, h keyrange.Holder) bool {
	since, ok := s.unansweredSince[h]
	if !ok {
		s.unansweredSince[h] = now
		return false
	}
	return now-since >= unansweredLimit && s.avoid(now, h)
}

// avoid marks a server as unreachable for avoidDuration, and reports whether it was
// reachable before.
func (s *suspects) avoid(now Time, h keyrange.Holder) bool {
	newlyUnreachable := !s.unreachable(now, h)
	s.avoidedUntil[h] = now + avoidDuration
	return newlyUnreachable
}

// recordReport records that a host has sent a report.
func (s *suspects) recordReport(now Time, host string) { s.reportedAt[host] = now }

// reached records that a host reached a server, which clears the suspicion.
func (s *suspects) reached(h keyrange.Holder) {
	if v := s.suspicions[h]; v != nil {
		clear(v.refusals)
		v.cleared = true
	}
}

// refused records a refused connection, and reports whether every host with a recent
// report agrees.
func (s *suspects) refused(now Time, host string, h keyrange.Holder) bool {
	v := s.suspicions[h]
	if v == nil {
		v = &suspicion{refusals: map[string]Time{}}
		s.suspicions[h] = v
	}
	v.cleared = false
	v.refusals[host] = now
	s.reportedAt[host] = now
	reporting := 0
	for name, at := range s.reportedAt {
		if now-at > reportLifetime {
			continue
		}
		reporting++
		refusedAt, ok := v.refusals[name]
		if !ok || now-refusedAt > refusalLifetime {
			return false
		}
	}
	return float64(reporting) >= minReportingShare*float64(s.registered)
}

// unresolved returns the servers for which probes are to be requested.
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
