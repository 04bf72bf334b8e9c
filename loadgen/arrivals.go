package loadgen

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

// zipfOffset is the offset v of the Zipf distribution. It flattens the head, so
// that the most popular keys get a smaller share of the requests.
const zipfOffset = 8

// arrival is one request and the time at which it is due to be sent.
type arrival struct {
	due     time.Duration // from the start of the load
	service int           // index in the scenario
	request Request
}

// arrivals generates the requests of a scenario. The same seed gives the same
// requests at the same times.
type arrivals struct {
	scenario    Scenario
	rng         *rand.Rand
	zipf        []*rand.Zipf // by service; nil means a uniform distribution
	totalWeight float64
	due         time.Duration
	serial      int
}

func newArrivals(s Scenario) *arrivals {
	a := &arrivals{scenario: s, rng: rand.New(rand.NewPCG(uint64(s.Seed), 1))}
	for _, service := range s.Services {
		a.totalWeight += service.Weight
		var zipf *rand.Zipf
		if service.Zipf > 1 {
			zipf = rand.NewZipf(a.rng, service.Zipf, zipfOffset, uint64(service.Keys-1))
		}
		a.zipf = append(a.zipf, zipf)
	}
	return a
}

// next returns the next request; ok is false after the end of the scenario.
// Times between arrivals are exponentially distributed.
func (a *arrivals) next() (out arrival, ok bool) {
	a.due += time.Duration(a.rng.ExpFloat64() / a.scenario.Rate * float64(time.Second))
	if a.due >= a.scenario.Duration {
		return arrival{}, false
	}
	i := a.pickService()
	return arrival{due: a.due, service: i, request: a.newRequest(i)}, true
}

func (a *arrivals) pickService() int {
	draw := a.rng.Float64() * a.totalWeight
	for i, s := range a.scenario.Services {
		if draw -= s.Weight; draw < 0 {
			return i
		}
	}
	return len(a.scenario.Services) - 1
}

func (a *arrivals) newRequest(i int) Request {
	s := a.scenario.Services[i]
	key := uint64(0)
	if a.zipf[i] != nil {
		key = a.zipf[i].Uint64()
	} else {
		key = a.rng.Uint64N(uint64(s.Keys))
	}
	a.serial++
	draw := a.rng.Float64() * (s.Mix.Lookup + s.Mix.Order + s.Mix.Upload)
	path := fmt.Sprintf("/key-%d/%d", key, a.serial)
	switch {
	case draw < s.Mix.Lookup:
		return Request{Kind: profile.Lookup, Path: s.PathPrefix + path}
	case draw < s.Mix.Lookup+s.Mix.Order:
		return Request{Kind: profile.Order, Path: s.PathPrefix + path}
	default:
		return Request{Kind: profile.Upload, Path: s.PathPrefix + s.UploadPath + path}
	}
}
