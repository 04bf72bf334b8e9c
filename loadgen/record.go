package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/standin/keyserver"
)

const (
	// Latencies are recorded in microseconds up to one minute, with three
	// significant digits.
	maxLatencyUS  = 60_000_000
	latencyDigits = 3
	// bucketLength is the interval between points of the time series.
	bucketLength = time.Second
)

// kinds lists the request kinds in the order of the report.
var kinds = []profile.RequestKind{profile.Lookup, profile.Order, profile.Upload}

// bucket aggregates the requests that were due within one bucketLength.
type bucket struct {
	answered, notRun, unknown int
	latency                   *hdrhistogram.Histogram
}

// recorder collects the results of requests. It is safe for concurrent use.
type recorder struct {
	scenario Scenario
	begun    time.Time

	mu      sync.Mutex
	samples []Sample
	latency map[profile.RequestKind]*hdrhistogram.Histogram
	buckets []bucket
	unsent  int
	steps   []Step
}

func newRecorder(s Scenario) *recorder {
	r := &recorder{scenario: s, begun: time.Now(), latency: map[profile.RequestKind]*hdrhistogram.Histogram{}}
	for _, k := range kinds {
		r.latency[k] = newHistogram()
	}
	r.buckets = make([]bucket, int((s.Duration+bucketLength-1)/bucketLength))
	for i := range r.buckets {
		r.buckets[i].latency = newHistogram()
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyUS, latencyDigits)
}

// add records a request that has just completed. Its latency is measured from the
// time at which it was due, so that a stall shows in the latency of every request
// that it delayed.
func (r *recorder) add(a arrival, s Sample) {
	latency := min((time.Since(r.begun) - a.due).Microseconds(), maxLatencyUS)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
	b := &r.buckets[a.due/bucketLength]
	switch s.Outcome {
	case fault.Answered:
		b.answered++
		_ = b.latency.RecordValue(latency)
		_ = r.latency[s.Kind].RecordValue(latency)
	case fault.NotRun:
		b.notRun++
	default:
		b.unknown++
	}
}

func (r *recorder) addUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

func (r *recorder) addStep(at time.Duration, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steps = append(r.steps, Step{AtMS: at.Milliseconds(), Text: text})
}

func (r *recorder) report(ledgers []Ledger) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{
		Scenario:   r.scenario.Name,
		Seed:       r.scenario.Seed,
		Rate:       r.scenario.Rate,
		TookMS:     time.Since(r.begun).Milliseconds(),
		Unsent:     r.unsent,
		Kinds:      map[profile.RequestKind]*KindReport{},
		Violations: Audit(r.samples, ledgers),
		Steps:      r.steps,
	}
	for _, k := range kinds {
		out.Kinds[k] = newKindReport(r.latency[k])
	}
	for _, s := range r.samples {
		out.Kinds[s.Kind].Count(s)
	}
	moves := r.movesPerBucket(ledgers)
	for i := range r.buckets {
		out.Series = append(out.Series, newPoint(i, r.buckets[i], moves[i]))
		out.Moves += moves[i]
	}
	out.Imbalance = r.imbalances(ledgers)
	return out
}

// movesPerBucket counts the key moves in the ledgers of keyed services.
func (r *recorder) movesPerBucket(ledgers []Ledger) []int {
	out := make([]int, len(r.buckets))
	for _, l := range ledgers {
		if !l.Keyed {
			continue
		}
		for _, at := range KeyMoves(l.Runs) {
			i := int(at.Sub(r.begun) / bucketLength)
			out[max(0, min(i, len(out)-1))]++
		}
	}
	return out
}

// imbalances returns, by service, the ratio of the number of requests executed by
// the busiest server to the mean over the service's servers.
func (r *recorder) imbalances(ledgers []Ledger) map[string]float64 {
	out := map[string]float64{}
	for i, service := range r.scenario.Services {
		counts := map[string]int{}
		for _, run := range ledgers[i].Runs {
			counts[run.Server]++
		}
		out[service.Name] = imbalance(counts, len(service.Servers), ledgers[i].Runs)
	}
	return out
}

func imbalance(counts map[string]int, servers int, runs []keyserver.Run) float64 {
	largest := 0
	for _, n := range counts {
		largest = max(largest, n)
	}
	if len(runs) == 0 {
		return 0
	}
	return float64(largest) * float64(servers) / float64(len(runs))
}
