package cluster

import (
	"context"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/hostlink"
)

// Sync implements hostlink.Handler.
func (c *Cluster) Sync(ctx context.Context, q *hostlink.SyncRequest) (*hostlink.SyncResponse, error) {
	deadline := time.Now().Add(time.Duration(q.WaitMS) * time.Millisecond)
	for {
		view := c.View()
		a, err := c.respond(ctx, q)
		if err != nil {
			return nil, err
		}
		left := time.Until(deadline)
		if a.hasUpdates() || !a.Leads || left <= 0 {
			return a.SyncResponse, nil
		}
		q.Report = assigner.Report{}
		waitFor(ctx, view.Next, left)
	}
}

// response is an answer to a sync request. It is sent at once if it has updates, else
// when the request's wait is over.
type response struct{ *hostlink.SyncResponse }

// hasUpdates reports whether the response has what the requesting host waits for.
func (r response) hasUpdates() bool {
	servers := r.Servers != nil || r.Changes != nil || r.Leaving != nil
	routes := r.Map != nil || r.Config != nil || r.Admission != nil
	return servers || routes || r.Abandoned || r.ProbeRound != 0
}

// waitFor waits for d, or less if wake is signalled or ctx ends.
func waitFor(ctx context.Context, wake <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-wake:
	case <-t.C:
	case <-ctx.Done():
	}
}

// respond returns the present response to a sync request.
func (c *Cluster) respond(ctx context.Context, q *hostlink.SyncRequest) (response, error) {
	a, ok := query(ctx, c, func() (a *hostlink.SyncResponse) {
		c.contain("a sync request", func() { a = c.buildResponse(q) })
		return a
	})
	if !ok || a == nil {
		return response{}, fault.New(fault.PeerUnavailable, "sync request ended before it was answered")
	}
	return response{a}, nil
}

// buildResponse takes in the report of a sync request and returns the response to it.
func (c *Cluster) buildResponse(q *hostlink.SyncRequest) *hostlink.SyncResponse {
	now := c.cfg.Clock()
	leads := c.machine.Leads(now)
	c.learnLeaving(q.From.Name, q.Report.Leaving)
	if leads {
		c.machine.AddReport(now, q.From.Name, q.Report)
	}
	s := responseState{
		view:      c.View(),
		epoch:     c.machine.Epoch(),
		assigner:  c.machine.Assigner(),
		leads:     leads,
		abandoned: c.stopping || c.failingSince != 0 && now-c.failingSince > abandonAfter,
		hosts:     c.hostsVersion,
	}
	return c.responses.get(s, responseKeyOf(q), func() *hostlink.SyncResponse { return c.newResponse(s, q) })
}

// newResponse returns what this host has in state s that is newer than what the
// requesting host has.
func (c *Cluster) newResponse(s responseState, q *hostlink.SyncRequest) *hostlink.SyncResponse {
	a := &hostlink.SyncResponse{Epoch: s.epoch, Assigner: s.assigner, Leads: s.leads, Abandoned: s.abandoned, Compress: q.Compressed}
	v := s.view
	if v.Owners != nil && q.Map.Less(v.Owners.Version) {
		m := v.Owners
		if a.Leads {
			m = m.Since(q.Map)
		}
		a.Map = hostlink.PackMap(m)
	}
	addDirectory(a, c.directory, q)
	a.Leaving = c.newLeavingList(q)
	if s.hosts > q.Hosts {
		a.Hosts = c.hostsSince(q.Hosts)
	}
	if v.Routes != nil && v.Routes.Version > q.Config {
		a.Config = c.rawConfig
	}
	if a.Leads && v.Admission != nil && v.Admission.Version != q.Admission {
		a.Admission = v.Admission
	}
	if a.Leads && v.ProbeRound > q.ProbeRound {
		a.ProbeRound, a.Suspects = v.ProbeRound, v.Suspects
	}
	return a
}

// addDirectory adds the changes to the directory that the requesting host has from
// this assigner, or the whole directory. A host that is not the assigner sends its
// directory only to a host that has none.
func addDirectory(a *hostlink.SyncResponse, v *directory.Snapshot, q *hostlink.SyncRequest) {
	switch {
	case v.Version == q.Servers || len(v.Servers) == 0:
	case !a.Leads && q.Servers != (directory.Version{}):
	default:
		if a.Changes = v.Since(q.Servers); a.Changes == nil {
			a.Servers = v
		}
	}
}
