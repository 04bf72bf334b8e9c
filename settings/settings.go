// Package settings reads the settings file of an entry host. The file is YAML,
// decoded strictly; all errors are reported together by line and column.
package settings

import (
	"errors"
	"os"
	"strings"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/yamldoc"
)

// maxFileBytes is the maximum size of the settings file.
const maxFileBytes = 1 << 20

// Host holds the settings of one entry host.
type Host struct {
	Name     string `yaml:"name"`
	Domain   string `yaml:"domain"` // failure domain
	Region   string `yaml:"region"`
	Cell     string `yaml:"cell"`
	Listen   string `yaml:"listen"`   // address for callers, IP and port
	Peer     string `yaml:"peer"`     // address for other entry hosts
	Admin    string `yaml:"admin"`    // address for operators
	Platform string `yaml:"platform"` // base URL of the platform's service
	// Seeds are peer addresses of other entry hosts, which are asked for the
	// current state if the log is unavailable at start.
	Seeds  []string `yaml:"seeds"`
	Log    Log      `yaml:"log"`
	Tokens Tokens   `yaml:"tokens"`
	TLS    *TLS     `yaml:"tls"` // nil means plain TCP
	Limits Limits   `yaml:"limits"`
}

// LogFormat is the encoding of log lines.
type LogFormat string

const (
	LogJSON    LogFormat = "json"
	LogConsole LogFormat = "console"
)

// Log configures logging.
type Log struct {
	Format LogFormat `yaml:"format"`
	Level  string    `yaml:"level"` // debug, info, warn or error
}

// Token is a bearer token for the admin address, given either by value or by file.
type Token struct {
	Name  string `yaml:"name"` // the operator's name in the audit trail
	Value string `yaml:"value"`
	File  string `yaml:"file"` // read at start; line ends at its end are removed
}

// Tokens holds the admin tokens by role. Write tokens also permit reading.
type Tokens struct {
	Read  []Token `yaml:"read"`
	Write []Token `yaml:"write"`
}

// TLS configures mutual TLS between entry hosts and on the admin address. The
// files are reloaded when they change and on SIGHUP.
type TLS struct {
	Cert  string `yaml:"cert"`
	Key   string `yaml:"key"`
	CA    string `yaml:"ca"`    // signs the certificates of peers and operators
	Admin bool   `yaml:"admin"` // require client certificates on the admin address too
}

// Limits bounds the resources that callers can use and the time of a planned stop.
type Limits struct {
	Connections       int           `yaml:"connections"`         // open connections
	HeaderBytes       int           `yaml:"header_bytes"`        // per request
	ReadHeaderTimeout time.Duration `yaml:"read_header_timeout"` // from the first byte of a request
	IdleTimeout       time.Duration `yaml:"idle_timeout"`        // for a connection without a request
	// StopGrace is the time that the load balancer has to react to a planned
	// stop. Requests are still accepted during it.
	StopGrace    time.Duration `yaml:"stop_grace"`
	DrainTimeout time.Duration `yaml:"drain_timeout"` // time for requests in flight to complete at a planned stop
}

// DefaultLimits returns the limits that apply if the file sets none.
func DefaultLimits() Limits {
	return Limits{
		Connections:       4096,
		HeaderBytes:       64 << 10,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       2 * time.Minute,
		StopGrace:         3 * time.Second,
		DrainTimeout:      time.Minute,
	}
}

// Default returns the settings that apply where the file sets none.
func Default() Host {
	return Host{
		Cell:   "main",
		Log:    Log{Format: LogJSON, Level: "info"},
		Limits: DefaultLimits(),
	}
}

// Load reads and checks the settings file at path and reads the token files that it
// names. Errors are of kind BadSettings; the cause of an invalid file is a
// yamldoc.FieldErrors with every invalid field.
func Load(path string) (Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Host{}, fault.Wrap(fault.BadSettings, err, "read settings")
	}
	h, err := Parse(data)
	if err != nil {
		return Host{}, err
	}
	return h, h.loadTokens()
}

// Parse decodes and checks settings. It opens no files. Errors are as for Load.
func Parse(data []byte) (Host, error) {
	if len(data) > maxFileBytes {
		return Host{}, fault.Newf(fault.BadSettings, "the settings exceed %d bytes", maxFileBytes)
	}
	file, syntax := yamldoc.ParseTree(data)
	if syntax != nil {
		return Host{}, asError(yamldoc.FieldErrors{*syntax})
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return Host{}, asError(yamldoc.FieldErrors{{Line: 1, Column: 1, Problem: yamldoc.Missing, Allowed: "one YAML document"}})
	}
	h := Default()
	d := yamldoc.NewDecoder(file.Docs[0].Body, "")
	d.Decode(&h)
	d.AddFieldErrors(h.Check())
	if len(d.Errors) > 0 {
		return Host{}, asError(redact(d.Errors.Sorted()))
	}
	return h, nil
}

// redact removes the values of tokens, which are secrets, from errors.
func redact(errs yamldoc.FieldErrors) yamldoc.FieldErrors {
	for i := range errs {
		if strings.HasPrefix(errs[i].Path, "tokens") && errs[i].Problem == yamldoc.Type {
			errs[i].Value = ""
		}
	}
	return errs
}

func asError(errs yamldoc.FieldErrors) error {
	return errs.AsError(fault.BadSettings, "the settings file")
}

// Describe formats err for operators: one line for each invalid field, which begins
// with the path of the file, the line and the column.
func Describe(path string, err error) string {
	var fields yamldoc.FieldErrors
	if !errors.As(err, &fields) {
		return path + ": " + err.Error() + "\n"
	}
	var b strings.Builder
	for _, f := range fields {
		b.WriteString(path + ":" + f.Error() + "\n")
	}
	return b.String()
}
