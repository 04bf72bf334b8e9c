package ownership

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// lostServers returns the servers of a service that are agreed to be lost: two
// members judge so at present, or the only one does.
func (m *Machine) lostServers(now Instant, spec *ServiceSpec) map[string]bool {
	// In quiet times nobody suspects anything, however many servers there are.
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

// suspected returns the servers of a service that any member has suspected.
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

// flagWait is how long a proposal waits for raised flags to come into force. A
// record that is applied but not in force would delay them.
const flagWait = 2 * time.Second

// flagsActivating reports whether a flag of the service is on its way into force.
func (m *Machine) flagsActivating(service string) bool {
	for key, x := range m.flags {
		if key.service == service && len(x.waiting) > 0 {
			return true
		}
	}
	return false
}

// awaitsFlags reports whether a plan had better wait for flags, at most for flagWait.
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

// flagsFingerprint sums up the flags and the lost servers of a service.
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
