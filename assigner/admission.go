package assigner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

const (
	// flowDecayTime is the time constant of the exponential decay of the counts that
	// admission depends on.
	flowDecayTime = 500 * time.Millisecond
	// admissionInterval is the interval between decisions.
	admissionInterval = 100 * time.Millisecond
	// minRejections is the number of remembered rejections from which on a server
	// counts as overloaded.
	minRejections = 3.0
	// overloadRatio is the number of requests relative to what a server can serve from
	// which on they are limited. Fewer wait at the hosts, in order of priority.
	overloadRatio = 2.5
	// excessAdmitted is the number of requests relative to the answered ones that hosts
	// admit while the server rejects some, so that a few always wait for its slots.
	excessAdmitted = 1.2
	// rejectedShare is the share of the admitted requests that a server may reject
	// before fewer are admitted.
	rejectedShare = 0.2
	// admissionIncrease changes the admitted rate after an interval with fewer
	// rejections.
	admissionIncrease = 1.08
	// hostsPerSlot is the number of entry hosts for each slot of a server from which on
	// its requests are limited. With fewer, the hosts' own limiters learn its room, and
	// let callers wait for it.
	hostsPerSlot = 4
	// minAdmitted bounds the admitted rate, relative to the estimate of what the server
	// can serve: below it, rejections have another cause than load.
	minAdmitted = 0.4
	// forgottenCount is the remembered count below which a key or server is forgotten.
	forgottenCount = 0.1
	// admissionStep is the relative change of a share below which hosts are not told.
	admissionStep = 0.15
	// assumedServiceTime is the time that a request takes at a server while no response
	// times are known.
	assumedServiceTime = 250 * time.Millisecond
)

// HotKey identifies a key of a service.
type HotKey struct {
	Service string       `json:"s"`
	Key     keyrange.Key `json:"k"`
}

// Admission lists the keys for which hosts admit only a share of the requests.
type Admission struct {
	Version keyrange.Version `json:"version"`
	Limits  []AdmissionLimit `json:"limits,omitempty"`
}

// AdmissionLimit is the share of the requests for one key that hosts admit.
type AdmissionLimit struct {
	HotKey
	Share float64 `json:"a"` // 0 to 1
}

// Share returns the share of the requests for a key that hosts admit.
func (a *Admission) Share(service string, key keyrange.Key) float64 {
	if a == nil {
		return 1
	}
	for _, l := range a.Limits { // a few at most
		if l.Key == key && l.Service == service {
			return l.Share
		}
	}
	return 1
}

// admission decides how many of the requests for a hot key hosts admit.
//
// It answers a single key with more requests than a server can serve, which cannot be
// spread. Hundreds of hosts see a few of these requests each: too few to learn the
// owner's room from their own outcomes, and even one request in flight a host overruns
// the owner, which then sheds what it has queued. Taken together, the hosts' reports show
// the requests for the key and the answers and rejections of its owner.
type admission struct {
	keys      map[HotKey]*keyFlow
	servers   map[string]*serverFlow
	decayedAt Time
	decidedAt Time
}

func newAdmission() *admission {
	return &admission{keys: map[HotKey]*keyFlow{}, servers: map[string]*serverFlow{}}
}

// offered counts requests for a key that has a range of its own.
func (a *admission) offered(k HotKey, owner string, n int) {
	f := a.keys[k]
	if f == nil {
		f = &keyFlow{}
		a.keys[k] = f
	}
	f.owner = owner
	f.offered += float64(n)
}

// server returns the outcomes at a server.
func (a *admission) server(id string) *serverFlow {
	f := a.servers[id]
	if f == nil {
		f = &serverFlow{}
		a.servers[id] = f
	}
	return f
}

// setFull marks the servers that are full.
func (a *admission) setFull(full func(server string) bool) {
	for _, f := range a.keys {
		a.server(f.owner)
	}
	for id, f := range a.servers {
		f.full = full(id)
	}
}

