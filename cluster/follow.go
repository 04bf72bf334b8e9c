package cluster

import (
	"context"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/hostlink"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

const (
	// followPause is the pause after a question that failed or met a host that
	// does not lead.
	followPause = 100 * time.Millisecond
	// followLongest bounds that pause, which doubles.
	followLongest = 400 * time.Millisecond
	// seedsAfter is how long no assigner was heard before seeds are asked too.
	seedsAfter = 700 * time.Millisecond
	// maxReport bounds the entries of one report.
	maxReport = 2000
)

// AddLoad counts a request for a key.
func (c *Cluster) AddLoad(service string, key keyrange.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.report.Keys) < maxReport {
		c.report.Keys = append(c.report.Keys, assigner.KeyLoad{Service: service, Key: key, Count: 1})
	}
}

// AddTime notes how long a request took at a server.
func (c *Cluster) AddTime(server string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.report.Latencies) < maxReport {
		c.report.Latencies = append(c.report.Latencies, assigner.ServerLatency{ID: server, Millis: int(took.Milliseconds())})
	}
}

// AddRefused notes that a server refused a connection: its process may have ended.
func (c *Cluster) AddRefused(h keyrange.Holder) {
	c.mu.Lock()
	c.report.Refused = append(c.report.Refused, h)
	c.mu.Unlock()
	c.reportNow()
}

// reportNow sends what is to be reported without waiting for the question that
// is outstanding.
func (c *Cluster) reportNow() {
	select {
	case c.urgent <- struct{}{}:
	default: // a report is about to be sent
	}
}

// sendUrgent sends reports that cannot wait.
func (c *Cluster) sendUrgent() {
	for {
		select {
		case <-c.urgent:
		case <-c.ctx.Done():
			return
		}
		q := c.nextQuestion()
		q.body.Wait = 0
		if q.to.Peer != "" && !c.ask(q) {
			c.sleep(followPause)
		}
	}
}

func (c *Cluster) takeReport() assigner.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.report
	c.report = assigner.Report{}
	return out
}

// question is a question and where it goes. Host is empty when this host leads
// or knows no assigner.
type question struct {
	to   assigner.Host
	body hostlink.Question
}

// follow asks the assigner again and again; as the assigner it feeds its own
// reports to the machine.
func (c *Cluster) follow() {
	pause := followPause
	for c.ctx.Err() == nil {
		q := c.nextQuestion()
		if q.to.Peer != "" && c.ask(q) {
			pause = followPause
			continue
		}
		c.pause(pause)
		pause = min(2*pause, followLongest)
	}
}

// pause waits for d, or less when the follower is woken.
func (c *Cluster) pause(d time.Duration) { waitFor(c.ctx, c.relink, d) }

func (c *Cluster) nextQuestion() question {
	report := c.takeReport()
	q, _ := query(c.ctx, c, func() question { return c.questionWith(report) })
	return q
}

func (c *Cluster) questionWith(report assigner.Report) question {
	now := c.cfg.Clock()
	if c.machine.Leads(now) {
		c.machine.AddReport(now, c.cfg.Self.Name, report)
		return question{}
	}
	q := question{to: c.machine.Assigner()}
	if q.to.Name == c.cfg.Self.Name {
		q.to = assigner.Host{}
	}
	if c.machine.Silence(now) > seedsAfter {
		q.to = c.nextSeed(q.to)
	}
	v := c.View()
	q.body = hostlink.Question{
		From:    c.cfg.Self,
		Epoch:   c.machine.Epoch(),
		Servers: v.Servers.Version,
		Report:  report,
		Wait:    int(syncWait.Milliseconds()),
		Asked:   v.Asked,
		Hosts:   c.hostsVersion,
	}
	if v.Owners != nil {
		q.body.Map = v.Owners.Version
	}
	if v.Routes != nil {
		q.body.Config = v.Routes.Version
	}
	return q
}

// nextSeed returns in turn the assigner that is known and the seeds.
func (c *Cluster) nextSeed(known assigner.Host) assigner.Host {
	c.asked++
	n := c.asked % (len(c.cfg.Seeds) + 1)
	if n == len(c.cfg.Seeds) || c.cfg.Seeds[n] == c.cfg.Self.Peer {
		return known
	}
	return assigner.Host{Name: "seed", Peer: c.cfg.Seeds[n]}
}

// ask asks once and reports whether the assigner answered.
func (c *Cluster) ask(q question) bool {
	ctx, cancel := context.WithTimeout(c.ctx, syncTimeout)
	defer cancel()
	a, err := c.peers.Sync(ctx, q.to.Peer, &q.body)
	if err != nil {
		c.post(func() { c.noteSilent(q, err) })
		return false
	}
	c.post(func() { c.takeAnswer(a) })
	return a.Leads
}

func (c *Cluster) takeAnswer(a *hostlink.Answer) {
	now := c.cfg.Clock()
	if a.Leads {
		c.machine.HeardAssigner(now, a.Epoch)
		c.noteFollowed(now, a)
	}
	c.machine.LearnAssigner(now, a.Epoch, a.Assigner)
	if a.Abandoned {
		c.machine.EpochAbandoned(now, a.Epoch)
	}
	c.takeDirectory(a)
	if a.Hosts != nil && a.Hosts.Version > c.hostsVersion {
		c.takeHosts(a.Hosts.Hosts, a.Hosts.Version)
	}
	if a.Config != nil {
		c.takeConfig(a.Config)
	}
	if a.Map != nil {
		if m := a.Map.Unpack(); m != nil {
			c.takeMap(m)
		} else {
			c.write(event.MapInvalid{Epoch: a.Epoch})
		}
	}
	if a.Asked > c.View().Asked && a.Leads {
		c.views.change(func(v *View) { v.Asked = a.Asked })
		c.trySuspects(a.Suspects)
	}
}

// noteSilent notes that the assigner did not answer, once for each time that it
// falls silent.
func (c *Cluster) noteSilent(q question, err error) {
	if c.silent || c.ctx.Err() != nil {
		return
	}
	c.silent = true
	c.write(event.AssignerSilent{Assigner: q.to.Name, Epoch: q.body.Epoch, Error: err.Error()})
}

// noteFollowed notes that the assigner answered.
func (c *Cluster) noteFollowed(now time.Duration, a *hostlink.Answer) {
	if a.Epoch < c.followed {
		return
	}
	c.silent = false
	c.confirmed.Store(int64(now))
	if a.Epoch == c.followed {
		return
	}
	c.followed = a.Epoch
	c.write(event.AssignerFollowed{Assigner: a.Assigner.Name, Epoch: a.Epoch})
}

// takeDirectory takes a directory, or the changes to the one that is known.
func (c *Cluster) takeDirectory(a *hostlink.Answer) {
	if a.Servers != nil {
		c.takeServers(a.Servers)
	}
	if a.Changes == nil {
		return
	}
	if s := c.View().Servers.Apply(a.Changes); s != nil {
		c.takeServers(s)
	}
}
