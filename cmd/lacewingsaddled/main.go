// Command lacewingsaddled runs one entry host.
//
// It exits with 0 after a planned stop (SIGTERM or SIGINT), with 2 when the
// settings are invalid, and with 1 when the host could not run or a planned
// stop cut requests off. A second signal ends it at once. SIGHUP reloads the
// TLS files.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/entry"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/settings"
)

const (
	exitFailed      = 1
	exitBadSettings = 2
	// startTimeout bounds the start of the listeners.
	startTimeout = 15 * time.Second
	// stopMargin is added to the times in the settings for a planned stop.
	stopMargin = 15 * time.Second
)

type arguments struct {
	Config string `arg:"required,--config" help:"the host's settings file"`
	Check  bool   `arg:"--check" help:"only check the settings"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	os.Exit(run(args))
}

func run(args arguments) int {
	host, err := settings.Load(args.Config)
	if err != nil {
		return reportError(args.Config, err)
	}
	if args.Check {
		return 0
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	limits := host.Limits
	app := fx.New(
		fx.Supply(host.Log),
		fx.Provide(entry.NewLogger),
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(limits.StopGrace+limits.DrainTimeout+stopMargin),
		entry.Module(host, entry.DefaultPorts(host)),
		fx.Invoke(reloadOnHangup),
	)
	if err := app.Err(); err != nil {
		return reportError(args.Config, err)
	}
	return serve(app, signals)
}

// serve runs the app until a signal arrives and then stops it as planned.
func serve(app *fx.App, signals <-chan os.Signal) int {
	ctx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	<-signals
	go func() {
		<-signals
		os.Exit(exitFailed)
	}()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// reportError prints an error and returns the exit code. Of an error in the
// settings, each field is on a line that begins with the file's name.
func reportError(path string, err error) int {
	fmt.Fprint(os.Stderr, settings.Describe(path, err))
	if fault.KindOf(err) == fault.BadSettings {
		return exitBadSettings
	}
	return exitFailed
}

// reloadOnHangup reloads the TLS files on SIGHUP.
func reloadOnHangup(lc fx.Lifecycle, host *entry.Host, logger *zap.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-hangups:
				if err := host.Reload(); err != nil {
					logger.Error("entry: cannot load the TLS files; the previous certificates and keys stay in use", zap.Error(err))
				}
			case <-done:
				return
			}
		}
	}()
	lc.Append(fx.StopHook(func() {
		signal.Stop(hangups)
		close(done)
	}))
}
