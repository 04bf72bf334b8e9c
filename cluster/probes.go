package cluster

import (
	"context"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// probeRoundBits is the number of low bits that count the probe rounds within one
	// epoch.
	probeRoundBits = 20
	// probeTimeout bounds the connection attempt of a probe.
	probeTimeout = 300 * time.Millisecond
)

// requestProbes starts a probe round: every host, this one included, probes the
// suspects.
func (c *Cluster) requestProbes(list []assigner.Suspect) {
	c.views.update(func(v *View) {
		v.Suspects = list
		v.ProbeRound = max(v.ProbeRound+1, c.machine.Epoch()<<probeRoundBits)
	})
	names := make([]string, 0, len(list))
	for _, s := range list {
		names = append(names, s.Holder.ID)
	}
	c.logEvent(event.ServersSuspected{Servers: names})
	c.probeSuspects(list)
}

// probeSuspects connects to each suspect and reports whether the connection was
// refused.
func (c *Cluster) probeSuspects(list []assigner.Suspect) {
	for _, s := range list {
		c.goWithTimeout(probeTimeout, func(ctx context.Context) {
			c.recordProbe(s, c.backends.Probe(ctx, s.Address))
		})
	}
}

// recordProbe adds the result of a probe to the report and sends it.
func (c *Cluster) recordProbe(s assigner.Suspect, err error) {
	c.mu.Lock()
	if fault.IsRefused(err) {
		c.report.Refused = append(c.report.Refused, s.Holder)
	} else {
		c.report.Reached = append(c.report.Reached, s.Holder)
	}
	c.mu.Unlock()
	c.logEvent(event.SuspectProbed{Server: s.Holder.ID, Address: s.Address, Refused: fault.IsRefused(err), Error: event.ErrorText(err)})
	c.reportNow()
}
