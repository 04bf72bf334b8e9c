// Command loadgen sends open-loop load to a running deployment, runs a fault
// script and audits the guarantees. It starts no processes itself.
//
// It exits with 0 when every guarantee held, with 1 when one was violated or the
// run failed, and with 2 when the scenario is invalid.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/lacewingsaddle/lacewingsaddle/loadgen"
	"github.com/lacewingsaddle/lacewingsaddle/settings"
)

const (
	exitFailed      = 1
	exitBadScenario = 2
)

type arguments struct {
	Scenario string `arg:"positional,required" help:"the scenario's YAML file"`
	JSON     bool   `arg:"--json" help:"print the report as JSON"`
	Out      string `arg:"--out" help:"directory for report.json and the plots"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	os.Exit(run(args))
}

func run(args arguments) int {
	scenario, err := loadgen.LoadScenario(args.Scenario)
	if err != nil {
		fmt.Fprint(os.Stderr, settings.Describe(args.Scenario, err))
		return exitBadScenario
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	sender := loadgen.NewHTTPSender(nil)
	defer sender.Close()
	runner := loadgen.Runner{
		Scenario: scenario,
		Sender:   sender,
		Standins: loadgen.NewHTTPStandins(scenario),
		OnStep: func(at time.Duration, text string) {
			fmt.Fprintf(os.Stderr, "%6.1fs  %s\n", at.Seconds(), text)
		},
	}
	report, err := runner.Run(ctx)
	if err == nil {
		err = writeReport(report, args)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if report.HasViolations() {
		return exitFailed
	}
	return 0
}

func writeReport(r *loadgen.Report, args arguments) error {
	if args.Out != "" {
		if err := writeFiles(r, args.Out); err != nil {
			return err
		}
	}
	if args.JSON {
		return r.WriteJSON(os.Stdout)
	}
	return r.WriteText(os.Stdout)
}

func writeFiles(r *loadgen.Report, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "report.json"))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := r.WriteJSON(f); err != nil {
		return err
	}
	return r.WritePlots(dir)
}
