package assigner

import (
	"math"
	"sort"
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
	// which on they are limited.
	overloadRatio = 1.2
	// rejectedShare is the share of the admitted requests that a server may reject
	// before fewer are admitted.
	rejectedShare = 0.1
	// admissionDecrease and admissionIncrease change the admitted rate after a decision
	// interval with and without rejections.
	admissionDecrease = 0.85
	admissionIncrease = 1.04
	// minAdmitted and maxAdmitted bound the admitted rate relative to the estimate of
	// what the server can serve.
	minAdmitted = 0.4
	maxAdmitted = 2.5
	// admissionStep is the relative change of a share below which hosts are not told.
	admissionStep = 0.15
	// assumedServiceTime is the time that a request takes at a server while no response
	// times are known.
	assumedServiceTime = 250 * time.Millisecond
)

// Admission lists the servers for which hosts admit only a share of the requests.
type Admission struct {
	Version keyrange.Version `json:"version"`
	Limits  []AdmissionLimit `json:"limits,omitempty"` // sorted by server
}

// AdmissionLimit is the share of the requests to one server that hosts admit.
type AdmissionLimit struct {
	Server string  `json:"i"`
	Share  float64 `json:"a"` // 0 to 1
}

// Share returns the share of the requests to a server that hosts admit.
func (a *Admission) Share(server string) float64 {
	if a == nil {
		return 1
	}
	i := sort.Search(len(a.Limits), func(i int) bool { return a.Limits[i].Server >= server })
	if i == len(a.Limits) || a.Limits[i].Server != server {
		return 1
	}
	return a.Limits[i].Share
}

// admission decides how many of the requests to each server hosts admit.
//
// It answers a key, or keys that have not been spread yet, with more requests than their
// owner can serve. Hundreds of hosts see a few of these requests each: too few to learn
// the owner's room from their own outcomes, and even one request in flight a host
// overruns the owner, which then sheds what it has queued. Taken together, the hosts'
// reports show the requests, the answers and the rejections of each server.
type admission struct {
	flows     map[string]*flow // by server
	decayedAt Time
	decidedAt Time
}

// flow holds the remembered requests for one server. Divided by flowDecayTime, the counts
// are rates.
type flow struct {
	offered  float64 // requests for the server's keys, admitted or not
	rejected float64 // requests that the server shed or whose connection it closed
	rate     float64 // admitted requests per second; 0 if they are not limited
}

func newAdmission() *admission { return &admission{flows: map[string]*flow{}} }

func (a *admission) flow(server string) *flow {
	f := a.flows[server]
	if f == nil {
		f = &flow{}
		a.flows[server] = f
	}
	return f
}

func (a *admission) decay(now Time) {
	factor := math.Exp(-float64(now-a.decayedAt) / float64(flowDecayTime))
	a.decayedAt = now
	for id, f := range a.flows {
		f.offered *= factor
		f.rejected *= factor
		if f.offered < 0.1 && f.rejected < 0.1 && f.rate == 0 {
			delete(a.flows, id)
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
	for id, f := range a.flows {
		f.decide(capacity(id))
	}
	return true
}

func (f *flow) decide(capacity float64) {
	offered := f.offered / flowDecayTime.Seconds()
	if f.rate == 0 {
		if f.rejected >= minRejections && offered > overloadRatio*capacity {
			f.rate = capacity
		}
		return
	}
	admitted := min(f.rate, offered) * flowDecayTime.Seconds()
	if f.rejected > rejectedShare*admitted && f.rejected >= 1 {
		f.rate *= admissionDecrease
	} else {
		f.rate *= admissionIncrease
	}
	f.rate = min(max(f.rate, minAdmitted*capacity), maxAdmitted*capacity)
	if offered <= f.rate {
		f.rate = 0
	}
}

// limits returns the present limits, sorted by server.
func (a *admission) limits() []AdmissionLimit {
	var out []AdmissionLimit
	for id, f := range a.flows {
		if f.rate > 0 && f.offered > 0 {
			share := f.rate * flowDecayTime.Seconds() / f.offered
			out = append(out, AdmissionLimit{Server: id, Share: min(share, 1)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Server < out[j].Server })
	return out
}

// sameLimits reports whether hosts need not be told of b after a.
func sameLimits(a, b []AdmissionLimit) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Server != b[i].Server || math.Abs(a[i].Share-b[i].Share) > admissionStep*a[i].Share {
			return false
		}
	}
	return true
}

// countOffered counts the reported requests for keys at the owners of the keys.
func (m *Machine) countOffered(keys []KeyLoad) {
	for _, k := range keys {
		if t := m.published.Table(k.Service); t != nil {
			if r := t.Find(k.Key); r != nil {
				m.admission.flow(r.Owner.ID).offered += float64(k.Count)
			}
		}
	}
}

// decideAdmission publishes the limits if they have changed.
func (m *Machine) decideAdmission(now Time) {
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

// capacity estimates how many requests per second a server can serve. The response times
// of an overloaded server contain the wait in its queue, so those of its service count.
func (m *Machine) capacity(server string) float64 {
	v := m.servers.Find(server)
	if v == nil {
		return 0
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
