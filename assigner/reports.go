package assigner

import (
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// KeyLoad is the number of requests for one key in a report.
type KeyLoad struct {
	Service string       `json:"s"`
	Key     keyrange.Key `json:"k"`
	Count   int          `json:"n"`
}

// ServerLatency is the latency of one request at a server.
type ServerLatency struct {
	ID     string `json:"i"`
	Millis int    `json:"m"`
}

// ServerCount is the number of requests that a server rejected in a report.
type ServerCount struct {
	ID    string `json:"i"`
	Count int    `json:"n"`
}

// FullServer is a server that wants no requests from the reporting host for a while.
type FullServer struct {
	Holder keyrange.Holder `json:"holder"`
	ForMS  int64           `json:"ms"` // remaining time in milliseconds
}

// MaxFull bounds the time for which a server counts as full after a report.
const MaxFull = 5 * time.Minute

// Report is what a host has observed since its last report.
type Report struct {
	Keys      []KeyLoad       `json:"keys,omitempty"`
	Latencies []ServerLatency `json:"times,omitempty"`
	// Rejected lists the servers that shed requests or closed their connections.
	Rejected []ServerCount `json:"rejected,omitempty"`
	// Refused lists the servers at whose address no process listened. Reached lists
	// those at which one did, or whose state could not be determined.
	Refused []keyrange.Holder `json:"refused,omitempty"`
	Reached []keyrange.Holder `json:"reached,omitempty"`
	// Leaving lists the servers that have answered that they leave. The machine gets
	// them with its directory, in which they are draining.
	Leaving []keyrange.Holder `json:"leaving,omitempty"`
	// Full lists the servers that want no requests from the host at present.
	Full []FullServer `json:"full,omitempty"`
}

// AddReport processes a report from the host named from. What it says of services and
// servers that are not known here is ignored, so that reports cannot make the state
// grow.
func (m *Machine) AddReport(now Time, from string, r Report) {
	r = m.knownPart(r)
	m.load.add(now, r)
	m.countOffered(r.Keys)
	for _, t := range r.Latencies {
		m.admission.server(t.ID).answered++
	}
	for _, c := range r.Rejected {
		m.admission.server(c.ID).rejected += float64(c.Count)
	}
	m.addFull(now, from, r.Full)
	m.suspects.recordReport(now, from)
	if from != m.cfg.Self.Name {
		m.otherReportAt = now
	}
	for _, h := range r.Reached {
		m.suspects.reached(h)
	}
	for _, h := range r.Refused {
		m.recordRefusal(now, from, h)
	}
}

// knownPart returns the part of a report that concerns sharded services and registered
// servers.
func (m *Machine) knownPart(r Report) Report {
	r.Keys = slices.DeleteFunc(slices.Clone(r.Keys), func(k KeyLoad) bool { return !slices.Contains(m.sharded, k.Service) })
	r.Latencies = slices.DeleteFunc(slices.Clone(r.Latencies), func(t ServerLatency) bool { return m.servers.Find(t.ID) == nil })
	r.Rejected = slices.DeleteFunc(slices.Clone(r.Rejected), func(c ServerCount) bool { return m.servers.Find(c.ID) == nil })
	return r
}

// recordRefusal records that a host found no process listening at a server's address.
// The server is unreachable once every host with a recent report agrees.
func (m *Machine) recordRefusal(now Time, from string, h keyrange.Holder) {
	if m.address(h) == "" || m.suspects.unreachable(now, h) {
		return
	}
	m.probeUrgent = m.probeUrgent || m.suspects.suspicions[h] == nil
	if !m.suspects.refused(now, from, h) {
		m.probeNeeded = true
		return
	}
	if m.suspects.avoid(now, h) {
		m.plannedAt = 0
	}
}

// HeardRecently reports whether a host has sent a report recently.
func (m *Machine) HeardRecently(now Time, host string) bool {
	at, ok := m.suspects.reportedAt[host]
	return ok && now-at <= reportLifetime
}

// requestProbes requests that every host probe the suspects.
func (m *Machine) requestProbes(now Time) {
	if !m.probeNeeded || !m.probeUrgent && now-m.probedAt < probeInterval {
		return
	}
	m.probeNeeded, m.probeUrgent, m.probedAt = false, false, now
	var list []Suspect
	for _, h := range m.suspects.unresolved(now) {
		if addr := m.address(h); addr != "" {
			list = append(list, Suspect{Holder: h, Address: addr})
		}
	}
	m.emit(ProbeSuspects{Suspects: list})
}
