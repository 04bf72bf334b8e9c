package ownership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/planner"
)

const proposeStep = 10 * time.Millisecond

// proposers runs a set of machines over one stream in virtual time.
type proposers struct {
	t        *testing.T
	now      Instant
	machines []*Machine
	cut      map[int]bool // machines that neither send nor receive
	// onAppend decides whether and when an append succeeds; nil means at once.
	onAppend       func(host int, r Record) (delay time.Duration, ok bool)
	onQuery        func(q OutstandingQuery) // called for every outstanding query; may be nil
	delayedAppends []delayedRecord
	stream         [][]byte
	applied        []int // records applied, by machine
	proposed       []int // records proposed, by machine
	accepted       int
	void           int
}

type delayedRecord struct {
	at   Instant
	data []byte
}

func newProposers(t *testing.T, hosts int, specs ...ServiceSpec) *proposers {
	p := &proposers{t: t, cut: map[int]bool{}, applied: make([]int, hosts), proposed: make([]int, hosts)}
	for i := range hosts {
		m := NewMachine(testConfig(fmt.Sprintf("h%d", i)))
		m.SetServices(specs)
		p.machines = append(p.machines, m)
	}
	for _, m := range p.machines {
		p.stream = append(p.stream, encode(t, m.JoinRecord()))
	}
	return p
}

func (p *proposers) declare(specs ...ServiceSpec) {
	for _, m := range p.machines {
		m.SetServices(specs)
	}
}

func (p *proposers) run(d time.Duration) {
	for end := p.now + d; p.now < end; p.now += proposeStep {
		p.deliverAppends()
		for i, m := range p.machines {
			if p.cut[i] {
				continue
			}
			p.read(i)
			m.Tick(p.now)
			m.View()
			for _, q := range m.OutstandingQueries() {
				if p.onQuery != nil {
					p.onQuery(q)
				}
				m.ReportOutstanding(p.now, q, 0)
			}
			p.carryOut(i)
		}
	}
}

func (p *proposers) deliverAppends() {
	kept := p.delayedAppends[:0]
	for _, w := range p.delayedAppends {
		if w.at > p.now {
			kept = append(kept, w)
			continue
		}
		p.stream = append(p.stream, w.data)
	}
	p.delayedAppends = kept
}

func (p *proposers) read(i int) {
	for p.applied[i] < len(p.stream) {
		r, err := p.machines[i].ApplyRecord(p.now, Offset(p.applied[i]+1), p.stream[p.applied[i]])
		p.applied[i]++
		if i != 0 || r.Kind != AssignRecord {
			continue
		}
		if err != nil {
			p.void++
		} else {
			p.accepted++
		}
	}
}

func (p *proposers) carryOut(i int) {
	for _, action := range p.machines[i].Ready() {
		switch a := action.(type) {
		case Send:
			for j, peer := range p.machines {
				if peer.cfg.Self.ID == a.To.ID && !p.cut[j] {
					p.machines[i].HandleReply(p.now, peer.HandleConfirm(p.now, a.Msg))
				}
			}
		case Append:
			p.append(i, a.Record)
		}
	}
}

func (p *proposers) append(i int, r Record) {
	p.proposed[i]++
	delay, ok := time.Duration(0), true
	if p.onAppend != nil {
		delay, ok = p.onAppend(i, r)
	}
	if ok {
		p.delayedAppends = append(p.delayedAppends, delayedRecord{at: p.now + delay, data: encode(p.t, r)})
	}
}

// byRank returns the machines in the order of their rank for service.
func (p *proposers) byRank(service string) []int {
	p.run(proposeStep)
	out := make([]int, len(p.machines))
	for i, m := range p.machines {
		out[m.rank(service)] = i
	}
	return out
}

func (p *proposers) table(i int, service string) *Table { return p.machines[i].state.Tables[service] }

// owners returns the number of shards of each server.
func (p *proposers) owners(i int, service string) map[string]int {
	out := map[string]int{}
	for _, pl := range p.table(i, service).Shards {
		out[owner(pl)]++
	}
	return out
}

func testSpec(servers int) ServiceSpec {
	spec := ServiceSpec{
		Name: "s", Shards: 120, Successors: 2,
		Policy: planner.Policy{MaxImbalance: 1.15, MovesPerMinute: 10, MinRest: time.Minute, SlowStart: 10 * time.Second},
	}
	for i := range servers {
		spec.Servers = append(spec.Servers, planner.Server{ID: fmt.Sprintf("x%d", i), Domain: fmt.Sprintf("d%d", i%3)})
	}
	return spec
}

func TestTheFirstByRankProposes(t *testing.T) {
	p := newProposers(t, 5)
	order := p.byRank("s")
	p.declare(testSpec(6))
	p.run(4 * time.Second)
	require.NotNil(t, p.table(0, "s"))
	require.Equal(t, 1, p.accepted)
	require.Equal(t, 1, p.proposed[order[0]])
	require.Zero(t, p.proposed[order[1]])
	for i := range p.machines {
		require.Equal(t, p.table(0, "s").Shards, p.table(i, "s").Shards)
	}
}

