package cluster

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// maxReportEntries bounds the keys, the latencies and the full servers in one report, each
// by itself.
const maxReportEntries = 2000

// AddLoad counts a request for a key in the next report.
func (c *Cluster) AddLoad(service string, key keyrange.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.report.Keys) < maxReportEntries {
		c.report.Keys = append(c.report.Keys, assigner.KeyLoad{Service: service, Key: key, Count: 1})
	}
}

// AddResponseTime adds the response time of a request at a server to the next report.
func (c *Cluster) AddResponseTime(server string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.report.Latencies) < maxReportEntries {
		c.report.Latencies = append(c.report.Latencies, assigner.ServerLatency{ID: server, Millis: int(took.Milliseconds())})
	}
}

// AddRejected reports that a server shed a request or closed its connection, which are
// signs of a full server.
func (c *Cluster) AddRejected(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.report.Rejected {
		if c.report.Rejected[i].ID == server {
			c.report.Rejected[i].Count++
			return
		}
	}
	c.report.Rejected = append(c.report.Rejected, assigner.ServerCount{ID: server, Count: 1})
}

// AddRefused reports that a server refused a connection, which may mean that its
// process has ended.
func (c *Cluster) AddRefused(h keyrange.Holder) {
	c.mu.Lock()
	c.report.Refused = append(c.report.Refused, h)
	c.mu.Unlock()
	c.reportNow()
}

// reportNow sends the report without waiting for the sync request in progress.
func (c *Cluster) reportNow() {
	select {
	case c.urgent <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// sendUrgent sends reports that must not wait for the next regular sync request.
func (c *Cluster) sendUrgent() {
	for {
		select {
		case <-c.urgent:
		case <-c.ctx.Done():
			return
		}
		q := c.nextSync()
		q.body.WaitMS = 0
		if q.to.Peer != "" && !c.sendSync(q) {
			c.sleep(followPause)
		}
	}
}

// takeReport returns the report collected so far and begins a new one.
func (c *Cluster) takeReport() assigner.Report {
	now := c.cfg.Clock() // before the lock, so that a host paused while reading the clock does not hold it
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.report
	out.Full = c.full.due(now, c.View().Servers)
	c.report = assigner.Report{}
	return out
}
