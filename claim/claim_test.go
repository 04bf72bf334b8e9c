package claim

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "5")
		_ = flag.Set("rapid.checks", "2000")
	}
	os.Exit(m.Run())
}

var testID = ID{Service: "stock", Order: "o"}

func testRequest(attempt string) Request {
	return Request{ID: testID, Fingerprint: 1, Attempt: attempt, MaxRunTime: time.Second, Window: time.Minute}
}

func TestSecondClaimLearnsTheFirstOnesOutcome(t *testing.T) {
	now := time.Now()
	answer := &Answer{Status: 200, Header: http.Header{"X": {"1"}}, Body: []byte("ok")}
	cases := []struct {
		name    string
		settle  fault.Outcome
		answer  *Answer
		after   time.Duration
		content uint64
		want    State
	}{
		{"in progress", "", nil, 0, 1, InProgress},
		{"never settled", "", nil, 2 * time.Second, 1, Unknown},
		{"answered", fault.Answered, answer, 2 * time.Second, 1, Answered},
		{"unknown", fault.Unknown, nil, 0, 1, Unknown},
		{"not run", fault.NotRun, nil, 0, 1, Granted},
		{"other content", fault.Answered, answer, 0, 2, Mismatch},
		{"window over", fault.Answered, answer, 2 * time.Minute, 1, Granted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			require.Equal(t, Granted, table.Claim(now, testRequest("a")).State)
			require.Equal(t, Granted, table.Claim(now, testRequest("a")).State, "repeated claim")
			if c.settle != "" {
				table.Settle(Settlement{ID: testID, Attempt: "b", Outcome: fault.NotRun})
				table.Settle(Settlement{ID: testID, Attempt: "a", Outcome: c.settle, Answer: c.answer})
			}
			r := testRequest("c")
			r.Fingerprint = c.content
			v := table.Claim(now.Add(c.after), r)
			require.Equal(t, c.want, v.State)
			if c.want == Answered {
				require.Equal(t, c.answer, v.Answer)
			}
		})
	}
}

func TestTableIsBounded(t *testing.T) {
	now := time.Now()
	table := NewTable()
	big := &Answer{Status: 200, Body: make([]byte, MaxAnswerBytes)}
	for i := range maxEntries + 10 {
		r := testRequest("a")
		r.Order = fmt.Sprint(i)
		state := table.Claim(now, r).State
		if (i >= maxEntries) != (state == Full) {
			t.Fatalf("claim %d: state %d", i, state)
		}
		table.Settle(Settlement{ID: r.ID, Attempt: "a", Outcome: fault.Answered, Answer: big})
		if table.bytes > maxBytes {
			t.Fatalf("%d bytes", table.bytes)
		}
	}
	r := testRequest("b")
	r.Order = "0"
	require.Equal(t, Answered, table.Claim(now, r).State, "an entry within its window stays")
	r.Order = "new"
	require.Equal(t, Granted, table.Claim(now.Add(2*time.Minute), r).State)
}

// network is a Transport between the tables of a test's members. Calls to a
// member that is down fail; calls with a lost answer take effect and fail.
type network struct {
	tables map[string]*Table
	down   map[string]bool
	lose   func() bool
}

var errLost = errors.New("lost")

func (n *network) Claim(_ context.Context, addr string, r Request) (Verdict, error) {
	if n.down[addr] {
		return Verdict{}, errLost
	}
	v := n.tables[addr].Claim(time.Now(), r)
	if n.lose() {
		return Verdict{}, errLost
	}
	return v, nil
}

func (n *network) Settle(_ context.Context, addr string, s Settlement) error {
	if n.down[addr] || n.lose() {
		return errLost
	}
	n.tables[addr].Settle(s)
	return nil
}

// order is one attempt at an order that a caller makes through one host.
type order struct {
	host    int
	attempt string
	ticket  Ticket
}

