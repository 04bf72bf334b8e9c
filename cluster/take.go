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

// takeMap publishes a newer map. An older one is dropped: the view never goes back.
func (c *Cluster) takeMap(m *keyrange.Map) {
	old := c.View().Owners
	if old != nil && !old.Version.Less(m.Version) {
		return
	}
	if m.Base != nil {
		if old == nil || old.Version != *m.Base {
			return // the changes build on another map; the next answer tells more
		}
		m = old.Apply(m)
	}
	m.KeepGranted(old)
	c.stats.MapChanges.Inc(1)
	c.noteMap(m)
	c.views.change(func(v *View) { v.Owners = m })
}

func (c *Cluster) noteMap(m *keyrange.Map) {
	e := event.MapTaken{Epoch: m.Version.Epoch, Change: m.Version.Change}
	for _, t := range m.Tables {
		e.Ranges += len(t.Ranges)
		for _, r := range t.Ranges {
			if r.Granted {
				e.Granted++
			}
		}
	}
	c.write(e)
}

// takeServers publishes a directory that differs from the last one.
func (c *Cluster) takeServers(s *directory.Snapshot) {
	if old := c.View().Servers; old.Version != s.Version {
		c.logServers(old, s)
		c.views.change(func(v *View) { v.Servers = s })
	}
	c.tellMachine(s)
}

func (c *Cluster) tellMachine(s *directory.Snapshot) {
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

// takeConfig puts a newer configuration in force.
func (c *Cluster) takeConfig(data []byte) {
	table, err := c.store.DecodeConfig(data)
	if err != nil {
		c.write(event.ConfigUnusable{Error: err.Error()})
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
	c.write(event.ConfigInForce{Version: table.Version, Before: before, Routes: table.RouteCount})
	c.views.change(func(v *View) { v.Routes = table })
	c.tellMachine(c.View().Servers)
}

// knownHost is a registered host and the version of the list with which this host
// learnt of it.
type knownHost struct {
	assigner.Host
	at uint64
}

// hostsSince returns the hosts that a host with an earlier version of the list lacks.
// Versions are offsets of the store: whoever has one knows every registration below
// it, and none that was learnt with a version up to it lies above.
func (c *Cluster) hostsSince(version uint64) *hostlink.HostList {
	out := &hostlink.HostList{Version: c.hostsVersion}
	for _, h := range c.hosts {
		if h.at > version {
			out.Hosts = append(out.Hosts, h.Host)
		}
	}
	return out
}

// takeHosts adds registered hosts and sets the rank.
func (c *Cluster) takeHosts(hosts []assigner.Host, version uint64) {
	c.hostsVersion = max(c.hostsVersion, version)
	for _, h := range hosts {
		if c.hosts[h.Name].Host != h || c.hosts[h.Name].at == 0 {
			c.hosts[h.Name] = knownHost{Host: h, at: version}
		}
	}
	own := c.hosts[c.cfg.Self.Name]
	own.Host = c.cfg.Self
	c.hosts[c.cfg.Self.Name] = own
	c.machine.SetRank(c.rank())
	c.machine.SetHosts(len(c.hosts))
	n := len(c.hosts)
	if c.View().Hosts != n {
		c.write(event.HostsKnown{Hosts: n})
		c.views.change(func(v *View) { v.Hosts = n })
	}
}

// rank orders hosts by a hash of name and epoch, so that claims do not collide.
func (c *Cluster) rank() int {
	own := c.order(c.cfg.Self.Name)
	n := 0
	for name := range c.hosts {
		if c.order(name) < own {
			n++
		}
	}
	return n % ranks
}

func (c *Cluster) order(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "/" + strconv.FormatUint(c.machine.Epoch(), 10))) // never fails
	return h.Sum64()
}
