package assigner

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

const (
	// hostHeard is how recently a host must have reported to have a say.
	hostHeard = time.Second
	// suspectTime is how long a refusal counts.
	suspectTime = 2 * time.Second
	// leastVoices is the part of the registered hosts that must be heard before
	// their agreement counts.
	leastVoices = 0.5
)

// suspects collects which hosts found no process at which servers' addresses.
type suspects struct {
	registered int
	hosts      map[string]Time
	all        map[keyrange.Holder]*suspicion
}

type suspicion struct {
	refusals map[string]Time
	cleared  bool // some host reached the server
}

func newSuspects() *suspects {
	return &suspects{hosts: map[string]Time{}, all: map[keyrange.Holder]*suspicion{}}
}

func (s *suspects) reset() {
	clear(s.hosts)
	clear(s.all)
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
	return out
}
