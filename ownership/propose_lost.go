package ownership

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// lostServers returns the servers of a service that two members currently judge
// lost, or the only member if there is just one.
func (m *Machine) lostServers(now Instant, spec *ServiceSpec) map[string]bool {
	// Usually no server is suspected, and then none of them needs checking.
	suspected := m.suspected(spec.Name)
	if len(suspected) == 0 {
		return nil
	}
	var out map[string]bool
	for _, s := range spec.Servers {
		if !suspected[s.ID] || !m.agreedLost(now, spec.Name, s.ID) {
			continue
		}
		if out == nil {
			out = map[string]bool{}
		}
		out[s.ID] = true
	}
	return out
}

// suspected returns the servers of a service that any member suspects.
func (m *Machine) suspected(service string) map[string]bool {
	out := map[string]bool{}
	for key := range m.suspects {
		if key.service == service {
			out[key.server] = true
		}
	}
	for _, info := range m.peers {
		for _, s := range info.suspects {
			if s.Service == service {
				out[s.Server] = true
			}
		}
	}
	return out
}

// flagWait bounds how long a proposal waits for raised flags to come into force. A
// record that is applied but not yet in force would delay them.
const flagWait = 2 * time.Second

// flagsActivating reports whether a flag of the service is not yet in force.
func (m *Machine) flagsActivating(service string) bool {
	for key, x := range m.flags {
		if key.service == service && len(x.waiting) > 0 {
			return true
		}
	}
	return false
}

// awaitsFlags reports whether planning should wait for flags to come into force. It
// waits for flagWait at most.
func (p *proposer) awaitsFlags(now Instant, activating bool) bool {
	if !activating {
		p.flagsWaitSince = 0
		return false
	}
	if p.flagsWaitSince == 0 {
		p.flagsWaitSince = now
	}
	return now < p.flagsWaitSince+flagWait
}

// flagsFingerprint returns a hash of the flags of a service.
func (m *Machine) flagsFingerprint(service string) uint64 {
	if len(m.flags) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, f := range m.flagList() {
		if f.Service == service {
			_, _ = h.WriteString(f.Server + "\x00" + strconv.FormatUint(uint64(f.Upto), 10) + "\x00")
		}
	}
	return h.Sum64()
}
