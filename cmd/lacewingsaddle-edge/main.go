// Command lacewingsaddle-edge runs one entry host on the users' platform. It reads
// its settings from the file that LACEWINGSADDLE_CONFIG names.
//
// On SIGHUP it reloads the settings; invalid ones are logged, and the previous ones
// stay in force. It exits with 0 after a planned stop (SIGTERM or SIGINT), with 2 if
// the settings are invalid, and with 1 if the host could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"go.uber.org/fx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/edge"
	"github.com/lacewingsaddle/lacewingsaddle/logsink"
	"github.com/lacewingsaddle/lacewingsaddle/platform"
	"github.com/lacewingsaddle/lacewingsaddle/platform/entryhost"
)

const (
	exitFailed      = 1
	exitBadSettings = 2
	startTimeout    = 15 * time.Second
	// stopReserve is added to the grace period in which the host itself stops.
	stopReserve = 5 * time.Second
	// memoryShare is the fraction of the host's memory that is set as the garbage
	// collector's soft memory limit, above which it runs more often.
	memoryShare = 0.6
)

type arguments struct {
	Check bool `arg:"--check" help:"only check the settings"`
}

func main() {
	s := catchSignals() // first, as a signal that is not caught ends the process
	var args arguments
	arg.MustParse(&args)
	os.Exit(run(args, s))
}

// caught receives the signals that the process handles.
type caught struct {
	stops   chan os.Signal
	hangups chan os.Signal
}

func catchSignals() caught {
	s := caught{stops: make(chan os.Signal, 2), hangups: make(chan os.Signal, 1)}
	signal.Notify(s.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

func run(args arguments, s caught) int {
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	if args.Check {
		return 0
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	var host *edge.Host
	output := logsink.NewWriter(os.Stdout)
	defer output.Stop()
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.StopGrace+stopReserve),
		fx.Supply(withDroppedLines(entryhost.Options(settings), output)),
		fx.Provide(
			func() *zap.Logger { return newLogger(output) },
			func() cluster.Store { return platform.NewStore(settings.Store) },
			func() cluster.Backends { return platform.NewBackends() },
		),
		edge.Module,
		fx.Populate(&host),
	)
	go reloadOnHangup(s.hangups, host)
	return serve(app, s.stops, settings.StopGrace+stopReserve)
}

func withDroppedLines(o edge.Options, output *logsink.Writer) edge.Options {
	o.DroppedLines = output.Dropped
	return o
}

func newLogger(output *logsink.Writer) *zap.Logger {
	core := zapcore.NewCore(entryhost.NewEncoder(), output, zapcore.InfoLevel)
	return zap.New(logsink.NewCore(core, output, logsink.DefaultLinesPerSecond, time.Now))
}

// reloadOnHangup reloads the settings on each SIGHUP.
func reloadOnHangup(hangups <-chan os.Signal, host *edge.Host) {
	for range hangups {
		settings, err := platform.LoadSettings()
		if err != nil {
			host.LogInvalidSettings(err)
			continue
		}
		host.Reload(entryhost.Options(settings))
	}
}

// serve runs the app until a signal arrives and then stops it gracefully within
// stopTimeout.
func serve(app *fx.App, signals <-chan os.Signal, stopTimeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	<-signals
	stop, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}
