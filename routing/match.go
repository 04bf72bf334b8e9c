package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/lacewingsaddle/lacewingsaddle/backend"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

// target is one service with its profile and servers from the catalog, and the
// state that routing keeps for it.
type target struct {
	service profile.Service
	profile profile.Profile
	servers []*backend.Server
	byID    map[string]*backend.Server
	budget  *retryBudget
	queue   *waitQueue
	latency *latencyQuantile // of lookups, for hedging
}

// matcher finds the service of a path. It is built once per catalog.
type matcher struct {
	catalog *profile.Catalog
	targets []*target // longest path prefix first, then by name
}

// newMatcher builds the matcher of a catalog. Services that old has too keep
// their retry budgets, queues and latencies.
func newMatcher(catalog *profile.Catalog, backends *backend.Set, old *matcher) *matcher {
	m := &matcher{catalog: catalog}
	for name, s := range catalog.Services {
		p, ok := catalog.ProfileOf(name)
		if !ok {
			continue
		}
		m.targets = append(m.targets, newTarget(s.Value, p, backends, old.find(name)))
	}
	slices.SortFunc(m.targets, func(a, b *target) int {
		byLength := cmp.Compare(len(b.service.PathPrefix), len(a.service.PathPrefix))
		return cmp.Or(byLength, strings.Compare(a.service.Name, b.service.Name))
	})
	return m
}

func newTarget(s profile.Service, p profile.Profile, backends *backend.Set, old *target) *target {
	t := &target{service: s, profile: p, byID: map[string]*backend.Server{}}
	t.servers = backends.Servers(s, p)
	for _, server := range t.servers {
		t.byID[server.Spec.ID] = server
	}
	if old != nil {
		t.budget, t.queue, t.latency = old.budget, old.queue, old.latency
	} else {
		t.budget, t.queue, t.latency = &retryBudget{}, &waitQueue{}, &latencyQuantile{}
	}
	return t
}

func (m *matcher) find(service string) *target {
	if m == nil {
		return nil
	}
	for _, t := range m.targets {
		if t.service.Name == service {
			return t
		}
	}
	return nil
}

// match returns the service with the longest matching path prefix and the escaped
// path after the prefix.
func (m *matcher) match(path string) (t *target, rest string, ok bool) {
	for _, t := range m.targets {
		if rest, ok := cutPathPrefix(path, t.service.PathPrefix); ok {
			return t, rest, true
		}
	}
	return nil, "", false
}

// cutPathPrefix returns path without prefix. ok is false unless prefix ends where
// a segment of path ends.
func cutPathPrefix(path, prefix string) (rest string, ok bool) {
	rest, ok = strings.CutPrefix(path, prefix)
	if !ok {
		return "", false
	}
	atSegmentEnd := rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/") || prefix == ""
	return rest, atSegmentEnd
}

// rule returns the first rule that matches a method and the path after the prefix.
func (t *target) rule(method, rest string) (*profile.Rule, bool) {
	for i := range t.profile.Rules {
		rule := &t.profile.Rules[i]
		if !strings.HasPrefix(rest, rule.PathPrefix) {
			continue
		}
		if len(rule.Methods) == 0 || slices.Contains(rule.Methods, method) {
			return rule, true
		}
	}
	return nil, false
}
