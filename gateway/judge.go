package gateway

import (
	"net/http"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/eligibility"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// headerRetryAfter is the standard header by which a full server asks for a pause.
const headerRetryAfter = "Retry-After"

// view returns the current view. Its directory is part of the judgements.
func (g *Gateway) view() *cluster.View {
	v, changes := g.standings.follow(g.control)
	g.applyChanges(changes)
	return v
}

// observe applies what the head of an answer says about its server.
//
// An answer that says that the server does not own the key counts as well. It may be from
// another process at the server's address, but then the server itself has ended.
func (g *Gateway) observe(h keyrange.Holder, status int, header http.Header) {
	leaving, err := eligibility.ParseLeaving(header.Values(g.cfg.Headers.Leaving))
	if err != nil {
		g.recordUnreadable(h, g.cfg.Headers.Leaving, err)
	}
	signal := eligibility.Signal{Leaving: leaving}
	if status == http.StatusServiceUnavailable {
		d, err := eligibility.ParseRetryAfter(header.Values(headerRetryAfter), header.Get("Date"), time.Now())
		if err != nil {
			g.recordUnreadable(h, headerRetryAfter, err)
		}
		signal.RetryAfter = d
	}
	if signal == (eligibility.Signal{}) {
		return
	}
	g.applyChanges(g.standings.answered(h, signal))
}

// applyChanges acts on changed judgements: it logs them, tells the assigner of those that
// it cannot know, and places the requests that wait for the server anew.
func (g *Gateway) applyChanges(changes []eligibility.Change) {
	for _, c := range changes {
		g.recordStanding(c)
		if c.Phase == eligibility.Ended {
			continue
		}
		g.reportStanding(c)
		if s := g.servers.find(c.Holder); s != nil {
			s.limiter.evict(&ineligible{c.Holder.ID, eligibility.Verdict{Standing: c.Standing, Until: c.Until}})
			if c.Standing == eligibility.Leaving {
				s.conns.Close()
			}
		}
	}
	if len(changes) > 0 {
		g.updateStandingGauges()
	}
}

// reportStanding tells the assigner of a judgement from an answer.
func (g *Gateway) reportStanding(c eligibility.Change) {
	switch {
	case c.Source != eligibility.FromAnswer:
	case c.Standing == eligibility.Leaving:
		g.control.AddLeaving(c.Holder)
	case c.Standing == eligibility.Full:
		g.control.AddFull(c.Holder, c.Until)
	}
}

// sweepStandings ends the judgements whose time is over, and reports again what may not
// have reached the assigner.
func (g *Gateway) sweepStandings() {
	g.view()
	g.applyChanges(g.standings.expire())
	for _, h := range g.standings.unnoticed(time.Now()) {
		g.control.AddLeaving(h)
	}
	g.updateStandingGauges()
}

// updateStandingGauges sets the gauges of the servers that leave and that are full.
func (g *Gateway) updateStandingGauges() {
	leaving, full := g.standings.count()
	metrics.GetOrRegisterGauge("servers_leaving", g.Metrics.Registry).Update(int64(leaving))
	metrics.GetOrRegisterGauge("servers_full", g.Metrics.Registry).Update(int64(full))
}

// recordStanding logs and counts the begin or the end of a judgement.
func (g *Gateway) recordStanding(c eligibility.Change) {
	until := c.Until.UTC().Format(time.RFC3339Nano)
	switch c.Phase {
	case eligibility.Begun:
		g.Metrics.count("server_" + string(c.Standing) + "." + string(c.Source))
		g.writeEvent(event.StandingBegun{Server: c.Holder.ID, StartedMS: c.Holder.StartedMS, Standing: string(c.Standing), Source: string(c.Source), Until: until})
	case eligibility.Ended:
		g.writeEvent(event.StandingEnded{Server: c.Holder.ID, StartedMS: c.Holder.StartedMS, Standing: string(c.Standing), Source: string(c.Source), Until: until, AfterMS: event.Millis(time.Since(c.Since))})
	}
}

// recordUnreadable logs an unreadable header, once for each server.
func (g *Gateway) recordUnreadable(h keyrange.Holder, header string, err error) {
	g.Metrics.count("header_unreadable." + header)
	if g.standings.reportUnreadable(h) {
		g.writeEvent(event.HeaderUnreadable{Server: h.ID, StartedMS: h.StartedMS, Header: header, Error: err.Error()})
	}
}
