package assigner

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

const (
	modelHosts   = 3
	modelServers = 4
	modelKeys    = 32 // sample keys, evenly spaced
	modelStep    = 10 * time.Millisecond
	modelDrift   = 0.02 // largest relative error of a slow server clock
	modelService = "stock"
)

// sampleKey returns the i-th sample key.
func sampleKey(i int) keyrange.Key { return keyrange.Key(i * keyrange.KeyCount / modelKeys) }

// modelServer models a backend server as the platform documents it and as runs have
// shown it to behave.
type modelServer struct {
	holder    keyrange.Holder
	addr      string
	up        bool
	seen      [modelKeys]keyrange.Fence
	granted   [modelKeys]keyrange.Fence // highest token it was granted under
	heldUntil [modelKeys]time.Duration
}

func (s *modelServer) restart(started int64, now time.Duration) {
	*s = modelServer{holder: keyrange.Holder{ID: s.holder.ID, StartedMS: started}, addr: s.addr, up: true}
}

func covered(r keyrange.Range) []int {
	var out []int
	for i := range modelKeys {
		if r.Contains(sampleKey(i)) {
			out = append(out, i)
		}
	}
	return out
}

// modelHost is an entry host with its clock and its network partitions.
type modelHost struct {
	machine        *Machine
	name           string
	incarnation    int
	pausedUntil    time.Duration
	uncountedPause time.Duration // total time by which its clock lags when pauses are not counted
	storeCutUntil  time.Duration
	cutUntil       [modelServers]time.Duration
}

// event is a scheduled function call.
type event struct {
	at time.Duration
	do func()
}

type world struct {
	pick           func(n int) int
	now            time.Duration
	hosts          []*modelHost
	servers        []*modelServer
	records        []Record
	storeDownUntil time.Duration
	events         []event
	lastStart      int64
	leaving        []keyrange.Holder // processes that have answered that they leave
	omit           omissions
	ignorePauses   bool // clocks do not count pauses
	noFaults       bool // no faults, and hosts always learn the directory and the assigner
	err            error
	moves          int
	epochs         int
}

func newWorld(pick func(int) int, omit omissions, ignorePauses bool) *world {
	w := &world{pick: pick, omit: omit, ignorePauses: ignorePauses}
	for i := range modelServers {
		w.lastStart++
		id := fmt.Sprintf("s%d", i)
		w.servers = append(w.servers, &modelServer{holder: keyrange.Holder{ID: id, StartedMS: w.lastStart}, addr: id, up: true})
	}
	for i := range modelHosts {
		h := &modelHost{name: fmt.Sprintf("h%d", i)}
		w.hosts = append(w.hosts, h)
		w.start(h)
	}
	return w
}

func (w *world) start(h *modelHost) {
	h.incarnation++
	h.uncountedPause = 0
	h.machine = New(Config{
		Self:               Host{Name: h.name, Incarnation: fmt.Sprint(h.incarnation)},
		Lease:              400 * time.Millisecond,
		ConfirmEvery:       100 * time.Millisecond,
		SilenceBeforeClaim: 200 * time.Millisecond,
		RankDelay:          50 * time.Millisecond,
		Hold:               600 * time.Millisecond,
		HoldMax:            1500 * time.Millisecond,
		RenewEvery:         200 * time.Millisecond,
	}, w.clock(h))
	h.machine.omit = w.omit
}

func (w *world) clock(h *modelHost) time.Duration { return w.now - h.uncountedPause }

func (w *world) schedule(d time.Duration, f func()) {
	w.events = append(w.events, event{w.now + d, f})
}

func (w *world) chance(percent int) bool { return !w.noFaults && w.pick(100) < percent }

// delay returns the random transit time of one message.
func (w *world) delay() time.Duration { return time.Duration(w.pick(3)) * modelStep }

// run advances the world by one step.
func (w *world) run() {
	w.now += modelStep
	w.runEvents()
	w.injectFault()
	for _, h := range w.hosts {
		if w.now < h.pausedUntil {
			continue
		}
		w.informHost(h)
		h.machine.Tick(w.clock(h))
		for _, a := range h.machine.Ready() {
			w.execute(h, a)
		}
	}
	w.check()
}

