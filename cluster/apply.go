package cluster

import (
	"hash/fnv"
	"sort"
	"strconv"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/hostlink"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// applyMap publishes a newer owner map. An older one is dropped, so that the view
// never goes back.
func (c *Cluster) applyMap(m *keyrange.Map) {
	old := c.View().Owners
	if old != nil && !old.Version.Less(m.Version) {
		return
	}
	if m.Base != nil {
		if old == nil || old.Version != *m.Base {
			return // the changes have another base; a later response has the right base
		}
		m = old.Apply(m)
	}
	m.KeepGranted(old)
	c.stats.MapChanges.Inc(1)
	c.logMap(m)
	c.views.update(func(v *View) { v.Owners = m })
}

// logMap logs that requests are routed by a map.
func (c *Cluster) logMap(m *keyrange.Map) {
	e := event.MapApplied{Epoch: m.Version.Epoch, Change: m.Version.Change}
	for _, t := range m.Tables {
		e.Ranges += len(t.Ranges)
		for _, r := range t.Ranges {
			if r.Granted {
				e.Granted++
			}
		}
	}
	c.logEvent(e)
}

// applyServers publishes a directory if its version differs from the published one. What
// this host knows to be outdated in it is left out.
func (c *Cluster) applyServers(s *directory.Snapshot) {
	if old := c.directory; old.Version != s.Version {
		c.directory = s.After(old)
		c.publishServers()
	}
	c.updateMachineServers(c.View().Servers)
}

// updateMachineServers passes a directory and the names of the sharded services to the
// machine.
func (c *Cluster) updateMachineServers(s *directory.Snapshot) {
	var sharded []string
	if t := c.View().Routes; t != nil {
		for _, v := range t.Services {
			if v.Sharded {
				sharded = append(sharded, v.Name)
			}
		}
	}
	sort.Strings(sharded)
	c.machine.SetServers(c.cfg.Clock(), assigner.Servers{Snapshot: s, Sharded: sharded})
}

// applyAdmission publishes the limits on admission if they are newer.
func (c *Cluster) applyAdmission(a *assigner.Admission) {
	if old := c.View().Admission; old != nil && !old.Version.Less(a.Version) {
		return
	}
	e := event.AdmissionChanged{Epoch: a.Version.Epoch, Change: a.Version.Change, Lowest: 1}
	for _, l := range a.Limits {
		e.Keys = append(e.Keys, l.Service+"/"+strconv.Itoa(int(l.Key)))
		e.Lowest = min(e.Lowest, l.Share)
	}
	c.logEvent(e)
	c.views.update(func(v *View) { v.Admission = a })
}

// applyConfig publishes a newer configuration.
func (c *Cluster) applyConfig(data []byte) {
	table, err := c.store.DecodeConfig(data)
	if err != nil {
		c.logEvent(event.ConfigUnusable{Error: err.Error()})
		return
	}
	before := uint64(0)
	if old := c.View().Routes; old != nil {
		before = old.Version
	}
	if before != 0 && table.Version <= before {
		return
	}
	c.rawConfig = data
	c.logEvent(event.ConfigInForce{Version: table.Version, Before: before, Routes: table.RouteCount})
	c.views.update(func(v *View) { v.Routes = table })
	c.updateMachineServers(c.View().Servers)
}

// knownHost is a registered host and the version of the host list in which this host
// first saw the registration.
type knownHost struct {
	assigner.Host
	learntAt uint64
}

// hostsSince returns the hosts missing from an earlier version of the list. Versions
// are store offsets: a host with a version knows every registration below that offset,
// and a registration learnt with a lower or equal version does not lie above it.
func (c *Cluster) hostsSince(version uint64) *hostlink.HostList {
	out := &hostlink.HostList{Version: c.hostsVersion}
	for _, h := range c.hosts {
		if h.learntAt > version {
			out.Hosts = append(out.Hosts, h.Host)
		}
	}
	return out
}

// applyHosts adds registered hosts and updates this host's rank.
func (c *Cluster) applyHosts(hosts []assigner.Host, version uint64) {
	c.hostsVersion = max(c.hostsVersion, version)
	for _, h := range hosts {
		if c.hosts[h.Name].Host != h || c.hosts[h.Name].learntAt == 0 {
			c.hosts[h.Name] = knownHost{Host: h, learntAt: version}
		}
	}
	own := c.hosts[c.cfg.Self.Name]
	own.Host = c.cfg.Self
	c.hosts[c.cfg.Self.Name] = own
	c.machine.SetRank(c.rank())
	c.machine.SetHostCount(len(c.hosts))
	n := len(c.hosts)
	if c.View().Hosts != n {
		c.logEvent(event.HostCountChanged{Hosts: n})
		c.views.update(func(v *View) { v.Hosts = n })
	}
}

// rank returns this host's position in the order of a hash of name and epoch, so that
// claims do not collide.
func (c *Cluster) rank() int {
	own := c.rankHash(c.cfg.Self.Name)
	n := 0
	for name := range c.hosts {
		if c.rankHash(name) < own {
			n++
		}
	}
	return n % claimRanks
}

// rankHash returns the hash by which a host is ranked in the present epoch.
func (c *Cluster) rankHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "/" + strconv.FormatUint(c.machine.Epoch(), 10))) // never fails
	return h.Sum64()
}
