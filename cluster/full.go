package cluster

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// fullReportInterval is the interval between reports of a server that stays full. A lost
// report, or a new assigner, costs no more than this.
const fullReportInterval = time.Second

// minFullExtension is by how much the end must move for a report at once: the same end,
// read from two clocks, differs slightly.
const minFullExtension = 100 * time.Millisecond

// fullServers are the servers that want no requests from this host for a while.
type fullServers map[keyrange.Holder]*fullServer

// fullServer is a server that is full. Times are those of the host's clock.
type fullServer struct {
	until      time.Duration
	reportedAt time.Duration // 0 if the present end has not been reported
}

// add records that a server is full until the given time.
func (f fullServers) add(h keyrange.Holder, until time.Duration) {
	v := f[h]
	if v == nil {
		v = &fullServer{}
		f[h] = v
	}
	if until-v.until >= minFullExtension {
		v.reportedAt = 0
	}
	v.until = max(v.until, until)
}

// due removes the servers that are no longer full or listed, and returns those to be
// reported now.
func (f fullServers) due(now time.Duration, s *directory.Snapshot) []assigner.FullServer {
	var out []assigner.FullServer
	for h, v := range f {
		left := (v.until - now).Milliseconds()
		if left <= 0 || !s.Lists(h) {
			delete(f, h)
			continue
		}
		if v.reportedAt != 0 && now-v.reportedAt < fullReportInterval || len(out) >= maxReportEntries {
			continue
		}
		v.reportedAt = now
		out = append(out, assigner.FullServer{Holder: h, ForMS: left})
	}
	return out
}

// AddFull reports that a backend server wants no requests from this host until then. Of
// servers that this host does not list, nothing is kept.
func (c *Cluster) AddFull(h keyrange.Holder, until time.Time) {
	if !c.View().Servers.Lists(h) {
		return
	}
	end := c.cfg.Clock() + min(time.Until(until), assigner.MaxFull)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.full.add(h, end)
}
