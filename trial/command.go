// Package trial is the subcommand try: it runs a whole deployment in this process, under
// load and with faults, and prints whether the guarantees held.
package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/soak"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Hosts and backend servers. The upper bounds keep a trial within the processors and memory
// of a laptop; the lower ones leave a host and a server that serve while others do not.
const (
	minHosts, maxHosts       = 2, 16
	minBackends, maxBackends = 3, 50
)

// Command is the subcommand try with its flags.
type Command struct {
	Hosts    int           `arg:"--hosts" default:"4" help:"entry hosts"`
	Backends int           `arg:"--backends" default:"6" help:"backend servers"`
	Callers  int           `arg:"--callers" default:"16" help:"concurrent callers"`
	Length   time.Duration `arg:"--length" default:"2s" help:"length of each fault"`
	Seed     uint64        `arg:"--seed" default:"1" help:"determines the callers' requests"`
	Verbose  bool          `arg:"--verbose" help:"print faults and new configurations as they happen"`
	JSON     bool          `arg:"-"` // print the report as JSON; a flag of the whole command line
}

// Run runs the subcommand and returns its exit code: 0 when every guarantee held, 1 when
// one was violated or the deployment failed, 2 for wrong flags.
func (c *Command) Run(ctx context.Context, stdout, stderr io.Writer) int {
	report, err := c.run(ctx, stderr)
	if err != nil {
		fmt.Fprintln(stderr, err)
		if fault.KindOf(err) == fault.BadSettings {
			return exitUsage
		}
		return exitFailed
	}
	if err := c.print(report, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitCode(report)
}

func exitCode(r *soak.Report) int {
	if len(r.Violations) > 0 {
		return exitFailed
	}
	return exitOK
}

// run runs the deployment. The hosts' logs are kept if a guarantee was violated.
func (c *Command) run(ctx context.Context, stderr io.Writer) (*soak.Report, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lacewingsaddle-try")
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "make a directory for logs")
	}
	report, err := soak.Run(ctx, c.config(dir, stderr))
	if err == nil && ctx.Err() != nil {
		err = fault.New(fault.Internal, "the trial was ended before it was over")
	}
	if err != nil || len(report.Violations) > 0 {
		fmt.Fprintln(stderr, "hosts' logs in", dir)
		return report, err
	}
	return report, os.RemoveAll(dir)
}

// check returns an error of kind BadSettings if a flag is out of range.
func (c *Command) check() error {
	switch {
	case c.Hosts < minHosts || c.Hosts > maxHosts:
		return fault.Newf(fault.BadSettings, "--hosts must be %d to %d", minHosts, maxHosts)
	case c.Backends < minBackends || c.Backends > maxBackends:
		return fault.Newf(fault.BadSettings, "--backends must be %d to %d", minBackends, maxBackends)
	case c.Callers < 1:
		return fault.New(fault.BadSettings, "--callers must be at least 1")
	case c.Length <= 0:
		return fault.New(fault.BadSettings, "--length must be positive")
	}
	return nil
}

func (c *Command) config(dir string, stderr io.Writer) soak.Config {
	config := soak.Config{
		Dir:      dir,
		Seed:     c.Seed,
		Hosts:    c.Hosts,
		Backends: c.Backends,
		Clients:  c.Callers,
		Length:   c.Length,
		Work:     soak.Tour,
	}
	if c.Verbose || isTerminal(stderr) {
		config.Progress = func(line string) { fmt.Fprintln(stderr, line) }
	}
	return config
}

func (c *Command) print(r *soak.Report, w io.Writer) error {
	if c.JSON {
		return json.NewEncoder(w).Encode(r)
	}
	return c.writeText(r, w)
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
