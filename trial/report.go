package trial

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/loadgen"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

// Report holds the results of a trial.
type Report struct {
	Deployment  string                                    `json:"deployment"`
	Hosts       int                                       `json:"entry_hosts"`
	Servers     int                                       `json:"backend_servers"`
	ReadyAfter  time.Duration                             `json:"ready_after_ns"`
	Took        time.Duration                             `json:"took_ns"`
	Requests    map[profile.RequestKind]*loadgen.Outcomes `json:"requests"`
	Promises    loadgen.Violations                        `json:"promises"`
	Moves       Moves                                     `json:"key_moves"`
	Unavailable Unavailable                               `json:"unavailable"`
	Imbalance   Imbalance                                 `json:"imbalance"`
	Frozen      string                                    `json:"frozen_server"`
	Killed      string                                    `json:"killed_entry_host"`
}

// Imbalance is the largest number of shards of a server, divided by the mean.
type Imbalance struct {
	Before float64 `json:"before"` // before the freeze
	After  float64 `json:"after"`  // at the end, over the servers but the frozen one
}

// Broken reports whether a promise was broken.
func (r Report) Broken() bool { return r.Promises.Any() }

func (r *Report) countOutcomes(samples []loadgen.Sample) {
	r.Requests = map[profile.RequestKind]*loadgen.Outcomes{}
	for _, kind := range []profile.RequestKind{profile.Lookup, profile.Order, profile.Upload} {
		r.Requests[kind] = &loadgen.Outcomes{}
	}
	for _, s := range samples {
		r.Requests[s.Kind].Count(s)
	}
}

// WriteJSON writes the report for machines.
func (r Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// WriteText writes the report as a short table.
func (r Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "deployment\t%s: %d entry hosts, %d backend servers\n", r.Deployment, r.Hosts, r.Servers)
	fmt.Fprintf(w, "faults\tfroze %s, killed %s\n", r.Frozen, r.Killed)
	fmt.Fprintf(w, "time\tready after %s, whole trial %s\n\n", roundToMS(r.ReadyAfter), roundToMS(r.Took))
	fmt.Fprintln(w, "requests\tanswered\tnot run\tunknown\tresubmitted")
	for _, kind := range []profile.RequestKind{profile.Lookup, profile.Order, profile.Upload} {
		o := r.Requests[kind]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", kind, o.Answered, o.NotRun, o.Unknown, o.Resubmitted)
	}
	if err := r.Promises.WriteRows(w); err != nil {
		return err
	}
	fmt.Fprintln(w, "\nmeasures\t")
	fmt.Fprintf(w, "key moves\t%d of %d shards; the frozen server owned %d; %d of others\n", r.Moves.Moved, r.Moves.Shards, r.Moves.OwnedByFrozen, r.Moves.Needless)
	fmt.Fprintf(w, "unavailable time\t%s\n", r.Unavailable)
	fmt.Fprintf(w, "imbalance\t%.2f before, %.2f at the end\n", r.Imbalance.Before, r.Imbalance.After)
	return w.Flush()
}

// String implements fmt.Stringer.
func (u Unavailable) String() string {
	text := fmt.Sprintf("longest %s, median %s, over %d keys", roundToMS(u.Longest), roundToMS(u.Median), u.Keys)
	if u.Unserved > 0 {
		text += fmt.Sprintf("; %d keys not served within %s", u.Unserved, roundToMS(u.Watched))
	}
	return text
}

func roundToMS(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
