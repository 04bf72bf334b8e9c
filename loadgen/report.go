package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

// Latency is a latency distribution in milliseconds, measured from the time at
// which requests were due to their answers.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		P50:  ms(h.ValueAtQuantile(50)),
		P90:  ms(h.ValueAtQuantile(90)),
		P99:  ms(h.ValueAtQuantile(99)),
		P999: ms(h.ValueAtQuantile(99.9)),
		Max:  ms(h.Max()),
	}
}

// Outcomes counts requests by their final outcome.
type Outcomes struct {
	Answered    int `json:"answered"`
	NotRun      int `json:"not_run"`
	Unknown     int `json:"unknown"`
	Resubmitted int `json:"resubmitted"` // attempts after the first, each following "not run"
}

// KindReport holds the results for one request kind.
type KindReport struct {
	Outcomes
	Latency Latency `json:"latency"` // of the answered requests
}

func newKindReport(h *hdrhistogram.Histogram) *KindReport {
	return &KindReport{Latency: newLatency(h)}
}

// Count adds one request.
func (k *Outcomes) Count(s Sample) {
	k.Resubmitted += s.Attempts - 1
	switch s.Outcome {
	case fault.Answered:
		k.Answered++
	case fault.NotRun:
		k.NotRun++
	default:
		k.Unknown++
	}
}

// Point is one second of the time series. Requests count in the second in which
// they were due.
type Point struct {
	Second   int     `json:"second"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"not_run"`
	Unknown  int     `json:"unknown"`
	Moves    int     `json:"moves"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
}

func newPoint(i int, s bucket, moves int) Point {
	l := newLatency(s.latency)
	return Point{Second: i, Answered: s.answered, NotRun: s.notRun, Unknown: s.unknown, Moves: moves, P50: l.P50, P99: l.P99}
}

// Step is one executed step of the fault script.
type Step struct {
	AtMS int64  `json:"at_ms"`
	Text string `json:"text"`
}

// Report holds the results of one run.
type Report struct {
	Scenario   string                              `json:"scenario"`
	Seed       int                                 `json:"seed"`
	Rate       float64                             `json:"rate"`
	TookMS     int64                               `json:"took_ms"`
	Unsent     int                                 `json:"unsent"` // arrivals that were due but not sent; the run is not valid if above 0
	Kinds      map[profile.RequestKind]*KindReport `json:"kinds"`
	Violations Violations                          `json:"promises"`
	Moves      int                                 `json:"moves"`
	Imbalance  map[string]float64                  `json:"imbalance"` // requests executed by the busiest server over the mean, by service
	Steps      []Step                              `json:"steps"`
	Series     []Point                             `json:"series"`
}

// HasViolations reports whether any guarantee was violated.
func (r *Report) HasViolations() bool { return r.Violations.Any() }

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report as tables for people to read.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "scenario\t%s, seed %d, %g arrivals a second, %s\n", r.Scenario, r.Seed, r.Rate, time.Duration(r.TookMS)*time.Millisecond)
	if r.Unsent > 0 {
		fmt.Fprintf(w, "not sent\t%d arrivals exceeded the limit of outstanding requests\n", r.Unsent)
	}
	fmt.Fprintln(w, "\nrequests\tanswered\tnot run\tunknown\tresubmitted\tp50 ms\tp99 ms\tp99.9 ms\tmax ms")
	for _, kind := range kinds {
		k := r.Kinds[kind]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", kind, k.Answered, k.NotRun, k.Unknown, k.Resubmitted,
			k.Latency.P50, k.Latency.P99, k.Latency.P999, k.Latency.Max)
	}
	if err := r.Violations.WriteRows(w); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nkey moves in the ledgers\t%d\n", r.Moves)
	for _, name := range slices.Sorted(maps.Keys(r.Imbalance)) {
		fmt.Fprintf(w, "imbalance of %s\t%.2f\n", name, r.Imbalance[name])
	}
	for _, s := range r.Steps {
		fmt.Fprintf(w, "at %s\t%s\n", time.Duration(s.AtMS)*time.Millisecond, s.Text)
	}
	return w.Flush()
}

// WriteRows writes the violations as tab-separated rows of a table.
func (p Violations) WriteRows(w io.Writer) error {
	_, err := fmt.Fprintf(w, `
violations (each must be 0)	
orders and uploads executed more than once	%d
orders and uploads answered but not executed	%d
reported as not run but executed	%d
answers to another request	%d
executed by a former owner	%d
`, p.Duplicated, p.Lost, p.WronglyNotRun, p.Mismatched, p.StaleOwner)
	return err
}