func (w *world) runEvents() {
	sort.SliceStable(w.events, func(i, j int) bool { return w.events[i].at < w.events[j].at })
	for len(w.events) > 0 && w.events[0].at <= w.now {
		f := w.events[0].do
		w.events = w.events[1:]
		f()
	}
}

// injectFault injects a random fault in some of the steps.
func (w *world) injectFault() {
	if w.noFaults {
		return
	}
	h := w.hosts[w.pick(len(w.hosts))]
	s := w.pick(modelServers)
	long := time.Duration(5+w.pick(120)) * modelStep
	switch w.pick(400) {
	case 0, 1:
		h.pausedUntil = w.now + long
		if w.ignorePauses {
			h.uncountedPause += long
		}
	case 2, 3:
		h.storeCutUntil = w.now + long
	case 4:
		w.storeDownUntil = w.now + long
	case 5, 6, 7:
		h.cutUntil[s] = w.now + long
	case 8, 9:
		for _, other := range w.hosts {
			other.cutUntil[s] = w.now + long
		}
	case 10:
		w.start(h)
	case 11:
		for _, other := range w.hosts {
			w.start(other)
		}
	case 13:
		w.pauseBeyondHolds(h, s)
	case 12:
		w.lastStart++
		w.servers[s].restart(w.lastStart, w.now)
	case 14, 15:
		w.leaving = append(w.leaving, w.servers[s].holder)
	case 16, 17:
		w.reportFull(w.servers[s].holder, long)
	}
}

// reportFull tells the hosts that lead that a server is full.
func (w *world) reportFull(server keyrange.Holder, d time.Duration) {
	report := Report{Full: []FullServer{{Holder: server, ForMS: d.Milliseconds()}}}
	for _, h := range w.hosts {
		if w.now >= h.pausedUntil && h.machine.Leads(w.clock(h)) {
			h.machine.AddReport(w.clock(h), "other", report)
		}
	}
}

// pauseBeyondHolds pauses a host until every hold has ended, while the other hosts
// cannot reach a server. When pauses are not counted, the host resumes in the belief
// that its lease is valid.
func (w *world) pauseBeyondHolds(h *modelHost, s int) {
	long := 3*time.Second + time.Duration(w.pick(100))*modelStep
	h.pausedUntil = w.now + long
	if w.ignorePauses {
		h.uncountedPause += long
	}
	for _, other := range w.hosts {
		if other != h {
			other.cutUntil[s] = h.pausedUntil + time.Second
		}
	}
}

// informHost gives a host the directory, sometimes late, reports between it and the
// assigner, and some load.
func (w *world) informHost(h *modelHost) {
	if w.noFaults || w.chance(20) {
		h.machine.SetServers(w.clock(h), Servers{Snapshot: w.directory(), Sharded: []string{modelService}})
	}
	for _, other := range w.hosts {
		if other != h && w.now >= other.pausedUntil && other.machine.Leads(w.clock(other)) && (w.noFaults || w.chance(30)) {
			h.machine.HeardAssigner(w.clock(h), other.machine.Epoch())
			h.machine.LearnAssigner(w.clock(h), other.machine.Epoch(), other.machine.Assigner())
			other.machine.AddReport(w.clock(other), h.name, Report{})
		}
	}
	if w.chance(10) {
		hot := sampleKey(w.pick(modelKeys))
		r := Report{Keys: []KeyLoad{{Service: modelService, Key: hot, Count: 1 + w.pick(20)}}}
		h.machine.AddReport(w.clock(h), h.name, r)
	}
}

