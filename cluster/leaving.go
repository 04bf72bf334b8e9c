package cluster

import (
	"slices"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/hostlink"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// maxLeaving bounds the servers that are known to leave at the same time.
const maxLeaving = 10_000

// leavingState is what this host knows of the listed servers that have answered that
// they leave. Every host keeps the whole set, so that the next assigner has it at once.
// Used only by the control goroutine.
type leavingState struct {
	known directory.Leaving
	// received is the list that another host sent last, receivedDigest its digest. What
	// it lacks is reported.
	received       []keyrange.Holder
	receivedDigest uint64
	// recorded is the list in the newest assignment record that this host has read. It is
	// kept until the entries are known, too.
	recorded []keyrange.Holder
}

// AddLeaving reports that a backend server answered that it leaves. Of servers that this
// host does not list, nothing is kept.
func (c *Cluster) AddLeaving(h keyrange.Holder) {
	v := c.View().Servers.Find(h.ID)
	if v == nil || v.Holder != h || v.Leaving {
		return
	}
	if c.queueLeaving(h) {
		c.reportNow()
	}
}

// queueLeaving adds a server to the next report, and reports whether it is new there.
func (c *Cluster) queueLeaving(h keyrange.Holder) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.report.Leaving, h) {
		return false
	}
	c.report.Leaving = append(c.report.Leaving, h)
	return true
}

// learnLeaving learns servers that leave from a host, and publishes them.
func (c *Cluster) learnLeaving(from string, holders []keyrange.Holder) {
	if !c.addLeaving(event.FromAnswers, from, holders) {
		return
	}
	c.publishServers()
	c.updateMachineServers(c.View().Servers)
}

// learnRecorded learns servers that leave from an assignment record, for hosts that start
// when no other host runs.
func (c *Cluster) learnRecorded(holders []keyrange.Holder) {
	c.leaving.recorded = holders[:min(len(holders), maxLeaving)]
	if len(holders) == 0 {
		return
	}
	c.publishServers()
	c.updateMachineServers(c.View().Servers)
}

// addLeaving adds those of the given servers that the directory lists to the known ones,
// and reports whether any is new.
func (c *Cluster) addLeaving(source event.LeavingSource, from string, holders []keyrange.Holder) bool {
	if len(holders) == 0 || len(c.leaving.known.Holders()) >= maxLeaving {
		return false
	}
	known, added := c.leaving.known.With(c.directory, holders[:min(len(holders), maxLeaving)])
	c.leaving.known = known
	c.stats.ServersLeaving.Inc(int64(len(added)))
	for _, h := range added {
		if v := c.directory.Find(h.ID); v.State == directory.Draining {
			continue // its entry has told so before
		}
		c.logEvent(event.ServerLeaving{Server: h.ID, Born: h.StartedMS, Source: source, From: from})
	}
	return len(added) > 0
}

// applyLeaving learns the servers that the responding host knows to leave.
func (c *Cluster) applyLeaving(a *hostlink.SyncResponse) {
	from := ""
	if a.Leads {
		from = a.Assigner.Name
	}
	c.leaving.received, c.leaving.receivedDigest = a.Leaving.Servers, a.Leaving.Digest
	c.learnLeaving(from, a.Leaving.Servers)
}

// untoldLeaving returns the known servers that the last received list lacks.
func (c *Cluster) untoldLeaving() []keyrange.Holder {
	return c.leaving.known.Missing(c.leaving.received)
}

// knownDigest returns the digest of the last received list. Before the first list it is
// that of an empty one.
func (c *Cluster) knownDigest() uint64 {
	if c.leaving.receivedDigest == 0 {
		return directory.Leaving{}.Digest()
	}
	return c.leaving.receivedDigest
}

// newLeavingList returns the known servers that leave, or nil if the requesting host has
// this list or is of a version that does not read it.
func (c *Cluster) newLeavingList(q *hostlink.SyncRequest) *hostlink.LeavingList {
	digest := c.leaving.known.Digest()
	if q.Leaving == 0 || q.Leaving == digest {
		return nil
	}
	return &hostlink.LeavingList{Digest: digest, Servers: c.leaving.known.Holders()}
}

// publishServers publishes the directory, in which the servers that are known to leave
// are draining, whatever their entries read.
func (c *Cluster) publishServers() {
	c.addLeaving(event.FromRecord, "", c.leaving.recorded)
	c.leaving.known = c.leaving.known.ListedIn(c.directory)
	s := c.directory.WithLeaving(c.leaving.known)
	c.logServers(c.View().Servers, s)
	c.views.update(func(v *View) { v.Servers = s })
}
