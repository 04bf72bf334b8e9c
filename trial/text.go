package trial

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/soak"
)

// writeText writes the report as short tables.
func (c *Command) writeText(r *soak.Report, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "deployment\t%d entry hosts, %d backend servers, %d callers\n", c.Hosts, c.Backends, c.Callers)
	fmt.Fprintf(w, "time\tready after %s, whole trial %s\n", roundToMS(r.ReadyAfter), roundToMS(r.Took))
	fmt.Fprintln(w, "\nFAULTS AND CHANGES")
	for _, line := range r.Faults {
		fmt.Fprintln(w, line)
	}
	fmt.Fprintln(w, "\nREQUESTS\tSERVED\tREJECTED\tUNKNOWN")
	writeOutcomes(w, "lookups", r.Lookups)
	writeOutcomes(w, "orders", r.Orders)
	fmt.Fprintln(w, "\nGUARANTEE\tVIOLATIONS\tRULE")
	for _, g := range soak.Guarantees {
		fmt.Fprintf(w, "%s\t%d\t%s\n", g.Text, r.Count(g.Rule), g.Rule)
	}
	for _, v := range r.Violations {
		fmt.Fprintln(w, "violated", v)
	}
	return w.Flush()
}

func writeOutcomes(w io.Writer, kind string, o soak.Outcomes) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", kind, o.Served, o.Rejected, o.Unknown)
}

func roundToMS(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
