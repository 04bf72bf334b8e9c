package loadgen

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/yamldoc"
)

const (
	maxRate     = 1_000_000
	maxDuration = 24 * time.Hour
	maxKeys     = 100_000_000
)

// Scenario configures one run: the load, its targets and the fault script.
type Scenario struct {
	Name     string        `yaml:"name"`
	Seed     int           `yaml:"seed"` // the same seed gives the same requests at the same times
	Duration time.Duration `yaml:"duration"`
	Rate     float64       `yaml:"rate"` // arrivals per second, independent of answers (open loop)
	Resubmit Resubmit      `yaml:"resubmit"`
	Hosts    []string      `yaml:"hosts"`    // addresses at which callers reach the entry hosts
	Platform string        `yaml:"platform"` // base URL of the simulated platform
	Services []Service     `yaml:"services"`
	Faults   []Fault       `yaml:"faults"`
}

// Service configures the load of one service and its simulated backend servers.
type Service struct {
	Name       string   `yaml:"name"`
	PathPrefix string   `yaml:"path_prefix"`
	UploadPath string   `yaml:"upload_path"` // relative to PathPrefix
	Keyed      bool     `yaml:"keyed"`
	Weight     float64  `yaml:"weight"` // relative share of the arrivals
	Keys       int      `yaml:"keys"`
	Zipf       float64  `yaml:"zipf"` // exponent, above 1; 0 means a uniform distribution
	Mix        Mix      `yaml:"mix"`
	Servers    []Server `yaml:"servers"`
}

// Mix holds the relative shares of the request kinds.
type Mix struct {
	Lookup float64 `yaml:"lookup"`
	Order  float64 `yaml:"order"`
	Upload float64 `yaml:"upload"`
}

// Server is one simulated backend server.
type Server struct {
	ID    string `yaml:"id"`
	Admin string `yaml:"admin"` // base URL of its admin API
}

// Fault is one step of the fault script. Exactly one of Server, Platform and
// Instruction is set.
type Fault struct {
	At          time.Duration   `yaml:"at"`
	Server      string          `yaml:"server"`
	Action      string          `yaml:"action"` // admin call to make on Server, such as freeze
	Platform    *PlatformFaults `yaml:"platform"`
	Instruction string          `yaml:"tell"` // shown to the operator of the tool, who carries it out by hand
}

// PlatformFaults is the complete set of faults of the simulated platform: a fault
// with a zero value ends.
type PlatformFaults struct {
	Outage        string `yaml:"outage" json:"outage"`
	DelayMS       int    `yaml:"delay_ms" json:"delay_ms"`
	LoseAnswers   int    `yaml:"lose_answers" json:"lose_answers"`
	LateAppends   int    `yaml:"late_appends" json:"late_appends"`
	LateMS        int    `yaml:"late_ms" json:"late_ms"`
	HostListLagMS int    `yaml:"host_list_lag_ms" json:"host_list_lag_ms"`
}

var serverActions = []string{"freeze", "thaw", "kill", "restart", "silence", "drain", "undrain"}

// LoadScenario reads and validates a scenario file. Errors are of kind BadSettings;
// those of an invalid scenario wrap a yamldoc.FieldErrors.
func LoadScenario(path string) (Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fault.Wrap(fault.BadSettings, err, "read the scenario")
	}
	return ParseScenario(data)
}

// ParseScenario parses and validates a scenario; see LoadScenario.
func ParseScenario(data []byte) (Scenario, error) {
	file, syntax := yamldoc.ParseTree(data)
	if syntax != nil {
		return Scenario{}, scenarioError(yamldoc.FieldErrors{*syntax})
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return Scenario{}, scenarioError(yamldoc.FieldErrors{{Line: 1, Column: 1, Problem: yamldoc.Missing, Allowed: "one YAML document"}})
	}
	var s Scenario
	d := yamldoc.NewDecoder(file.Docs[0].Body, "")
	d.Decode(&s)
	d.AddFieldErrors(s.Check())
	if len(d.Errors) > 0 {
		return Scenario{}, scenarioError(d.Errors.Sorted())
	}
	return s, nil
}

func scenarioError(errs yamldoc.FieldErrors) error {
	return errs.AsError(fault.BadSettings, "the scenario")
}

// scenarioChecker collects the errors of invalid fields.
type scenarioChecker struct{ errs yamldoc.FieldErrors }

