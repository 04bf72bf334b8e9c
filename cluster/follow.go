package cluster

import (
	"context"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/hostlink"
)

const (
	// followPause is the first pause after a sync request that failed or was answered
	// by a host that is not the assigner.
	followPause = 100 * time.Millisecond
	// maxFollowPause bounds that pause, which doubles on each retry.
	maxFollowPause = 400 * time.Millisecond
	// seedsAfterSilence is how long the assigner must be silent before seeds are
	// contacted too.
	seedsAfterSilence = 700 * time.Millisecond
)

// outgoingSync is a sync request and its destination. The destination is empty if this
// host leads or knows no assigner.
type outgoingSync struct {
	to   assigner.Host
	body hostlink.SyncRequest
}

// follow sends sync requests to the assigner in a loop. On the host that is the
// assigner it passes the host's own reports to the machine.
func (c *Cluster) follow() {
	pause := followPause
	for c.ctx.Err() == nil {
		q := c.nextSync()
		if q.to.Peer != "" && c.sendSync(q) {
			pause = followPause
			continue
		}
		c.pauseFollower(pause)
		pause = min(2*pause, maxFollowPause)
	}
}

// pauseFollower waits for d, or less if wakeFollower is called.
func (c *Cluster) pauseFollower(d time.Duration) { waitFor(c.ctx, c.followerWake, d) }

// nextSync returns a sync request that carries the report collected so far.
func (c *Cluster) nextSync() outgoingSync {
	report := c.takeReport()
	q, _ := query(c.ctx, c, func() outgoingSync { return c.buildSync(report) })
	return q
}

// buildSync returns a sync request with a report, or passes the report to the machine on
// the host that is the assigner.
func (c *Cluster) buildSync(report assigner.Report) outgoingSync {
	now := c.cfg.Clock()
	c.learnLeaving(c.cfg.Self.Name, report.Leaving)
	if c.machine.Leads(now) {
		c.machine.AddReport(now, c.cfg.Self.Name, report)
		return outgoingSync{}
	}
	report.Leaving = c.untoldLeaving()
	return outgoingSync{to: c.syncTarget(now), body: c.syncRequest(report)}
}

// syncTarget returns the host to send the next sync request to.
func (c *Cluster) syncTarget(now time.Duration) assigner.Host {
	to := c.machine.Assigner()
	if to.Name == c.cfg.Self.Name {
		to = assigner.Host{}
	}
	if c.machine.Silence(now) > seedsAfterSilence {
		return c.nextSeed(to)
	}
	return to
}

// syncRequest returns a request for what is newer than the state of this host.
func (c *Cluster) syncRequest(report assigner.Report) hostlink.SyncRequest {
	v := c.View()
	q := hostlink.SyncRequest{
		From:       c.cfg.Self,
		Epoch:      c.machine.Epoch(),
		Servers:    v.Servers.Version,
		Report:     report,
		WaitMS:     int(syncWait.Milliseconds()),
		ProbeRound: v.ProbeRound,
		Hosts:      c.hostsVersion,
		Leaving:    c.knownDigest(),
		Compressed: true,
	}
	if v.Owners != nil {
		q.Map = v.Owners.Version
	}
	if v.Admission != nil {
		q.Admission = v.Admission.Version
	}
	if v.Routes != nil {
		q.Config = v.Routes.Version
	}
	return q
}

// nextSeed returns the known assigner and the seeds in rotation.
func (c *Cluster) nextSeed(known assigner.Host) assigner.Host {
	c.seedTurn++
	n := c.seedTurn % (len(c.cfg.Seeds) + 1)
	if n == len(c.cfg.Seeds) || c.cfg.Seeds[n] == c.cfg.Self.Peer {
		return known
	}
	return assigner.Host{Name: "seed", Peer: c.cfg.Seeds[n]}
}

// sendSync sends one sync request and reports whether the assigner answered it.
func (c *Cluster) sendSync(q outgoingSync) bool {
	limit := syncTimeout + syncTimeoutPerHost*time.Duration(c.View().Hosts)
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	a, err := c.peers.Sync(ctx, q.to.Peer, &q.body)
	if err != nil {
		if fault.KindOf(err) == fault.BadMessage {
			c.RecordBadMessage(err)
		}
		c.post(func() { c.recordAssignerSilent(q, err) })
		return false
	}
	c.post(func() { c.contain("a sync response", func() { c.applyResponse(a) }) })
	return a.Leads
}

// applyResponse applies what another host has that is newer.
func (c *Cluster) applyResponse(a *hostlink.SyncResponse) {
	c.learnAssigner(c.cfg.Clock(), a)
	c.applyDirectory(a)
	if a.Leaving != nil {
		c.applyLeaving(a)
	}
	if a.Hosts != nil && a.Hosts.Version > c.hostsVersion {
		c.applyHosts(a.Hosts.Hosts, a.Hosts.Version)
	}
	if a.Config != nil {
		c.applyConfig(a.Config)
	}
	c.applyPackedMap(a)
	if a.Admission != nil && a.Leads {
		c.applyAdmission(a.Admission)
	}
	if a.ProbeRound > c.View().ProbeRound && a.Leads {
		c.views.update(func(v *View) { v.ProbeRound = a.ProbeRound })
		c.probeSuspects(a.Suspects)
	}
}

// learnAssigner tells the machine what a response says of the assigner.
func (c *Cluster) learnAssigner(now time.Duration, a *hostlink.SyncResponse) {
	if a.Leads {
		c.machine.HeardAssigner(now, a.Epoch)
		c.recordAssignerHeard(now, a)
	}
	c.machine.LearnAssigner(now, a.Epoch, a.Assigner)
	if a.Abandoned {
		c.machine.EpochAbandoned(now, a.Epoch)
	}
}

// applyPackedMap applies the map of a response, if it has one.
func (c *Cluster) applyPackedMap(a *hostlink.SyncResponse) {
	if a.Map == nil {
		return
	}
	m := a.Map.Unpack()
	if m == nil {
		c.logEvent(event.MapInvalid{Epoch: a.Epoch})
		return
	}
	c.applyMap(m)
}

// recordAssignerSilent logs that the assigner did not answer, once per period of
// silence.
func (c *Cluster) recordAssignerSilent(q outgoingSync, err error) {
	if c.assignerSilent || c.ctx.Err() != nil {
		return
	}
	c.assignerSilent = true
	c.logEvent(event.AssignerSilent{Assigner: q.to.Name, Epoch: q.body.Epoch, Error: err.Error()})
}

// recordAssignerHeard updates the time of the last confirmation and logs a change of
// assigner.
func (c *Cluster) recordAssignerHeard(now time.Duration, a *hostlink.SyncResponse) {
	if a.Epoch < c.followedEpoch {
		return
	}
	c.assignerSilent = false
	c.confirmed.Store(int64(now))
	if a.Epoch == c.followedEpoch {
		return
	}
	c.followedEpoch = a.Epoch
	c.logEvent(event.AssignerFollowed{Assigner: a.Assigner.Name, Epoch: a.Epoch})
}

// applyDirectory applies a directory, or the changes to the known one.
func (c *Cluster) applyDirectory(a *hostlink.SyncResponse) {
	if a.Servers != nil {
		c.applyServers(a.Servers)
	}
	if a.Changes == nil {
		return
	}
	if s := c.directory.Apply(a.Changes); s != nil {
		c.applyServers(s)
	}
}
