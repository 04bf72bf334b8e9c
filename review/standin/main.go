// Command standin runs one case of the review: a small deployment with stand-ins of the
// store, the upstreams and the clients, and the entry hosts as separate processes. It runs
// in the repository's root.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not
// run. With TROUBLE=0 the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name.
var cases = map[string]func(w *world, trouble bool) (verdict, error){
	"owner":  runOwner,
	"route":  runRoute,
	"budget": runBudget,
	"denied": runDenied,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// maxRun bounds the time of a case.
const maxRun = 110 * time.Second

// runWithLimit runs a case until it ends, a signal arrives or maxRun is over.
func runWithLimit(run func() (verdict, error)) (verdict, error) {
	type result struct {
		verdict verdict
		err     error
	}
	done := make(chan result, 1)
	go func() {
		v, err := run()
		done <- result{v, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case r := <-done:
		return r.verdict, r.err
	case s := <-signals:
		return verdict{}, fmt.Errorf("ended by the signal %v", s)
	case <-time.After(maxRun):
		return verdict{}, errors.New("the case takes too long")
	}
}

func runCase(name, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	w, err := newWorld(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	v, err := runWithLimit(func() (verdict, error) { return cases[name](w, os.Getenv("TROUBLE") != "0") })
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	rec.add("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