// claimModel models hosts with tables, callers that resend the same few orders
// whatever the outcome, and the number of times that each order was executed.
type claimModel struct {
	members      []ownership.Member
	unresponsive [][]ownership.MemberID // for each host, the members that it has not heard from recently
	net          *network
	hosts        []*Coordinator
	inFlight     []order
	runs         map[string]int
	notRun       map[string]bool // attempts whose outcome was NotRun
	ran          map[string]bool // attempts that were executed
	next         int
}

const modelHosts = 5

func newClaimModel(lose func() bool) *claimModel {
	c := &claimModel{
		net:    &network{tables: map[string]*Table{}, down: map[string]bool{}, lose: lose},
		runs:   map[string]int{},
		notRun: map[string]bool{},
		ran:    map[string]bool{},
	}
	for i := range modelHosts {
		c.join(fmt.Sprintf("host-%d", i))
	}
	return c
}

func (c *claimModel) join(name string) {
	m := ownership.Member{ID: ownership.MemberID(name), PeerAddr: name}
	c.net.tables[name] = NewTable()
	c.members = append(c.members, m)
	c.unresponsive = append(c.unresponsive, nil)
	host := NewCoordinator(m.ID, c.net.tables[name], c.net)
	host.sequential = true
	c.hosts = append(c.hosts, host)
}

// view returns a host's view of the members.
func (c *claimModel) view(host int) *ownership.View {
	return &ownership.View{Members: c.members, Unresponsive: c.unresponsive[host]}
}

// begin starts an attempt at an order. It ends at once unless its claim is granted.
func (c *claimModel) begin(host int, id string) {
	c.next++
	attempt := fmt.Sprintf("attempt-%d", c.next)
	r := Request{ID: ID{Service: "s", Order: id}, Attempt: attempt, MaxRunTime: time.Hour, Window: time.Hour}
	ticket, verdict, err := c.hosts[host].Claim(context.Background(), c.view(host), r)
	switch {
	case err != nil:
		c.hosts[host].Settle(ticket, fault.NotRun, nil)
		c.notRun[attempt] = true
	case verdict.State == Granted:
		c.inFlight = append(c.inFlight, order{host: host, attempt: attempt, ticket: ticket})
	}
}

// end ends the attempt i with the outcome that the caller is told. ran is whether
// the order was executed.
func (c *claimModel) end(i int, outcome fault.Outcome, ran bool) {
	o := c.inFlight[i]
	c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
	if ran {
		c.runs[o.ticket.Request.Order]++
		c.ran[o.attempt] = true
	}
	if outcome == fault.NotRun {
		c.notRun[o.attempt] = true
	}
	c.hosts[o.host].Settle(o.ticket, outcome, nil)
}

func (c *claimModel) check(t *rapid.T) {
	for id, runs := range c.runs {
		if runs > 1 {
			t.Fatalf("order %s ran %d times", id, runs)
		}
	}
	for attempt := range c.ran {
		if c.notRun[attempt] {
			t.Fatalf("attempt %s was executed, but its outcome was NotRun", attempt)
		}
	}
}

// TestOrdersWithAnIdRunAtMostOnce guards against duplicate execution: it makes
// random attempts at a few orders through random hosts, while replies between
// hosts are lost and one host fails.
func TestOrdersWithAnIdRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lossy := rapid.Bool().Draw(t, "lossy")
		c := newClaimModel(func() bool { return lossy && rapid.IntRange(0, 9).Draw(t, "lost") == 0 })
		host := rapid.IntRange(0, modelHosts-1)
		lost := false
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "order")
				c.begin(host.Draw(t, "host"), id)
			},
			"end": func(t *rapid.T) {
				if len(c.inFlight) == 0 {
					t.Skip("nothing in flight")
				}
				i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "attempt")
				outcome := rapid.SampledFrom([]fault.Outcome{fault.Answered, fault.Unknown, fault.NotRun}).Draw(t, "outcome")
				ran := outcome == fault.Answered || outcome == fault.Unknown && rapid.Bool().Draw(t, "ran")
				c.end(i, outcome, ran)
			},
			"stop hearing": func(t *rapid.T) {
				i, j := host.Draw(t, "host"), host.Draw(t, "peer")
				c.unresponsive[i] = nil
				if i != j {
					c.unresponsive[i] = []ownership.MemberID{ownership.MemberID(fmt.Sprintf("host-%d", j))}
				}
			},
			"lose a host": func(t *rapid.T) {
				if lost {
					t.Skip("one host was lost")
				}
				lost = true
				name := string(c.members[host.Draw(t, "host")].ID)
				c.net.down[name] = true
				if rapid.Bool().Draw(t, "removed") {
					c.members = without(c.members, name)
				}
			},
			"": c.check,
		})
	})
}

