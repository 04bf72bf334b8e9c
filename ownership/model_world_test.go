package ownership

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/planner"
)

const (
	modelTTL    = 60 * time.Millisecond
	modelRound  = 20 * time.Millisecond
	modelMargin = 2 * time.Millisecond
	// modelDrift is the largest deviation of a clock's rate that the margin covers.
	modelDrift = 0.016
	modelOrder = 40 * time.Millisecond
)

// process is one process of an entry host in the model.
type process struct {
	m            *Machine
	rate         float64
	skew         time.Duration
	up           bool
	paused       time.Duration // the process does not run before this time
	logReachable bool
	read         int // number of log records read
	view         *View
	lastApplied  Offset
	sent         []outstanding
}

func (p *process) local(now time.Duration) Instant {
	return time.Duration(float64(now)*p.rate) + p.skew
}

// outstanding is a request that may still be running at a backend server.
type outstanding struct {
	service, key, server string
	shard                Shard
	token                Token
	grantEnds            time.Duration // when a server that checks grants starts to refuse it
	ends                 time.Duration
}

type simulatedMessage struct {
	at       time.Duration
	from, to *process
	ask      *Confirm
	answer   *ConfirmReply
}

// simulation models entry hosts with their clocks, network, log and requests.
type simulation struct {
	pick            func(n int) int // returns an integer from 0 to n-1
	now             time.Duration
	procs           []*process
	byID            map[MemberID]*process
	log             [][]byte
	delayedAppends  []delayedRecord
	messages        []simulatedMessage
	cut             map[[2]*process]bool
	config          walkConfig
	highest         map[[2]string]Route
	states          map[Offset]string
	nextID          int
	tokensUsed      int // number of tokens that came into use
	successions     int // number of these that came from a succession
	seatsHandedOver int
	err             error
}

var (
	modelServers  = []string{"a", "b", "c", "d"}
	modelServices = []string{"checked", "unchecked"}
	modelKeyNames = []string{"k0", "k1", "k2", "k3"}
	specs         = modelSpecs()
)

func modelSpecs() []ServiceSpec {
	var servers []planner.Server
	for _, id := range modelServers {
		servers = append(servers, planner.Server{ID: id, Domain: id})
	}
	policy := planner.Policy{MaxImbalance: 100}
	return []ServiceSpec{
		{Name: modelServices[0], Shards: 2, Successors: 2, Servers: servers, ChecksGrants: true, NonIdempotentTimeout: modelOrder, Policy: policy},
		{Name: modelServices[1], Shards: 2, Successors: 2, Servers: servers, NonIdempotentTimeout: modelOrder, Policy: policy},
	}
}

func newSimulation(pick func(n int) int, x walkConfig) *simulation {
	w := &simulation{
		pick:    pick,
		config:  x,
		byID:    map[MemberID]*process{},
		cut:     map[[2]*process]bool{},
		highest: map[[2]string]Route{},
		states:  map[Offset]string{},
	}
	for range 3 + pick(4) {
		p := w.start(fmt.Sprintf("h%d/1", w.nextID))
		w.append(p.m.JoinRecord())
		w.nextID++
	}
	for _, s := range specs {
		a := &Assignments{Service: s.Name, Shards: s.Shards, Servers: modelServers}
		for i := range s.Shards {
			a.Moves = append(a.Moves, Assignment{Shard: Shard(i), Owner: i, Successors: []int{i + 1, (i + 2) % 4}})
		}
		w.append(Record{ID: s.Name, Kind: AssignRecord, Assign: a})
	}
	for _, p := range w.procs {
		w.readLog(p, len(w.log))
	}
	return w
}

func (w *simulation) start(id string) *process {
	p := &process{
		rate:         1 - modelDrift + 2*modelDrift*float64(w.pick(5))/4,
		skew:         time.Duration(w.pick(1000)) * time.Millisecond,
		up:           true,
		logReachable: true,
	}
	p.m = w.machine(MemberID(id))
	w.procs = append(w.procs, p)
	w.byID[MemberID(id)] = p
	w.carryOut(p)
	return p
}

func (w *simulation) machine(id MemberID) *Machine {
	host, _, _ := strings.Cut(string(id), "/")
	self := Member{ID: id, Host: host, PeerAddr: host, Started: int64(len(w.procs) + 1)}
	m := NewMachine(Config{Self: self, TTL: modelTTL, Round: modelRound, Margin: modelMargin})
	m.SetServices(specs)
	if w.config.mutate != nil {
		w.config.mutate(&m.rules)
	}
	return m
}

func (w *simulation) append(r Record) {
	data, err := r.Encode()
	if err != nil {
		w.fail("encode: %v", err)
		return
	}
	w.log = append(w.log, data)
}

func (w *simulation) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("at %v: "+format, append([]any{w.now}, args...)...)
	}
}

// carryOut publishes the view, answers the outstanding queries and sends the messages, as
// the control loop does after each step.
func (w *simulation) carryOut(p *process) {
	p.view = p.m.View()
	for range 3 {
		queries := p.m.OutstandingQueries()
		if len(queries) == 0 {
			break
		}
		for _, q := range queries {
			p.m.ReportOutstanding(p.local(w.now), q, w.heldUntil(p, q))
		}
		p.view = p.m.View()
	}
	if p.view.Applied < p.lastApplied {
		w.fail("%s: applied offset decreased from %d to %d", p.view.Self, p.lastApplied, p.view.Applied)
	}
	p.lastApplied = p.view.Applied
	for _, action := range p.m.Ready() {
		if send, ok := action.(Send); ok {
			w.transmit(simulatedMessage{from: p, to: w.byID[send.To.ID], ask: &send.Msg})
		}
	}
}