// directory returns the servers. Some are missing at random, as servers that are hard
// to reach may be, and some of the leaving ones read ready, as on a host that has not
// heard of it.
func (w *world) directory() *directory.Snapshot {
	out := &directory.Snapshot{Next: uint64(w.now)}
	for _, s := range w.servers {
		if w.chance(4) {
			continue
		}
		out.Servers = append(out.Servers, directory.Server{
			Holder: s.holder, Service: modelService, Address: s.addr, Slots: 3, State: directory.Ready,
		})
	}
	known, _ := directory.Leaving{}.With(out, w.leaving[:len(w.leaving)-w.unheard()])
	return out.WithLeaving(known)
}

// unheard returns the number of leaving servers that a host does not know yet.
func (w *world) unheard() int {
	if len(w.leaving) == 0 || !w.chance(20) {
		return 0
	}
	return w.pick(len(w.leaving))
}

func (w *world) reachesStore(h *modelHost) bool {
	return w.now >= w.storeDownUntil && w.now >= h.storeCutUntil
}

// answer delivers a result to the machine that made the call, unless it has been
// restarted since.
func (w *world) answer(h *modelHost, f func(m *Machine, now Time)) {
	machine, incarnation := h.machine, h.incarnation
	var deliver func()
	deliver = func() {
		if h.incarnation != incarnation {
			return
		}
		if w.now < h.pausedUntil {
			w.schedule(h.pausedUntil-w.now, deliver)
			return
		}
		f(machine, w.clock(h))
	}
	w.schedule(w.delay(), deliver)
}

func (w *world) execute(h *modelHost, a Action) {
	start := w.clock(h)
	switch a := a.(type) {
	case Load:
		w.schedule(w.delay(), func() { w.load(h, start) })
	case Confirm:
		w.schedule(w.delay(), func() { w.confirm(h, start) })
	case Append:
		w.schedule(w.delay(), func() { w.append(h, a, start) })
	case Grant:
		w.schedule(w.delay(), func() { w.grant(h, a) })
	case Release:
		w.schedule(w.delay(), func() { w.release(h, a) })
	}
}

func (w *world) load(h *modelHost, start Time) {
	e := Loaded{Result: StoreFailed, Start: start}
	if w.reachesStore(h) {
		e.Result, e.End = StoreOK, uint64(len(w.records))
		if n := len(w.records); n > 0 {
			rec := w.records[n-1]
			e.Record = &rec
		}
	}
	w.answer(h, func(m *Machine, now Time) { m.StepLoaded(now, e) })
}

func (w *world) confirm(h *modelHost, start Time) {
	e := Confirmed{Result: StoreFailed, Start: start, End: uint64(len(w.records))}
	if w.reachesStore(h) {
		e.Result = StoreOK
	}
	w.answer(h, func(m *Machine, now Time) { m.StepConfirmed(now, e) })
}

// append applies an append at once, late or not at all; its answer may be lost.
func (w *world) append(h *modelHost, a Append, start Time) {
	apply := func() bool {
		if uint64(len(w.records)) != a.At {
			return false
		}
		if n := len(w.records); n == 0 || w.records[n-1].Epoch != a.Record.Epoch {
			w.epochs++
		}
		w.checkOrder(a.Record)
		w.records = append(w.records, a.Record)
		w.moves++
		return true
	}
	e := Appended{Result: StoreInDoubt, Start: start}
	switch {
	case !w.reachesStore(h):
		if w.chance(30) {
			w.schedule(time.Duration(w.pick(200))*modelStep, func() { apply() })
		} else if w.chance(50) {
			e.Result = StoreFailed
		}
	case w.chance(6):
		w.schedule(time.Duration(w.pick(200))*modelStep, func() { apply() })
	default:
		done := apply()
		switch {
		case w.chance(6):
		case done:
			e.Result, e.End = StoreOK, uint64(len(w.records))
		default:
			e.Result = StoreConflict
		}
	}
	w.answer(h, func(m *Machine, now Time) { m.StepAppended(now, e) })
}

