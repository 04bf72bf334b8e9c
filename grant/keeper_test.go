package grant

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/lacewingsaddle/lacewingsaddle/control"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testTTL   = 490 * time.Millisecond
	testRound = 250 * time.Millisecond
	delay     = 5 * time.Millisecond
)

// fakeSource is a control state in virtual time. While renewLease is set, each
// snapshot has a lease that was renewed at the start of the round.
type fakeSource struct {
	mu         sync.Mutex
	start      time.Time
	view       ownership.View
	catalog    *profile.Catalog
	renewLease bool
}

func newSource(self string, servers ...string) *fakeSource {
	p := profile.Default("p")
	p.Key = &profile.Key{From: profile.KeyFromHeader, Name: "K"}
	svc := profile.Service{Name: "s", Profile: "p", ChecksGrants: true}
	for _, id := range servers {
		svc.Servers = append(svc.Servers, profile.Server{ID: id, Address: id})
	}
	c := profile.NewCatalog()
	c.Profiles["p"] = profile.Versioned[profile.Profile]{Version: 1, Value: p}
	c.Services["s"] = profile.Versioned[profile.Service]{Version: 2, Value: svc}
	f := &fakeSource{start: time.Now(), catalog: c, renewLease: true}
	f.view = ownership.View{Self: ownership.MemberID(self), Member: true, Active: 1, Applied: 1}
	return f
}

func (f *fakeSource) Now() ownership.Instant { return time.Since(f.start) + time.Second }

func (f *fakeSource) Snapshot() *control.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.renewLease {
		round := f.Now().Truncate(testRound)
		f.view.LeaseUntil = round + testTTL
	}
	v := f.view
	return &control.Snapshot{View: &v, Catalog: f.catalog}
}

// route assigns the shards, in order, to the named servers under tokens of active.
func (f *fakeSource) route(active ownership.Offset, owners ...string) {
	f.routeRank(active, 0, owners...)
}

// routeRank routes under tokens of a succession rank. A "held" shard is one that is
// being moved away from x.
func (f *fakeSource) routeRank(active ownership.Offset, rank int, owners ...string) {
	f.change(func(v *ownership.View) {
		sv := &ownership.ServiceView{}
		for _, o := range owners {
			r := ownership.Route{Server: o, Token: ownership.MakeToken(active, rank)}
			if o == "held" {
				r.Server, r.Held = "x", true
			}
			sv.Routes = append(sv.Routes, r)
		}
		v.Active, v.Applied = active, active
		v.Services = map[string]*ownership.ServiceView{"s": sv}
	})
}

func (f *fakeSource) change(c func(v *ownership.View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c(&f.view)
}

// fakeServer handles grants according to the protocol, in virtual time.
type fakeServer struct {
	epoch       uint64
	until       time.Time
	shards      map[ownership.Shard]ownership.Token
	fullBodies  int // full grants received
	messages    int
	loseAnswers bool // it handles messages but its answers are lost
	down        bool // it does not handle messages
}

type fakeNet struct {
	mu      sync.Mutex
	servers map[string]*fakeServer
}

func newNet(ids ...string) *fakeNet {
	n := &fakeNet{servers: map[string]*fakeServer{}}
	for _, id := range ids {
		n.servers[id] = &fakeServer{}
	}
	return n
}

// withServer runs f on a server's state under the lock.
func (n *fakeNet) withServer(id string, f func(s *fakeServer)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.servers[id])
}

// holds returns the tokens under which the server may run requests now.
func (n *fakeNet) holds(id string) map[ownership.Shard]ownership.Token {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.servers[id]
	if !time.Now().Before(s.until) {
		return nil
	}
	return s.shards
}

func (n *fakeNet) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(delay)
	body, _ := io.ReadAll(r.Body)
	n.mu.Lock()
	s := n.servers[r.URL.Host]
	down, lost := s.down, s.loseAnswers
	status, reason := http.StatusOK, ""
	if !down {
		status, reason = s.handle(body)
	}
	n.mu.Unlock()
	if down || lost {
		<-r.Context().Done()
		return nil, errors.New("no answer")
	}
	time.Sleep(delay)
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(`{"error":"` + reason + `"}`))}, nil
}

func (s *fakeServer) handle(body []byte) (int, string) {
	var in struct {
		Epoch  uint64       `json:"epoch"`
		TTLMS  int64        `json:"ttl_ms"`
		Shards []ShardToken `json:"shards"`
	}
	_ = json.Unmarshal(body, &in)
	s.messages++
	if in.Epoch < s.epoch {
		return http.StatusConflict, "stale-epoch"
	}
	if in.Shards == nil && (in.Epoch != s.epoch || !time.Now().Before(s.until)) {
		return http.StatusPreconditionFailed, "unknown-epoch"
	}
	if in.Shards != nil {
		s.fullBodies++
		s.shards = map[ownership.Shard]ownership.Token{}
		for _, g := range in.Shards {
			s.shards[g.Shard] = g.Token
		}
	}
	s.epoch = in.Epoch
	s.until = time.Now().Add(time.Duration(in.TTLMS) * time.Millisecond)
	return http.StatusOK, ""
}

func TestFullGrantIsSentOnceAndThenRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src, net := newSource("a", "x", "y"), newNet("x", "y")
		src.route(5, "x", "y", "held", "x")
		k := New(src, net)
		k.Start()
		time.Sleep(100 * time.Millisecond)
		token := ownership.MakeToken(5, 0)
		require.Equal(t, map[ownership.Shard]ownership.Token{0: token, 3: token}, net.holds("x"))
		require.Equal(t, map[ownership.Shard]ownership.Token{1: token}, net.holds("y"))
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			require.Len(t, net.holds("x"), 2, "the grant must not lapse")
		}
		net.withServer("x", func(s *fakeServer) {
			require.Equal(t, 1, s.fullBodies)
			require.LessOrEqual(t, s.messages, 1+10*4+4)
		})
		k.Stop()
	})
}

func TestGrantsEndWithTheViewLease(t *testing.T) {
	for _, lost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			src, net := newSource("a", "x"), newNet("x")
			net.servers["x"].loseAnswers = lost
			src.route(5, "x")
			k := New(src, net)
			k.Start()
			time.Sleep(3*time.Second + 77*time.Millisecond)
			lease := src.Snapshot().View.LeaseUntil
			src.mu.Lock()
			src.renewLease = false
			src.mu.Unlock()
			held := k.OutstandingUntil("s", 0, ownership.MakeToken(6, 0))
			require.LessOrEqual(t, held, lease)
			for src.Now() < lease+time.Second {
				if len(net.holds("x")) > 0 {
					require.Less(t, src.Now(), lease)
					require.Less(t, src.Now(), k.OutstandingUntil("s", 0, ownership.MakeToken(6, 0)))
				}
				time.Sleep(time.Millisecond)
			}
			require.Zero(t, k.OutstandingUntil("s", 0, ownership.MakeToken(6, 0)))
			k.Stop()
		})
	}
}

func TestHeldUntil(t *testing.T) {
	tests := []struct {
		name         string
		act          func(n *fakeNet) // just before shard 0 is withdrawn from x
		acknowledged bool             // the server acknowledges the newer grant
	}{
		{"acknowledged", func(*fakeNet) {}, true},
		{"server is dead", func(n *fakeNet) { n.withServer("x", func(s *fakeServer) { s.down = true }) }, false},
		{"answers are lost", func(n *fakeNet) { n.withServer("x", func(s *fakeServer) { s.loseAnswers = true }) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				src, net := newSource("a", "x"), newNet("x")
				src.route(5, "x", "x")
				k := New(src, net)
				k.Start()
				time.Sleep(time.Second)
				require.Zero(t, k.OutstandingUntil("s", 0, ownership.MakeToken(5, 0)))
				require.Positive(t, k.OutstandingUntil("s", 0, ownership.MakeToken(5, 1)))
				require.Zero(t, k.OutstandingUntil("other", 0, ownership.MakeToken(9, 0)))
				test.act(net)
				lease := src.Snapshot().View.LeaseUntil
				src.route(6, "held", "x")
				time.Sleep(100 * time.Millisecond)
				until := k.OutstandingUntil("s", 0, ownership.MakeToken(6, 0))
				if test.acknowledged {
					require.Zero(t, until)
					require.NotContains(t, net.holds("x"), ownership.Shard(0))
				} else {
					require.Positive(t, until)
					require.LessOrEqual(t, until, lease)
				}
				k.Stop()
			})
		})
	}
}

// A server must never hold a shard longer than OutstandingUntil reports. The test
// moves a shard at random while messages and answers are lost, and compares the two.
func TestAShardIsNeverHeldBeyondWhatIsReported(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			src, net := newSource("a", "x", "y"), newNet("x", "y")
			k := New(src, net)
			k.Start()
			active, rank := ownership.Offset(1), 0
			for range 200 {
				switch r.IntN(5) {
				case 0:
					active, rank = active+1, 0
					src.route(active, []string{"x", "y", "held"}[r.IntN(3)], "x", "y")
				case 3:
					rank++
					src.routeRank(active, rank, []string{"x", "y", "held"}[r.IntN(3)], "x", "y")
				case 1:
					net.withServer([]string{"x", "y"}[r.IntN(2)], func(s *fakeServer) { s.down, s.loseAnswers = r.IntN(2) == 0, r.IntN(2) == 0 })
				case 2:
					src.mu.Lock()
					src.renewLease = r.IntN(4) > 0
					src.mu.Unlock()
				}
				time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
				below := ownership.MakeToken(active, rank)
				until := k.OutstandingUntil("s", 0, below)
				for _, id := range []string{"x", "y"} {
					if token, ok := net.holds(id)[0]; ok && token < below {
						require.Less(t, src.Now(), until, "seed %d", seed)
					}
				}
			}
			for _, id := range []string{"x", "y"} {
				net.withServer(id, func(s *fakeServer) { s.down, s.loseAnswers = false, false })
			}
			src.mu.Lock()
			src.renewLease = true
			src.mu.Unlock()
			src.routeRank(active, rank+1, "y", "x", "y")
			time.Sleep(time.Second)
			token := ownership.MakeToken(active, rank+1)
			require.Equal(t, map[ownership.Shard]ownership.Token{1: token}, net.holds("x"))
			require.Equal(t, map[ownership.Shard]ownership.Token{0: token, 2: token}, net.holds("y"))
			k.Stop()
		})
	}
}

func TestAHostThatIsNoMemberGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src, net := newSource("a", "x"), newNet("x")
		src.route(5, "x")
		src.change(func(v *ownership.View) { v.Member = false })
		k := New(src, net)
		k.Start()
		time.Sleep(time.Second)
		net.withServer("x", func(s *fakeServer) { require.Zero(t, s.messages) })
		k.Stop()
	})
}

func TestTheSecondMemberTakesOverAndGivesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := []ownership.Member{{ID: "a"}, {ID: "b"}}
		net := newNet("x")
		sources := map[string]*fakeSource{}
		keepers := map[string]*Keeper{}
		for _, m := range members {
			src := newSource(string(m.ID), "x")
			src.route(5, "x")
			src.change(func(v *ownership.View) { v.Members = members })
			sources[string(m.ID)] = src
			keepers[string(m.ID)] = New(src, net)
		}
		first, second := "a", "b"
		if isGrantor(sources["b"].Snapshot().View, serverKey{"s", "x"}) {
			first, second = "b", "a"
		}
		keepers[first].Start()
		keepers[second].Start()
		time.Sleep(time.Second)
		require.Empty(t, keepers[second].servers)
		keepers[first].Stop()
		time.Sleep(300 * time.Millisecond)
		sources[second].change(func(v *ownership.View) { v.Unresponsive = []ownership.MemberID{ownership.MemberID(first)} })
		time.Sleep(time.Second)
		require.Len(t, net.holds("x"), 1)
		sources[second].change(func(v *ownership.View) { v.Unresponsive = nil })
		keepers[first].Start()
		time.Sleep(2 * time.Second)
		require.Len(t, net.holds("x"), 1)
		net.withServer("x", func(s *fakeServer) { require.Less(t, s.fullBodies, 10) })
		keepers[first].Stop()
		keepers[second].Stop()
	})
}

func TestAServerThatRestartsIsGrantedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src, net := newSource("a", "x"), newNet("x")
		src.route(5, "x")
		k := New(src, net)
		k.Start()
		time.Sleep(time.Second)
		net.withServer("x", func(s *fakeServer) { *s = fakeServer{} })
		time.Sleep(testRound + 100*time.Millisecond)
		require.Len(t, net.holds("x"), 1)
		k.Stop()
	})
}

func TestNoFullGrantFollowsAnUnansweredMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src, net := newSource("a", "x"), newNet("x")
		src.route(5, "x")
		k := New(src, net)
		k.Start()
		time.Sleep(time.Second)
		net.withServer("x", func(s *fakeServer) { s.loseAnswers, s.fullBodies = true, 0 })
		time.Sleep(time.Second)
		src.route(6, "x")
		time.Sleep(time.Second)
		net.withServer("x", func(s *fakeServer) { require.Zero(t, s.fullBodies) })
		net.withServer("x", func(s *fakeServer) { s.loseAnswers = false })
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, ownership.MakeToken(6, 0), net.holds("x")[0])
		k.Stop()
	})
}

func TestGrantsOfASilentServerAreNotExtended(t *testing.T) {
	for _, lost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			src, net := newSource("a", "x"), newNet("x")
			src.route(5, "x")
			k := New(src, net)
			k.Start()
			time.Sleep(time.Second + 7*time.Millisecond)
			net.withServer("x", func(s *fakeServer) { s.down, s.loseAnswers = !lost, lost })
			failedAt := src.Now()
			for src.Now() < failedAt+2*time.Second {
				require.LessOrEqual(t, k.OutstandingUntil("s", 0, ownership.MakeToken(6, 0)), failedAt+testRound+testTTL)
				if len(net.holds("x")) > 0 {
					require.Less(t, src.Now(), k.OutstandingUntil("s", 0, ownership.MakeToken(6, 0)))
				}
				time.Sleep(5 * time.Millisecond)
			}
			net.withServer("x", func(s *fakeServer) { s.down, s.loseAnswers = false, false })
			time.Sleep(200 * time.Millisecond)
			require.Len(t, net.holds("x"), 1, "the server is granted its shard again at once")
			k.Stop()
		})
	}
}
