// Command soak runs seeds of package soak against the entry host's program and
// prints the violations of each. It exits with 1 when a guarantee did not hold, and
// with 2 when a run could not be carried out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/lacewingsaddle/lacewingsaddle/soak"
)

type arguments struct {
	Program  string        `arg:"positional,required" help:"path of the entry host's program"`
	Seed     uint64        `arg:"--seed" help:"first seed; 0 takes one from the clock"`
	Seeds    int           `arg:"--seeds" default:"1" help:"number of seeds"`
	Jobs     int           `arg:"--jobs" default:"1" help:"seeds that run at the same time"`
	Length   time.Duration `arg:"--length" default:"15s" help:"how long faults are started in each seed"`
	Hosts    int           `arg:"--hosts" default:"4" help:"entry hosts"`
	Backends int           `arg:"--backends" default:"6" help:"backend servers"`
	Clients  int           `arg:"--clients" default:"10" help:"callers"`
	Work     soak.Work     `arg:"--work" default:"faults" help:"what happens: faults, planned (planned work alone), both or tour (a fixed sequence)"`
	Dir      string        `arg:"--dir" help:"directory for settings and logs; default: a temporary one"`
	Verbose  bool          `arg:"--verbose" help:"print the faults of every seed, not only of those with violations"`
}

const (
	exitViolation = 1
	exitError     = 2
)

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if !slices.Contains(soak.Works, args.Work) {
		parser.Fail("--work must be faults, planned, both or tour")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, args))
}

func run(ctx context.Context, args arguments) int {
	if args.Seed == 0 {
		args.Seed = uint64(time.Now().Unix())
	}
	if args.Dir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitError
		}
		args.Dir = dir
	}
	code := 0
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan struct{}, max(args.Jobs, 1))
	for i := range args.Seeds {
		slots <- struct{}{}
		running.Add(1)
		go func() {
			defer running.Done()
			c := runSeed(ctx, args, args.Seed+uint64(i), &mu)
			mu.Lock()
			code = max(code, c)
			mu.Unlock()
			<-slots
		}()
	}
	running.Wait()
	return code
}

// runSeed runs one seed and prints its outcome while it holds mu.
func runSeed(ctx context.Context, args arguments, seed uint64, mu *sync.Mutex) int {
	dir := filepath.Join(args.Dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	r, err := soak.Run(ctx, soak.Config{
		Program: args.Program, Dir: dir, Seed: seed,
		Hosts: args.Hosts, Backends: args.Backends, Clients: args.Clients, Length: args.Length, Work: args.Work,
	})
	mu.Lock()
	defer mu.Unlock()
	if err != nil {
		fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
		return exitError
	}
	fmt.Printf("seed %d, %s: %d requests, %d served, %d crossed a close, %d faults, %d violations\n",
		seed, args.Work, r.Requests, r.Served, len(r.Crossed), len(r.Faults), len(r.Violations))
	printLines(r.Crossed)
	if len(r.Violations) == 0 {
		if args.Verbose {
			printLines(r.Faults)
		}
		_ = os.RemoveAll(dir) // the logs of a run without violations are not kept
		return 0
	}
	printLines(r.Faults)
	for _, v := range r.Violations {
		fmt.Println("  broken", v)
	}
	fmt.Println("  logs in", dir)
	return exitViolation
}

func printLines(lines []string) {
	for _, l := range lines {
		fmt.Println("  " + l)
	}
}
