// Command lacewingsaddle is the command line for operators. Its subcommand try
// runs a whole deployment in one process, for newcomers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/lacewingsaddle/lacewingsaddle/cli"
	"github.com/lacewingsaddle/lacewingsaddle/trial"
)

type arguments struct {
	Try *trial.Command `arg:"subcommand:try" help:"run a whole deployment in this process"`
	cli.Arguments
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code, ok := run(ctx, &args)
	stop()
	if !ok {
		_ = parser.FailSubcommand("a subcommand is needed", parser.SubcommandNames()...)
	}
	os.Exit(code)
}

func run(ctx context.Context, args *arguments) (code int, ok bool) {
	if args.Try != nil {
		args.Try.JSON = args.JSON
		return args.Try.Run(ctx, os.Stdout, os.Stderr), true
	}
	return args.Run(ctx, cli.OSEnv())
}