func TestProposerIsLost(t *testing.T) {
	tests := []struct {
		name  string
		step  func(p *proposers, first int)
		most  time.Duration // until an assignment appears
		voids int
	}{
		{"before it proposes", func(p *proposers, first int) { p.cut[first] = true }, 2 * time.Second, 0},
		{"its append fails", func(p *proposers, first int) {
			p.onAppend = func(host int, _ Record) (time.Duration, bool) { return 0, host != first }
		}, 2 * time.Second, 0},
		{"it ends while its append is on its way", func(p *proposers, first int) {
			p.onAppend = func(host int, _ Record) (time.Duration, bool) {
				if host != first {
					return 0, true
				}
				p.cut[first] = true
				return 500 * time.Millisecond, true
			}
		}, time.Second, 0},
		{"its append is taken after the next one's", func(p *proposers, first int) {
			p.onAppend = func(host int, _ Record) (time.Duration, bool) {
				if host != first {
					return 0, true
				}
				p.cut[first] = true
				return 3 * time.Second, true
			}
		}, 2 * time.Second, 1},
		{"every append takes five seconds", func(p *proposers, _ int) {
			p.onAppend = func(int, Record) (time.Duration, bool) { return 5 * time.Second, true }
		}, 6 * time.Second, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newProposers(t, 5)
			first := p.byRank("s")[0]
			witness := p.byRank("s")[4]
			test.step(p, first)
			p.declare(testSpec(6))
			p.run(test.most)
			require.NotNil(t, p.table(witness, "s"))
			version := p.table(witness, "s").Version
			p.run(8 * time.Second)
			require.Equal(t, version, p.table(witness, "s").Version, "exactly one record is accepted")
			if witness == 0 || !p.cut[0] {
				require.LessOrEqual(t, p.void, test.voids)
			}
		})
	}
}

func TestRacingProposersAgree(t *testing.T) {
	p := newProposers(t, 5)
	p.byRank("s")
	p.onAppend = func(int, Record) (time.Duration, bool) { return 1500 * time.Millisecond, true }
	p.declare(testSpec(6))
	p.run(10 * time.Second)
	require.Equal(t, 1, p.accepted)
	require.Positive(t, p.void)
	for i := range p.machines {
		require.Equal(t, p.table(0, "s").Shards, p.table(i, "s").Shards)
	}
}

func TestNothingIsProposedWithoutAViewLease(t *testing.T) {
	p := newProposers(t, 5)
	p.byRank("s")
	p.run(time.Second)
	for i := range p.machines {
		p.cut[i] = i != 2
	}
	p.run(DefaultTTL + time.Second)
	p.declare(testSpec(6))
	p.run(20 * time.Second)
	require.Equal(t, make([]int, 5), p.proposed)
}

func TestDrainIsPlannedAtOnce(t *testing.T) {
	p := newProposers(t, 3, testSpec(6))
	p.run(3 * time.Second)
	drain := Record{ID: "d", Kind: DrainRecord, Drain: &Drain{Service: "s", Server: "x1"}}
	p.stream = append(p.stream, encode(t, drain))
	p.run(time.Second)
	require.Zero(t, p.owners(0, "s")["x1"])
	require.Equal(t, 2, p.accepted)
}

func TestJoiningServersAreGivenShardsWithinTheBudget(t *testing.T) {
	p := newProposers(t, 3, testSpec(4))
	p.run(2 * time.Minute)
	p.declare(testSpec(6))
	p.run(50 * time.Second)
	first := p.owners(0, "s")["x4"] + p.owners(0, "s")["x5"]
	require.Equal(t, 10, first)
	p.run(5 * time.Minute)
	for _, n := range p.owners(0, "s") {
		require.LessOrEqual(t, n, 23)
	}
	version := p.table(0, "s").Version
	p.run(5 * time.Minute)
	require.Equal(t, version, p.table(0, "s").Version, "the assignment is stable")
}

func (p *proposers) suspect(lost bool, server string, hosts ...int) {
	for _, i := range hosts {
		p.machines[i].SetSuspect(p.now, Suspect{Service: "s", Server: server}, lost)
	}
}

