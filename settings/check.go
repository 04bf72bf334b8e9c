package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/yamldoc"
)

const (
	maxConnections = 1_000_000
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	maxTimeout     = time.Hour
	minTokenBytes  = 8
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const (
	allowedName    = "1 to 63 of a-z, 0-9, dot, hyphen and underscore, beginning with a letter or digit"
	allowedAddress = "an IP and a port, such as 10.0.0.1:8080"
	allowedURL     = "an http or https URL without a path, such as http://10.0.0.9:7000"
)

// checker collects the invalid fields.
type checker struct{ errs yamldoc.FieldErrors }

func (c *checker) addInvalid(path string, value any, allowed string) {
	c.errs = append(c.errs, yamldoc.FieldError{Path: path, Problem: yamldoc.Value, Value: fmt.Sprint(value), Allowed: allowed})
}

func (c *checker) addMissing(path, allowed string) {
	c.errs = append(c.errs, yamldoc.FieldError{Path: path, Problem: yamldoc.Missing, Allowed: allowed})
}

// Check returns every invalid field.
func (h Host) Check() yamldoc.FieldErrors {
	c := &checker{}
	c.name("name", h.Name, true)
	c.name("domain", h.Domain, true)
	c.name("region", h.Region, false)
	c.name("cell", h.Cell, true)
	c.addresses(h)
	for i, seed := range h.Seeds {
		c.address(fmt.Sprintf("seeds[%d]", i), seed)
	}
	c.platform(h.Platform)
	c.log(h.Log)
	c.tokens(h.Tokens)
	c.tls(h.TLS)
	c.limits(h.Limits)
	return c.errs
}

func (c *checker) name(path, name string, required bool) {
	switch {
	case name == "" && required:
		c.addMissing(path, allowedName)
	case name != "" && !namePattern.MatchString(name):
		c.addInvalid(path, name, allowedName)
	}
}

// addresses checks that all listen addresses are set and distinct, and that the
// peer address is one that other hosts can connect to.
func (c *checker) addresses(h Host) {
	seen := map[string]string{}
	for _, a := range []struct{ path, value string }{{"listen", h.Listen}, {"peer", h.Peer}, {"admin", h.Admin}} {
		if a.value == "" {
			c.addMissing(a.path, allowedAddress)
			continue
		}
		addr, ok := c.address(a.path, a.value)
		if !ok {
			continue
		}
		if a.path == "peer" && addr.Addr().IsUnspecified() {
			c.addInvalid(a.path, a.value, "an IP that other entry hosts can reach")
		}
		if first, twice := seen[a.value]; twice {
			c.errs = append(c.errs, yamldoc.FieldError{
				Path: a.path, Problem: yamldoc.Duplicate, Value: a.value, Allowed: "another address than " + first,
			})
		}
		seen[a.value] = a.path
	}
}

func (c *checker) address(path, value string) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 {
		c.addInvalid(path, value, allowedAddress)
		return addr, false
	}
	return addr, true
}

func (c *checker) platform(base string) {
	if base == "" {
		c.addMissing("platform", allowedURL)
		return
	}
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") || u.Path != "" || u.RawQuery != "" {
		c.addInvalid("platform", base, allowedURL)
	}
}

func (c *checker) log(l Log) {
	if l.Format != LogJSON && l.Format != LogConsole {
		c.addInvalid("log.format", l.Format, "json or console")
	}
	levels := []string{"debug", "info", "warn", "error"}
	if !slices.Contains(levels, l.Level) {
		c.addInvalid("log.level", l.Level, strings.Join(levels, ", "))
	}
}

func (c *checker) tokens(t Tokens) {
	seen := map[string]string{}
	c.roleTokens("tokens.read", t.Read, seen)
	c.roleTokens("tokens.write", t.Write, seen)
}

func (c *checker) roleTokens(role string, tokens []Token, seen map[string]string) {
	for i, t := range tokens {
		path := fmt.Sprintf("%s[%d]", role, i)
		c.name(path+".name", t.Name, true)
		if (t.Value == "") == (t.File == "") {
			c.errs = append(c.errs, yamldoc.FieldError{Path: path, Problem: yamldoc.Inconsistent, Allowed: "either value or file"})
		}
		if t.Value == "" {
			continue
		}
		// Tokens are secrets: errors contain their path, never their value.
		if len(t.Value) < minTokenBytes {
			c.errs = append(c.errs, yamldoc.FieldError{
				Path: path + ".value", Problem: yamldoc.Value, Allowed: fmt.Sprintf("at least %d bytes", minTokenBytes),
			})
		}
		if first, twice := seen[t.Value]; twice {
			c.errs = append(c.errs, yamldoc.FieldError{
				Path: path + ".value", Problem: yamldoc.Duplicate, Allowed: "another token than that of " + first,
			})
		}
		seen[t.Value] = path
	}
}

func (c *checker) tls(t *TLS) {
	if t == nil {
		return
	}
	for _, f := range []struct{ path, value string }{{"tls.cert", t.Cert}, {"tls.key", t.Key}, {"tls.ca", t.CA}} {
		if f.value == "" {
			c.addMissing(f.path, "the path of a PEM file")
		}
	}
}

func (c *checker) limits(l Limits) {
	c.count("limits.connections", l.Connections, 1, maxConnections)
	c.count("limits.header_bytes", l.HeaderBytes, minHeaderBytes, maxHeaderBytes)
	c.duration("limits.read_header_timeout", l.ReadHeaderTimeout)
	c.duration("limits.idle_timeout", l.IdleTimeout)
	c.duration("limits.stop_grace", l.StopGrace)
	c.duration("limits.drain_timeout", l.DrainTimeout)
}

func (c *checker) count(path string, v, low, high int) {
	if v < low || v > high {
		c.addInvalid(path, v, fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) duration(path string, v time.Duration) {
	if v < time.Millisecond || v > maxTimeout {
		c.addInvalid(path, v, fmt.Sprintf("%s to %s", time.Millisecond, maxTimeout))
	}
}

// loadTokens sets the value of each token that is given by file.
func (h *Host) loadTokens() error {
	for _, tokens := range [][]Token{h.Tokens.Read, h.Tokens.Write} {
		for i := range tokens {
			if tokens[i].File == "" {
				continue
			}
			data, err := os.ReadFile(tokens[i].File)
			if err != nil {
				return fault.Wrap(fault.BadSettings, err, "read the token of "+tokens[i].Name)
			}
			tokens[i].Value = strings.TrimRight(string(data), "\r\n")
			if len(tokens[i].Value) < minTokenBytes {
				return fault.Newf(fault.BadSettings, "the token file of %s holds fewer than %d bytes", tokens[i].Name, minTokenBytes)
			}
		}
	}
	return nil
}
