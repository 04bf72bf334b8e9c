package assigner

import (
	"sort"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

const (
	// hostHeard is how recently a host must have reported to have a say.
	hostHeard = time.Second
	// suspectTime is how long a refusal counts.
	suspectTime = 2 * time.Second
	// silentAfter is how long a server's grants stay unanswered before its keys
	// are given to others.
	silentAfter = 1100 * time.Millisecond
	// avoidTime is how long a server that was found unreachable gets no keys.
	avoidTime = 3 * time.Second
	// leastVoices is the part of the registered hosts that must be heard before
	// their agreement counts.
	leastVoices = 0.5
)

// suspects collects which servers cannot be reached: which hosts found no process
// at their addresses, and since when grants stay unanswered.
//
// That a server cannot be reached proves nothing about what it holds: a cut that
// resets connections looks like the end of its process, from every host.
type suspects struct {
	registered int
	hosts      map[string]Time
	all        map[keyrange.Holder]*suspicion
	silent     map[keyrange.Holder]Time // since when grants fail
	avoided    map[keyrange.Holder]Time // until when it gets no keys
}

type suspicion struct {
	refusals map[string]Time
	cleared  bool // some host reached the server
}

func newSuspects() *suspects {
	return &suspects{
		hosts:   map[string]Time{},
		all:     map[keyrange.Holder]*suspicion{},
		silent:  map[keyrange.Holder]Time{},
		avoided: map[keyrange.Holder]Time{},
	}
}

func (s *suspects) reset() {
	clear(s.hosts)
	clear(s.all)
	clear(s.silent)
	clear(s.avoided)
}

// unreachable reports whether a server gets no keys at present.
func (s *suspects) unreachable(now Time, h keyrange.Holder) bool { return now < s.avoided[h] }

// answered notes that a server answered a call.
func (s *suspects) answered(h keyrange.Holder) {
	delete(s.silent, h)
	delete(s.avoided, h)
	delete(s.all, h)
}

// unanswered notes that a call to a server failed and reports whether it has
// become unreachable by that.
func (s *suspects) unanswered(now Time, h keyrange.Holder) bool {
	since, ok := s.silent[h]
	if !ok {
		s.silent[h] = now
		return false
	}
	return now-since >= silentAfter && s.avoid(now, h)
}

// avoid keeps keys from a server for a while and reports whether that is news.
func (s *suspects) avoid(now Time, h keyrange.Holder) bool {
	news := !s.unreachable(now, h)
	s.avoided[h] = now + avoidTime
	return news
}

func (s *suspects) heard(now Time, host string) { s.hosts[host] = now }

// reached drops the suspicion against a server.
func (s *suspects) reached(h keyrange.Holder) {
	if v := s.all[h]; v != nil {
		clear(v.refusals)
		v.cleared = true
	}
}

// refused notes a refusal and reports whether every host that is heard agrees.
func (s *suspects) refused(now Time, host string, h keyrange.Holder) bool {
	v := s.all[h]
	if v == nil {
		v = &suspicion{refusals: map[string]Time{}}
		s.all[h] = v
	}
	v.cleared = false
	v.refusals[host] = now
	s.hosts[host] = now
	voices := 0
	for name, at := range s.hosts {
		if now-at > hostHeard {
			continue
		}
		voices++
		said, ok := v.refusals[name]
		if !ok || now-said > suspectTime {
			return false
		}
	}
	return float64(voices) >= leastVoices*float64(s.registered)
}

// open returns the servers that hosts are to be asked about.
func (s *suspects) open(now Time) []keyrange.Holder {
	var out []keyrange.Holder
	for h, v := range s.all {
		for name, at := range v.refusals {
			if now-at > suspectTime {
				delete(v.refusals, name)
			}
		}
		if len(v.refusals) == 0 {
			delete(s.all, h)
		} else if !v.cleared {
			out = append(out, h)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