// checkOrder checks that epochs rise and that each has one assigner, or none after a
// resignation.
func (w *world) checkOrder(rec Record) {
	n := len(w.records)
	if n == 0 {
		return
	}
	last := w.records[n-1]
	resigned := rec.Assigner == Host{}
	if rec.Epoch < last.Epoch || rec.Epoch == last.Epoch && rec.Assigner != last.Assigner && !resigned {
		w.err = fmt.Errorf("epoch %d of %s recorded after epoch %d of %s", rec.Epoch, rec.Assigner.Name, last.Epoch, last.Assigner.Name)
	}
}

// server returns the server at an address if h can reach it.
func (w *world) server(h *modelHost, addr string) *modelServer {
	i := slices.IndexFunc(w.servers, func(s *modelServer) bool { return s.addr == addr })
	if i < 0 || !w.servers[i].up || w.now < h.cutUntil[i] {
		return nil
	}
	return w.servers[i]
}

func (w *world) grant(h *modelHost, a Grant) {
	e := Granted{Service: a.Service, Range: a.Range, Result: CallFailed}
	s := w.server(h, a.Address)
	switch {
	case s == nil:
		if w.chance(30) {
			e.Result = CallRefused
		}
	case w.chance(4): // carried out late; the hold counts from the arrival
		arrived, holder := w.now, s.holder
		w.schedule(time.Duration(w.pick(100))*modelStep, func() {
			if s.holder == holder {
				w.hold(s, a, arrived)
			}
		})
	case w.chance(10): // the server fails it and repeats its response to an earlier grant
		e.Attributed = a.Decisive && w.chance(80)
		if !e.Attributed {
			e.Result = CallOK
		}
	default:
		result := w.hold(s, a, w.now)
		if !w.chance(4) {
			e.Result = result
			e.Attributed = a.Decisive && w.chance(80)
		}
	}
	w.answer(h, func(m *Machine, now Time) { m.StepGranted(now, e) })
}

// hold applies a grant that arrived at the given time.
func (w *world) hold(s *modelServer, a Grant, arrived time.Duration) CallResult {
	keys := covered(a.Range)
	for _, k := range keys {
		if s.seen[k] > a.Range.Fence {
			return CallFenced
		}
	}
	slow := time.Duration(float64(a.Hold) * modelDrift * float64(w.pick(101)) / 100)
	for _, k := range keys {
		until := arrived + a.Hold + slow
		if until > w.now {
			w.checkFence(s, k, a.Range.Fence)
		}
		if a.Range.Fence > s.granted[k] {
			s.heldUntil[k] = until // a new token begins a new hold
		}
		s.seen[k], s.granted[k] = a.Range.Fence, a.Range.Fence
		s.heldUntil[k] = max(s.heldUntil[k], until)
	}
	return CallOK
}

func (w *world) checkFence(s *modelServer, k int, f keyrange.Fence) {
	for _, other := range w.servers {
		if other != s && other.granted[k] >= f && w.err == nil {
			w.err = fmt.Errorf("%v: %s takes key %d with token %d, %s had %d", w.now, s.holder.ID, k, f, other.holder.ID, other.granted[k])
		}
	}
}

func (w *world) release(h *modelHost, a Release) {
	e := Released{Service: a.Service, Range: a.Range, Holder: a.Holder, Result: CallFailed}
	s := w.server(h, a.Address)
	if s == nil {
		if w.chance(30) {
			e.Result = CallRefused
		}
	} else {
		for _, k := range covered(a.Range) {
			s.seen[k] = max(s.seen[k], a.Range.Fence)
			s.heldUntil[k] = min(s.heldUntil[k], w.now)
		}
		if !w.chance(5) {
			e.Result = CallOK
			e.Handover = "state"
		}
	}
	w.answer(h, func(m *Machine, now Time) { m.StepReleased(now, e) })
}

// check reports a violation when two servers hold the same key.
func (w *world) check() {
	for k := range modelKeys {
		var holding []string
		for _, s := range w.servers {
			if s.heldUntil[k] > w.now {
				holding = append(holding, s.holder.ID)
			}
		}
		if len(holding) > 1 && w.err == nil {
			w.err = fmt.Errorf("%v: servers %v hold key %d", w.now, holding, k)
		}
	}
}