// decay reduces every count with its age, and forgets the small ones.
func (a *admission) decay(now Time) {
	factor := math.Exp(-float64(now-a.decayedAt) / float64(flowDecayTime))
	a.decayedAt = now
	for k, f := range a.keys {
		if f.offered *= factor; f.offered < forgottenCount {
			delete(a.keys, k)
		}
	}
	for id, f := range a.servers {
		f.answered *= factor
		f.rejected *= factor
		if !f.full && f.answered < forgottenCount && f.rejected < forgottenCount {
			delete(a.servers, id)
		}
	}
}

// decide updates the admitted rates once per interval, and reports whether it did.
// capacity returns the requests per second that a server can serve.
func (a *admission) decide(now Time, capacity func(server string) float64) bool {
	if now-a.decidedAt < admissionInterval {
		return false
	}
	a.decidedAt = now
	a.decay(now)
	for _, k := range a.sortedKeys() {
		f := a.keys[k]
		f.decide(a.server(f.owner), capacity(f.owner))
	}
	return true
}

// sortedKeys returns the keys in order, so that decisions do not depend on that of a map.
func (a *admission) sortedKeys() []HotKey {
	return slices.SortedFunc(maps.Keys(a.keys), func(x, y HotKey) int {
		return cmp.Or(cmp.Compare(x.Key, y.Key), cmp.Compare(x.Service, y.Service))
	})
}

// limits returns the present limits, sorted by key.
func (a *admission) limits() []AdmissionLimit {
	var out []AdmissionLimit
	for _, k := range a.sortedKeys() {
		if f := a.keys[k]; f.rate > 0 {
			out = append(out, AdmissionLimit{HotKey: k, Share: min(f.rate/perSecond(f.offered), 1)})
		}
	}
	return out
}

// sameLimits reports whether hosts need not be told of b after a.
func sameLimits(a, b []AdmissionLimit) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].HotKey != b[i].HotKey || math.Abs(a[i].Share-b[i].Share) > admissionStep*a[i].Share {
			return false
		}
	}
	return true
}

// countOffered counts the reported requests for keys that have a range of their own: the
// planner has separated them from the others, and cannot spread them.
func (m *Machine) countOffered(keys []KeyLoad) {
	for _, k := range keys {
		if t := m.published.Table(k.Service); t != nil {
			if r := t.Find(k.Key); r != nil && r.Width() == 1 {
				m.admission.offered(HotKey{k.Service, k.Key}, r.Owner.ID, k.Count)
			}
		}
	}
}

// decideAdmission publishes the limits if they have changed.
func (m *Machine) decideAdmission(now Time) {
	m.admission.setFull(func(server string) bool { return m.isFull(now, server) })
	if !m.admission.decide(now, m.capacity) {
		return
	}
	limits := m.admission.limits()
	if sameLimits(m.admitted.Limits, limits) {
		return
	}
	m.admitted = Admission{
		Version: keyrange.Version{Epoch: m.known.Epoch, Change: m.admitted.Version.Change + 1},
		Limits:  limits,
	}
	m.emit(Admit{Admission: m.admitted})
}

// capacity estimates how many requests per second a server can serve, or returns infinity
// if its requests are not to be limited. The response times of an overloaded server
// contain the wait in its queue, so those of its service count.
func (m *Machine) capacity(server string) float64 {
	v := m.servers.Find(server)
	if v == nil || m.suspects.registered < hostsPerSlot*v.Slots {
		return math.Inf(1)
	}
	if m.serviceTimesAt == 0 || m.admission.decidedAt-m.serviceTimesAt > time.Second {
		m.serviceTimesAt = m.admission.decidedAt
		m.serviceTimes = m.measureServiceTimes()
	}
	t := m.serviceTimes[v.Service]
	if t == 0 {
		t = assumedServiceTime
	}
	return float64(max(v.Slots, 1)) / t.Seconds()
}

// measureServiceTimes returns the median over each service's servers of the time that a
// request takes.
func (m *Machine) measureServiceTimes() map[string]time.Duration {
	ids := map[string][]string{}
	for _, v := range m.servers.Servers {
		ids[v.Service] = append(ids[v.Service], v.Holder.ID)
	}
	out := map[string]time.Duration{}
	for service, list := range ids {
		if _, median := m.load.typicalMillis(list); median > 0 {
			out[service] = time.Duration(median * float64(time.Millisecond))
		}
	}
	return out
}