func (c *scenarioChecker) require(ok bool, path string, value any, allowed string) {
	if ok {
		return
	}
	c.errs = append(c.errs, yamldoc.FieldError{Path: path, Problem: yamldoc.Value, Value: fmt.Sprint(value), Allowed: allowed})
}

// Check returns an error for every invalid field.
func (s Scenario) Check() yamldoc.FieldErrors {
	c := &scenarioChecker{}
	c.require(s.Name != "", "name", s.Name, "a name")
	c.require(s.Duration > 0 && s.Duration <= maxDuration, "duration", s.Duration, "up to "+maxDuration.String())
	c.require(s.Rate > 0 && s.Rate <= maxRate, "rate", s.Rate, fmt.Sprintf("above 0 and up to %d per second", maxRate))
	c.require(s.Resubmit.Delay >= 0, "resubmit.delay", s.Resubmit.Delay, "0 or more")
	c.require(s.Resubmit.Within >= 0, "resubmit.within", s.Resubmit.Within, "0 or more")
	c.require(len(s.Hosts) > 0, "hosts", len(s.Hosts), "at least one entry host")
	for i, h := range s.Hosts {
		_, err := netip.ParseAddrPort(h)
		c.require(err == nil, fmt.Sprintf("hosts[%d]", i), h, "an IP and a port")
	}
	if s.Platform != "" {
		c.url("platform", s.Platform)
	}
	c.require(len(s.Services) > 0, "services", len(s.Services), "at least one service")
	ids := map[string]bool{}
	for i, service := range s.Services {
		c.service(fmt.Sprintf("services[%d].", i), service, ids)
	}
	for i, f := range s.Faults {
		c.fault(fmt.Sprintf("faults[%d].", i), f, s, ids)
	}
	return c.errs
}

func (c *scenarioChecker) url(path, value string) {
	u, err := url.Parse(value)
	c.require(err == nil && u.Host != "" && u.Scheme == "http", path, value, "an http URL")
}

func (c *scenarioChecker) service(path string, s Service, ids map[string]bool) {
	c.require(s.Name != "", path+"name", s.Name, "a name")
	c.require(strings.HasPrefix(s.PathPrefix, "/"), path+"path_prefix", s.PathPrefix, "a path that begins with /")
	c.require(s.Weight > 0, path+"weight", s.Weight, "above 0")
	c.require(s.Keys > 0 && s.Keys <= maxKeys, path+"keys", s.Keys, fmt.Sprintf("1 to %d", maxKeys))
	c.require(s.Zipf == 0 || s.Zipf > 1, path+"zipf", s.Zipf, "0 or above 1")
	m := s.Mix
	c.require(m.Lookup >= 0 && m.Order >= 0 && m.Upload >= 0 && m.Lookup+m.Order+m.Upload > 0, path+"mix", m, "shares of 0 or more, at least one of them above 0")
	c.require(m.Upload == 0 || s.UploadPath != "", path+"upload_path", s.UploadPath, "a path, because the mix contains uploads")
	c.require(len(s.Servers) > 0, path+"servers", len(s.Servers), "at least one, for the audit")
	for i, server := range s.Servers {
		prefix := fmt.Sprintf("%sservers[%d].", path, i)
		c.require(server.ID != "" && !ids[server.ID], prefix+"id", server.ID, "a unique id")
		c.url(prefix+"admin", server.Admin)
		ids[server.ID] = true
	}
}

func (c *scenarioChecker) fault(path string, f Fault, s Scenario, ids map[string]bool) {
	c.require(f.At >= 0 && f.At <= s.Duration, path+"at", f.At, "within the duration")
	targets := 0
	for _, set := range []bool{f.Server != "", f.Platform != nil, f.Instruction != ""} {
		if set {
			targets++
		}
	}
	c.require(targets == 1, strings.TrimSuffix(path, "."), targets, "exactly one of server, platform and tell")
	if f.Server != "" {
		c.require(ids[f.Server], path+"server", f.Server, "the id of a server of the scenario")
		c.require(slices.Contains(serverActions, f.Action), path+"action", f.Action, strings.Join(serverActions, ", "))
	}
	if f.Platform != nil {
		c.require(s.Platform != "", path+"platform", "", "platform set at the top level of the scenario")
		c.require(slices.Contains([]string{"", "refusing", "silent"}, f.Platform.Outage), path+"platform.outage", f.Platform.Outage, "refusing or silent")
	}
}