func (w *simulation) heldUntil(p *process, q OutstandingQuery) Instant {
	var until Instant
	for _, o := range p.sent {
		ends := o.ends
		if q.GrantsOnly {
			ends = min(ends, o.grantEnds)
		}
		if o.service == q.Service && o.shard == q.Shard && o.token < q.Below && ends > w.now {
			until = max(until, p.local(ends)+1)
		}
	}
	return until
}

// transmit sends a message with a random delay, or loses it.
func (w *simulation) transmit(l simulatedMessage) {
	if l.to == nil || w.pick(12) == 0 {
		return
	}
	l.at = w.now + time.Duration(1+w.pick(6))*time.Millisecond
	if w.pick(15) == 0 {
		l.at += time.Duration(w.pick(100)) * time.Millisecond
	}
	w.messages = append(w.messages, l)
}

func (w *simulation) deliver() {
	var due []simulatedMessage
	kept := w.messages[:0:0]
	for _, l := range w.messages {
		if l.at > w.now || l.to.paused > w.now && l.to.up {
			kept = append(kept, l)
			continue
		}
		due = append(due, l)
	}
	w.messages = kept
	for _, l := range due {
		if !l.to.up || w.cut[[2]*process{l.from, l.to}] {
			continue
		}
		now := l.to.local(w.now)
		if l.ask != nil {
			reply := l.to.m.HandleConfirm(now, *l.ask)
			w.transmit(simulatedMessage{from: l.to, to: l.from, answer: &reply})
		} else {
			l.to.m.HandleReply(now, *l.answer)
		}
		w.carryOut(l.to)
	}
}

func (w *simulation) tick() {
	for _, r := range w.delayedAppends {
		if r.at <= w.now {
			w.log = append(w.log, r.data)
		}
	}
	kept := w.delayedAppends[:0]
	for _, r := range w.delayedAppends {
		if r.at > w.now {
			kept = append(kept, r)
		}
	}
	w.delayedAppends = kept
	for _, p := range w.procs {
		if p.up && p.paused <= w.now {
			p.m.Tick(p.local(w.now))
			w.carryOut(p)
		}
	}
}

func (w *simulation) readLog(p *process, n int) {
	for ; n > 0 && p.read < len(w.log); n-- {
		_, _ = p.m.ApplyRecord(p.local(w.now), Offset(p.read+1), w.log[p.read])
		p.read++
		w.checkState(p)
	}
	w.carryOut(p)
}

// checkState requires that every host has the same state at the same offset.
func (w *simulation) checkState(p *process) {
	at := p.m.State().Applied
	body, err := json.Marshal(p.m.State().body())
	if err != nil {
		w.fail("state: %v", err)
		return
	}
	if seen, ok := w.states[at]; ok && seen != string(body) {
		w.fail("%s has a different state at offset %d:\n%s\n%s", p.m.cfg.Self.ID, at, body, seen)
	}
	w.states[at] = string(body)
}

// check checks, over all views with a valid lease, that every key has one owner,
// that its token never decreases for another owner, and that no request for it may
// still be running at another server.
func (w *simulation) check() {
	for _, p := range w.procs {
		if !p.up || !p.view.MayRoute(p.local(w.now)) {
			continue
		}
		for _, s := range specs {
			for _, key := range modelKeyNames {
				w.checkKey(p, s, key)
			}
		}
	}
}

func (w *simulation) checkKey(p *process, s ServiceSpec, key string) {
	_, route, ok := p.view.Route(s.Name, key)
	if !ok || route.Held || route.Server == "" {
		return
	}
	at := [2]string{s.Name, key}
	top := w.highest[at]
	switch {
	case route.Token < top.Token && route.Server != top.Server:
		w.fail("%s may send %v to %s under token %v, but %s owns it under token %v", p.view.Self, at, route.Server, route.Token, top.Server, top.Token)
	case route.Token == top.Token && route.Server != top.Server:
		w.fail("%s may send %v to %s, but %s owns it under the same token %v", p.view.Self, at, route.Server, top.Server, top.Token)
	case route.Token > top.Token:
		w.highest[at] = route
		w.tokensUsed++
		if route.Token.Rank() > 0 {
			w.successions++
		}
	}
	w.checkOutstanding(p, s, key, route)
}

func (w *simulation) checkOutstanding(p *process, s ServiceSpec, key string, route Route) {
	_, pinned := p.view.Services[s.Name].Pins[key]
	for _, other := range w.procs {
		for _, o := range other.sent {
			if o.service != s.Name || o.key != key || o.server == route.Server || o.token >= route.Token {
				continue
			}
			ends := o.ends
			if s.ChecksGrants && !pinned {
				ends = min(ends, o.grantEnds)
			}
			if ends > w.now {
				w.fail("%s may send %v to %s, but a request from %s may run at %s until %v",
					p.view.Self, [2]string{s.Name, key}, route.Server, other.view.Self, o.server, ends)
			}
		}
	}
}
