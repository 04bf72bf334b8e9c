package profile

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Bounds of a document's values. Every host must accept and void the same
// records, so changing a bound needs a new record version.
const (
	maxShards         = 65536
	maxSuccessors     = 8
	maxTimeout        = 10 * time.Minute
	maxWindow         = 24 * time.Hour
	maxSlots          = 10000
	maxConnections    = 100000
	maxQueue          = 1000000
	maxBytes          = 64 << 20
	maxAttempts       = 10
	maxImbalance      = 10.0
	minImbalance      = 1.0
	maxMoves          = 1000000
	maxPins           = 10000
	maxServers        = 1000
	maxRules          = 100
	minFailover       = 50 * time.Millisecond
	minHealthInterval = 50 * time.Millisecond
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const allowedName = "1 to 63 of a-z, 0-9, dot, hyphen and underscore, beginning with a letter or digit"

// checker collects the invalid fields of one document.
type checker struct{ errs FieldErrors }

func (c *checker) add(path string, problem Problem, value any, allowed string) {
	c.errs = append(c.errs, FieldError{Path: path, Problem: problem, Value: fmt.Sprint(value), Allowed: allowed})
}

func (c *checker) missing(path, allowed string) {
	c.errs = append(c.errs, FieldError{Path: path, Problem: ProblemMissing, Allowed: allowed})
}

func (c *checker) name(path, name string) {
	switch {
	case name == "":
		c.missing(path, allowedName)
	case !namePattern.MatchString(name):
		c.add(path, ProblemValue, name, allowedName)
	}
}

func (c *checker) count(path string, v, low, high int) {
	if v < low || v > high {
		c.add(path, ProblemValue, v, fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) ratio(path string, v, low, high float64) {
	if !(v >= low && v <= high) {
		c.add(path, ProblemValue, v, fmt.Sprintf("%g to %g", low, high))
	}
}

func (c *checker) duration(path string, v, low, high time.Duration) {
	if v < low || v > high {
		c.add(path, ProblemValue, v, fmt.Sprintf("%s to %s", low, high))
	}
}

// Check returns every invalid field of the profile.
func (p Profile) Check() FieldErrors {
	c := &checker{}
	c.name("name", p.Name)
	c.key(p.Key)
	c.rules(p.Rules)
	c.limits(p.Limits)
	c.ratio("retry.budget", p.Retry.Budget, 0, 1)
	c.count("retry.attempts", p.Retry.Attempts, 1, maxAttempts)
	c.duplicates(p)
	c.ownership(p.Ownership)
	c.health(p.Health)
	return c.errs
}

func (c *checker) key(k *Key) {
	if k == nil {
		return
	}
	switch k.From {
	case KeyFromPath:
		c.count("key.segment", k.Segment, 1, 64)
		if k.Name != "" {
			c.add("key.name", ProblemInconsistent, k.Name, "no name when the key comes from the path")
		}
	case KeyFromHeader, KeyFromQuery, KeyFromBody:
		if k.Name == "" {
			c.missing("key.name", "the name of the header, query parameter or JSON field")
		}
		if k.Segment != 0 {
			c.add("key.segment", ProblemInconsistent, k.Segment, "a segment only when the key comes from the path")
		}
	case "":
		c.missing("key.from", "path, header, query or body")
	default:
		c.add("key.from", ProblemValue, k.From, "path, header, query or body")
	}
}

func (c *checker) rules(rules []Rule) {
	if len(rules) == 0 {
		c.missing("rules", "at least one rule")
	}
	if len(rules) > maxRules {
		c.count("rules", len(rules), 1, maxRules)
		return
	}
	for i, r := range rules {
		c.rule(fmt.Sprintf("rules[%d].", i), r)
	}
}

func (c *checker) rule(path string, r Rule) {
	methods := []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	for i, m := range r.Methods {
		if !slices.Contains(methods, m) {
			c.add(fmt.Sprintf("%smethods[%d]", path, i), ProblemValue, m, strings.Join(methods, ", "))
		}
	}
	if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
		c.add(path+"path_prefix", ProblemValue, r.PathPrefix, "a path that begins with /")
	}
	if r.Timeout == 0 {
		c.missing(path+"timeout", "a time of 1ms to 10m")
	} else {
		c.duration(path+"timeout", r.Timeout, time.Millisecond, maxTimeout)
	}
	c.ruleKind(path, r)
}

func (c *checker) ruleKind(path string, r Rule) {
	switch r.Kind {
	case Lookup:
		if !r.Idempotent {
			c.add(path+"idempotent", ProblemInconsistent, r.Idempotent, "true for a lookup; a request that must not be repeated is an order")
		}
		return
	case Order, Upload:
	case "":
		c.missing(path+"kind", "lookup, order or upload")
		return
	default:
		c.add(path+"kind", ProblemValue, r.Kind, "lookup, order or upload")
		return
	}
	if r.Hedge {
		c.add(path+"hedge", ProblemInconsistent, r.Hedge, "hedging only for a lookup")
	}
	if r.StaleAllowed {
		c.add(path+"stale_allowed", ProblemInconsistent, r.StaleAllowed, "stale answers only for a lookup")
	}
	if r.Kind == Upload && r.Idempotent {
		c.add(path+"idempotent", ProblemInconsistent, r.Idempotent, "false for an upload, whose body cannot be sent twice")
	}
}

func (c *checker) limits(l Limits) {
	c.count("limits.slots", l.Slots, 1, maxSlots)
	c.count("limits.connections", l.Connections, 1, maxConnections)
	c.count("limits.queue", l.Queue, 0, maxQueue)
	c.count("limits.answer_bytes", l.AnswerBytes, 1, maxBytes)
	c.count("limits.body_bytes", l.BodyBytes, 1, maxBytes)
	if l.Connections > 0 && l.Slots > l.Connections {
		c.add("limits.slots", ProblemInconsistent, l.Slots, fmt.Sprintf("at most limits.connections, which is %d", l.Connections))
	}
}

func (c *checker) duplicates(p Profile) {
	d := p.Duplicates
	if d.Fallback != ClaimRefuse && d.Fallback != ClaimSend {
		c.add("duplicates.fallback", ProblemValue, d.Fallback, "refuse or send")
	}
	c.duration("duplicates.window", d.Window, 0, maxWindow)
	for i, r := range p.Rules {
		if r.Kind == Order && d.Window < r.Timeout {
			c.add("duplicates.window", ProblemInconsistent, d.Window,
				fmt.Sprintf("at least rules[%d].timeout, which is %s", i, r.Timeout))
			return
		}
	}
}

func (c *checker) ownership(o Ownership) {
	c.count("ownership.shards", o.Shards, 1, maxShards)
	c.duration("ownership.failover_after", o.FailoverAfter, minFailover, maxTimeout)
	c.ratio("ownership.max_imbalance", o.MaxImbalance, minImbalance, maxImbalance)
	c.count("ownership.moves_per_minute", o.MovesPerMinute, 0, maxMoves)
	c.duration("ownership.min_rest", o.MinRest, 0, maxWindow)
	c.count("ownership.successors", o.Successors, 0, maxSuccessors)
	c.duration("ownership.slow_start", o.SlowStart, 0, maxWindow)
	c.count("ownership.max_pins", o.MaxPins, 0, maxPins)
}

func (c *checker) health(h Health) {
	if !strings.HasPrefix(h.Path, "/") {
		c.add("health.path", ProblemValue, h.Path, "a path that begins with /")
	}
	c.duration("health.interval", h.Interval, minHealthInterval, maxTimeout)
	c.duration("health.timeout", h.Timeout, time.Millisecond, maxTimeout)
	if h.Timeout > h.Interval {
		c.add("health.timeout", ProblemInconsistent, h.Timeout, fmt.Sprintf("at most health.interval, which is %s", h.Interval))
	}
}

// Check returns every invalid field of the service.
func (s Service) Check() FieldErrors {
	c := &checker{}
	c.name("name", s.Name)
	c.name("profile", s.Profile)
	switch {
	case s.PathPrefix == "":
		c.missing("path_prefix", "a path that begins with /")
	case !strings.HasPrefix(s.PathPrefix, "/"):
		c.add("path_prefix", ProblemValue, s.PathPrefix, "a path that begins with /")
	}
	if len(s.Servers) == 0 {
		c.missing("servers", "at least one backend server")
	}
	if len(s.Servers) > maxServers {
		c.count("servers", len(s.Servers), 1, maxServers)
		return c.errs
	}
	ids, addresses := map[string]int{}, map[string]int{}
	for i, server := range s.Servers {
		path := fmt.Sprintf("servers[%d].", i)
		c.server(path, server)
		c.unique(path+"id", server.ID, i, ids)
		c.unique(path+"address", server.Address, i, addresses)
	}
	return c.errs
}

func (c *checker) server(path string, s Server) {
	c.name(path+"id", s.ID)
	c.name(path+"domain", s.Domain)
	const allowed = "an IP and a port, such as 10.1.0.7:8080"
	if s.Address == "" {
		c.missing(path+"address", allowed)
		return
	}
	addr, err := netip.ParseAddrPort(s.Address)
	if err != nil || addr.Port() == 0 {
		c.add(path+"address", ProblemValue, s.Address, allowed)
	}
}

func (c *checker) unique(path, value string, index int, seen map[string]int) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		c.add(path, ProblemDuplicate, value, fmt.Sprintf("a value that servers[%d] does not have", first))
		return
	}
	seen[value] = index
}