// replace stops a member and starts another in its place. The others copy their
// claims after the stop and again after the join.
func (c *claimModel) replace(i int, name string) {
	before := slices.Clone(c.members)
	old := string(c.members[i].ID)
	c.net.down[old] = true
	c.members = without(c.members, old)
	c.rebalance(before)
	before = slices.Clone(c.members)
	c.join(name)
	c.rebalance(before)
}

func (c *claimModel) rebalance(before []ownership.Member) {
	for _, h := range c.hosts {
		if !c.net.down[string(h.self)] {
			h.Rebalance(context.Background(), before, c.members)
		}
	}
}

// TestClaimsOutliveTheReplacementOfEveryMember guards against claims being lost in
// a rolling replacement: it replaces all members one by one, with claims in each
// state, and retries every order after each replacement.
func TestClaimsOutliveTheReplacementOfEveryMember(t *testing.T) {
	c := newClaimModel(func() bool { return false })
	const orders = 50
	for i := range orders {
		c.begin(i%modelHosts, fmt.Sprint(i))
	}
	require.Len(t, c.inFlight, orders)
	for i := range orders - 10 {
		outcome := fault.Answered
		if i%2 == 0 {
			outcome = fault.Unknown
		}
		c.end(0, outcome, true)
	}
	for n := range 2 * modelHosts {
		c.replace(0, fmt.Sprintf("new-%d", n))
		for i := range orders {
			c.begin(len(c.hosts)-1, fmt.Sprint(i))
		}
		require.Len(t, c.inFlight, 10, "a claimed order was granted a second time")
	}
}

func without(members []ownership.Member, name string) []ownership.Member {
	var out []ownership.Member
	for _, m := range members {
		if string(m.ID) != name {
			out = append(out, m)
		}
	}
	return out
}

func TestOneMemberJoiningOrLeavingKeepsAQuorum(t *testing.T) {
	c := newClaimModel(func() bool { return false })
	for i := range 500 {
		id := ID{Service: "s", Order: fmt.Sprint(i)}
		full := Rank(c.members, id)
		for _, m := range c.members {
			fewer := Rank(without(c.members, string(m.ID)), id)
			kept := 0
			for _, x := range fewer {
				if slices.Contains(full, x) {
					kept++
				}
			}
			require.GreaterOrEqual(t, kept, Quorum)
		}
	}
}

func TestOrdersAreClaimedWhileOneCandidateIsSilent(t *testing.T) {
	c := newClaimModel(func() bool { return false })
	id := ID{Service: "s", Order: "a"}
	gone := Rank(c.members, id)[0]
	c.net.down[gone.PeerAddr] = true
	r := Request{ID: id, Attempt: "1", MaxRunTime: time.Hour, Window: time.Hour}
	host := 0
	if c.members[host].ID == gone.ID {
		host = 1
	}

	_, _, err := c.hosts[host].Claim(t.Context(), c.view(host), r)
	require.Equal(t, fault.NoClaim, fault.KindOf(err), "the silent candidate may still be up")

	c.unresponsive[host] = []ownership.MemberID{gone.ID}
	_, verdict, err := c.hosts[host].Claim(t.Context(), c.view(host), r)
	require.NoError(t, err)
	require.Equal(t, Granted, verdict.State)

	c.unresponsive[host] = append(c.unresponsive[host], Rank(c.members, id)[1].ID)
	r.Attempt = "2"
	_, _, err = c.hosts[host].Claim(t.Context(), c.view(host), r)
	require.Equal(t, fault.NoClaim, fault.KindOf(err), "two of three are silent")
}
