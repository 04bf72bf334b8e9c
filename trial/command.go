package trial

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"go.uber.org/zap"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Command is the subcommand try with its flags.
type Command struct {
	Deployment string        `arg:"--deployment" default:"arrieta" help:"arrieta or hollister"`
	JSON       bool          `arg:"-"` // print the report as JSON; a flag of the whole command line
	Keep       bool          `arg:"--keep" help:"leave everything up after the report and print addresses and commands"`
	Callers    int           `arg:"--callers" default:"48" help:"concurrent callers"`
	Phase      time.Duration `arg:"--phase" default:"4s" help:"length of each of the four phases"`
	Verbose    bool          `arg:"--verbose" help:"print the hosts' logs"`
}

// Run runs the subcommand and returns its exit code: 0 when every promise
// held, 1 when one was broken or the deployment failed, 2 for wrong flags.
func (c *Command) Run(ctx context.Context, stdout, stderr io.Writer) int {
	shape, err := ShapeOf(c.Deployment)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	logger := zap.NewNop()
	if c.Verbose {
		logger, _ = zap.NewDevelopment()
	}
	o := Options{Shape: shape, Callers: max(1, c.Callers), Phase: c.Phase, Logger: logger}
	if isTerminal(stderr) {
		o.Progress = func(text string) { fmt.Fprintln(stderr, "… "+text) }
	}
	t := newTrial(o)
	defer t.d.close()
	report, err := t.run(ctx)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	if err := c.print(report, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	if c.Keep {
		t.d.writeAddresses(stderr)
		<-ctx.Done()
	}
	if report.Broken() {
		return exitFailed
	}
	return exitOK
}

func (c *Command) print(r Report, w io.Writer) error {
	if c.JSON {
		return r.WriteJSON(w)
	}
	return r.WriteText(w)
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// writeAddresses prints the addresses of the deployment and commands to try.
func (d *deployment) writeAddresses(w io.Writer) {
	fmt.Fprintf(w, "\nplatform  %s\n", d.logHTTP.URL)
	for _, h := range d.live() {
		s := h.Settings
		fmt.Fprintf(w, "%-8s  %-10s callers http://%s  admin http://%s\n", s.Name, s.Domain, s.Listen, s.Admin)
	}
	host, first := d.live()[0].Settings, d.servers[0]
	prefix := d.prefix(first.service)
	fmt.Fprintf(w, `
Try:
  curl -i http://%s%s/item-1/stock
  curl -i -X POST -H 'Idempotency-Key: my-order-1' -d '{"count":1}' http://%s%s/item-1/orders
  curl http://%s/readyz
  export LACEWINGSADDLE_ADMIN=http://%s LACEWINGSADDLE_TOKEN=%s
  lacewingsaddle status                  # also hosts, servers, explain item-1, drain, audit
  curl -H "Authorization: Bearer $LACEWINGSADDLE_TOKEN" http://%s/metrics
  curl -X POST %s/%s/-/admin/freeze      # also thaw, kill, restart, silence, drain, undrain
  curl %s/%s/-/admin/ledger
  curl -X PUT -d '{"outage":"refusing"}' %s/-/admin/faults

Press Ctrl-C to end.
`, host.Listen, prefix, host.Listen, prefix, host.Admin, host.Admin, operatorToken, host.Admin,
		d.admin.URL, first.spec.ID, d.admin.URL, first.spec.ID, d.logHTTP.URL)
}
