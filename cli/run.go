package cli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/client"
	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/platform"
)

// Env is the environment of a command: its output, variables, clock and
// connections.
type Env struct {
	Stdout, Stderr io.Writer
	Getenv         func(string) string
	Now            func() time.Time
	Transport      http.RoundTripper // nil: built from --ca, --cert and --key-file
	// OpenStore returns a client of the platform's store at an address.
	OpenStore func(address string) cluster.Store
}

// OSEnv returns the environment of the process.
func OSEnv() Env {
	return Env{Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, Now: time.Now, OpenStore: openStore}
}

func openStore(address string) cluster.Store { return platform.NewStore(address) }

// session is one run of a subcommand.
type session struct {
	env    Env
	args   *Arguments
	client *client.Client
}

// Run executes the subcommand and returns its exit code. ok is false when no
// subcommand was given.
func (a *Arguments) Run(ctx context.Context, env Env) (code int, ok bool) {
	s := &session{env: env, args: a}
	run := s.handler()
	if run == nil {
		return ExitInvalid, false
	}
	err := s.connect()
	if err == nil {
		err = run(ctx)
	}
	if err != nil {
		writeError(env.Stderr, err)
	}
	return exitCode(err), true
}

// handler returns the function of the subcommand, or nil.
func (s *session) handler() func(context.Context) error {
	a := s.args
	switch {
	case a.Check != nil:
		return s.check
	case a.Profile != nil:
		return s.documentHandler(a.Profile, "profile")
	case a.Service != nil:
		return s.documentHandler(a.Service, "service")
	case a.Store == "" && (a.Status != nil && len(a.Status.Logs) > 0 || a.Owners != nil && len(a.Owners.Logs) > 0):
		return func(context.Context) error { return fault.New(fault.BadRequest, "--logs needs --store here") }
	case a.Store != "" && a.Status != nil:
		return s.storeStatus
	case a.Store != "" && a.Owners != nil:
		return s.storeOwners
	case a.Explain != nil && len(a.Explain.Logs) > 0:
		return s.explainLogs
	case a.Status != nil:
		return s.status
	case a.Hosts != nil:
		return s.hosts
	case a.Servers != nil:
		return s.servers
	case a.Owners != nil:
		return s.owners
	case a.Explain != nil:
		return s.explain
	case a.Audit != nil:
		return s.audit
	case a.Watch != nil:
		return s.watch
	case a.Schema != nil:
		return s.schema
	case a.Shell != nil:
		return s.completion
	}
	return s.ownershipHandler()
}

// ownershipHandler returns the function of a subcommand that changes ownership,
// or nil.
func (s *session) ownershipHandler() func(context.Context) error {
	a := s.args
	switch {
	case a.Move != nil:
		return s.move
	case a.Pin != nil:
		return s.pin
	case a.Unpin != nil:
		return s.unpin
	case a.Drain != nil:
		return s.drain
	case a.Undrain != nil:
		return s.undrain
	case a.Members != nil && a.Members.Forget != nil:
		return s.forget
	}
	return nil
}

// connect creates the client. It opens no connection.
func (s *session) connect() error {
	token, err := s.token()
	if err != nil {
		return err
	}
	transport := s.env.Transport
	if transport == nil {
		transport, err = s.args.transport()
	}
	s.client = client.New(s.args.Admin, token, transport)
	return err
}

// token reads the admin token. It is never an argument, since arguments are
// visible in the process list.
func (s *session) token() (string, error) {
	if s.args.TokenFile == "" {
		return s.env.Getenv("LACEWINGSADDLE_TOKEN"), nil
	}
	data, err := os.ReadFile(s.args.TokenFile)
	if err != nil {
		return "", fault.Wrap(fault.BadSettings, err, "read the token file")
	}
	return strings.TrimSpace(string(data)), nil
}

// print writes v as JSON with --json, and otherwise the table that text fills.
func (s *session) print(v any, text func(t *table)) error {
	if s.args.JSON {
		e := json.NewEncoder(s.env.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	t := newTable(s.env.Stdout)
	text(t)
	return t.flush()
}