func TestLossIsRecordedWithFreshSuccessors(t *testing.T) {
	tests := []struct {
		name string
		lost []string
	}{
		{"one server", []string{"x2"}},
		{"two servers", []string{"x2", "x4"}},
		{"a failure domain", []string{"x0", "x3"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newProposers(t, 5, testSpec(6))
			p.run(2 * time.Second)
			before := p.table(0, "s")
			for _, s := range test.lost {
				p.suspect(true, s, 1, 3)
			}
			p.run(2 * time.Second)
			require.Equal(t, 2, p.accepted, "the loss is recorded by one record")
			after := p.table(0, "s")
			for i, pl := range after.Shards {
				old := before.Shards[i].Servers
				if !slices.Contains(test.lost, old[0]) {
					require.Equal(t, old[0], pl.Servers[0])
				} else {
					require.Contains(t, old[1:], pl.Servers[0])
				}
				require.Len(t, pl.Servers, 3)
				for _, s := range test.lost {
					require.NotContains(t, pl.Servers, s)
				}
			}
			for _, s := range test.lost {
				p.suspect(false, s, 1, 3)
			}
			needed := 0
			for _, n := range p.owners(0, "s") {
				needed += max(0, n-23)
			}
			p.run(10 * time.Minute)
			moved := 0
			for i, pl := range p.table(0, "s").Shards {
				if pl.Servers[0] != after.Shards[i].Servers[0] {
					moved++
				}
			}
			require.Equal(t, needed, moved, "the return moves no more shards than the allowed imbalance requires")
			for _, n := range p.owners(0, "s") {
				require.LessOrEqual(t, n, 23)
			}
		})
	}
}

func TestOneObserverMovesNothing(t *testing.T) {
	p := newProposers(t, 5, testSpec(6))
	p.run(2 * time.Second)
	p.suspect(true, "x2", 1)
	p.run(10 * time.Second)
	require.Equal(t, 1, p.accepted)
}

func TestFailoverIsRecordedAfterALogOutage(t *testing.T) {
	p := newProposers(t, 5, testSpec(6))
	p.run(2 * time.Second)
	before := p.table(0, "s")
	p.onAppend = func(int, Record) (time.Duration, bool) { return 0, false }
	p.suspect(true, "x2", 1, 3)
	p.run(10 * time.Second)
	p.suspect(false, "x2", 1, 3)
	p.run(20 * time.Second)
	require.Equal(t, 1, p.accepted)
	p.onAppend = nil
	p.run(maxRetryDelay + 5*rankDelay)
	require.Equal(t, 2, p.accepted)
	for i, pl := range p.table(0, "s").Shards {
		want := before.Shards[i].Servers[0]
		if want == "x2" {
			want = before.Shards[i].Servers[1]
		}
		require.Equal(t, want, pl.Servers[0], "the server that took over remains the owner")
	}
}

func TestLossDuringADrain(t *testing.T) {
	p := newProposers(t, 3, testSpec(6))
	p.run(3 * time.Second)
	p.onAppend = func(int, Record) (time.Duration, bool) { return time.Second, true }
	drain := Record{ID: "d", Kind: DrainRecord, Drain: &Drain{Service: "s", Server: "x1"}}
	p.stream = append(p.stream, encode(t, drain))
	p.run(500 * time.Millisecond)
	p.suspect(true, "x2", 0, 1)
	p.suspect(true, "x1", 0, 1)
	p.run(10 * time.Second)
	owners := p.owners(0, "s")
	require.Zero(t, owners["x1"]+owners["x2"])
	total := 0
	for _, n := range owners {
		total += n
	}
	require.Equal(t, 120, total)
}

func TestPinnedKeysFollowLossesAndDrains(t *testing.T) {
	tests := []struct {
		name string
		act  func(p *proposers)
	}{
		{"loss", func(p *proposers) { p.suspect(true, "x3", 0, 1) }},
		{"drain", func(p *proposers) {
			drain := Record{ID: "d", Kind: DrainRecord, Drain: &Drain{Service: "s", Server: "x3"}}
			p.stream = append(p.stream, encode(p.t, drain))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newProposers(t, 3, testSpec(6))
			p.run(2 * time.Second)
			key := keyOwnedBy(p.table(0, "s"), "x2")
			p.stream = append(p.stream, encode(t, Record{ID: "p", Kind: AssignRecord, Assign: &Assignments{
				Service: "s", Base: p.table(0, "s").Version, Shards: 120, Servers: []string{"x3", "x4"},
				Pins: []Pin{{Key: key, Owner: 0, Successors: []int{1}}},
			}}))
			p.run(2 * time.Second)
			pin := p.table(0, "s").Pins[key]
			require.Equal(t, "x3", pin.Servers[0])
			require.Len(t, pin.Servers, 3, "the pin gets a second successor")
			test.act(p)
			p.run(10 * time.Second)
			pin = p.table(0, "s").Pins[key]
			require.Equal(t, "x4", pin.Servers[0])
			require.Len(t, pin.Servers, 3)
			require.NotContains(t, pin.Servers, "x3")
			require.Zero(t, p.owners(0, "s")["x3"])
		})
	}
}

func TestUndeclaredServerLosesItsShards(t *testing.T) {
	p := newProposers(t, 3, testSpec(6))
	p.run(2 * time.Second)
	p.declare(testSpec(5))
	p.run(time.Second)
	require.Zero(t, p.owners(0, "s")["x5"])
}
