// Command standin runs stand-ins: the users' platform with its store and backend servers,
// or the log service or a backend server of the brief.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/lacewingsaddle/lacewingsaddle/standin/deployment"
	"github.com/lacewingsaddle/lacewingsaddle/standin/keyserver"
	"github.com/lacewingsaddle/lacewingsaddle/standin/logsvc"
)

const (
	readHeaderTimeout = 5 * time.Second
	exitBadArguments  = 2
)

type platformCmd struct {
	Listen           string        `arg:"required,--listen" help:"IP and port; the admin calls are under /-/admin"`
	Retention        time.Duration `arg:"--retention" default:"1h" help:"age at which records are dropped"`
	MaxRecords       int           `arg:"--max-records" help:"records kept per stream; 0 means all"`
	AppendsPerSecond int           `arg:"--appends-per-second" default:"300"`
}

type backendCmd struct {
	Listen string `arg:"required,--listen" help:"IP and port"`
	Admin  string `arg:"--admin" help:"IP and port of the admin calls, which answer while the server is frozen or killed"`
	ID     string `arg:"required,--id" help:"the server's id"`
	Traits string `arg:"--traits" help:"the traits as a JSON object, such as {\"service_ms\":2,\"slots\":3}"`
}

type deploymentCmd struct {
	Listen    string `arg:"--listen" default:"127.0.0.1:7000" help:"IP and port of the store; the calls that inject faults are under /-/"`
	Servers   int    `arg:"--servers" default:"3" help:"backend servers"`
	FirstPort int    `arg:"--first-port" default:"7201" help:"port of the first backend server, on 127.0.0.1; the others follow"`
}

type arguments struct {
	Deployment *deploymentCmd `arg:"subcommand:deployment" help:"the users' platform: store and backend servers, in memory"`

	Platform *platformCmd `arg:"subcommand:platform" help:"log service and host list"`
	Backend  *backendCmd  `arg:"subcommand:backend" help:"backend server that owns keys"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	var err error
	switch {
	case args.Deployment != nil:
		err = runDeployment(args.Deployment)
	case args.Platform != nil:
		err = runPlatform(args.Platform)
	case args.Backend != nil:
		err = runBackend(args.Backend)
	default:
		parser.Fail("a subcommand is needed: deployment, platform or backend")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadArguments)
	}
}

func runDeployment(c *deploymentCmd) error {
	var addresses []string
	for i := range c.Servers {
		addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", c.FirstPort+i))
	}
	d, err := deployment.New(addresses)
	if err != nil {
		return err
	}
	defer d.Close()
	return serve(c.Listen, d.Handler())
}

func runPlatform(c *platformCmd) error {
	service := logsvc.NewWithConfig(logsvc.Config{
		Retention:        c.Retention,
		MaxRecords:       c.MaxRecords,
		AppendsPerSecond: c.AppendsPerSecond,
	})
	defer service.Close()
	return serve(c.Listen, service.Handler())
}

func runBackend(c *backendCmd) error {
	traits := keyserver.Traits{EchoID: true, ServiceMS: 2}
	if c.Traits != "" {
		if err := json.Unmarshal([]byte(c.Traits), &traits); err != nil {
			return fmt.Errorf("--traits: %w", err)
		}
	}
	server := keyserver.New(keyserver.Config{ID: c.ID, Traits: traits})
	if err := server.Start(c.Listen); err != nil {
		return err
	}
	defer server.Kill()
	if c.Admin == "" {
		waitForSignal()
		return nil
	}
	return serve(c.Admin, server.AdminHandler())
}

// serve serves HTTP until a signal arrives.
func serve(addr string, h http.Handler) error {
	server := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		waitForSignal()
		_ = server.Close()
	}()
	err := server.ListenAndServe()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func waitForSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	<-c
}
