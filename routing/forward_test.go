package routing

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/claim"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/pipenet"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/peer"
)

// noControl is a peer handler that refuses control messages.
type noControl struct{}

func (noControl) HandleConfirm(context.Context, ownership.Confirm) (ownership.ConfirmReply, error) {
	return ownership.ConfirmReply{}, fault.New(fault.BadMessage, "no control")
}

func (noControl) HandleSnapshot(context.Context) (peer.Snapshot, error) {
	return peer.Snapshot{}, fault.New(fault.BadMessage, "no control")
}

func (noControl) HandleKeepSeat(context.Context, string, []byte) error { return nil }

func (noControl) HandleClaimSeat(context.Context, string) ([]byte, error) { return nil, nil }

// host is a fixture that other hosts reach over drpc.
type host struct {
	*fixture
	member ownership.Member
	table  *claim.Table
}

// newHosts starts n hosts, members of one deployment, in front of the server at o.addr.
func newHosts(t *testing.T, n int, o fixtureOptions) []*host {
	client := peer.NewRequestClient(peerDialer(o.network))
	t.Cleanup(client.Close)
	var members []ownership.Member
	var listeners []net.Listener
	for i := range n {
		l := listen(t, o.network)
		listeners = append(listeners, l)
		id := ownership.MemberID("entry-" + string(rune('0'+i)) + "/a")
		members = append(members, ownership.Member{ID: id, Host: string(id), PeerAddr: l.Addr().String()})
	}
	var hosts []*host
	for i, l := range listeners {
		h := &host{member: members[i], table: claim.NewTable()}
		o.deps = Deps{Peers: client, Claims: claim.NewCoordinator(h.member.ID, h.table, client)}
		h.fixture = newFixture(t, o)
		v := h.source.view()
		v.Self, v.Members = h.member.ID, members
		h.source.setView(v)
		h.serve(t, l)
		hosts = append(hosts, h)
	}
	return hosts
}

// peerDialer returns the dialer of a network, or nil for loopback TCP.
func peerDialer(n *pipenet.Network) peer.Dialer {
	if n == nil {
		return nil
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return n.Dial(ctx, "tcp", addr) }
}

func (h *host) serve(t *testing.T, l net.Listener) {
	s, err := peer.NewServer(noControl{}, peer.RequestService(h.router.ForwardedHandler(), h.table))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = s.Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		wait.Wait()
	})
}

func (h *host) loseLease() {
	v := h.source.view()
	v.LeaseUntil = 0
	h.source.setView(v)
}

func TestHostWithoutALeaseForwardsOnce(t *testing.T) {
	for _, k := range requestCases {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { forwardOnce(t, k) })
		})
	}
}

func forwardOnce(t *testing.T, k requestCase) {
	network := pipenet.New()
	s := newFaultServerOn(t, network, false)
	hosts := newHosts(t, 2, fixtureOptions{addr: s.addr(), profile: testProfile(), echoes: true, network: network})
	hosts[0].loseLease()
	order := nextOrder()
	outcome, body := k.call(t, hosts[0].fixture, order)
	k.checkOutcome(t, s, pointNone, order, outcome, body)

	s.arm(pointLastByte)
	order = nextOrder()
	outcome, body = k.call(t, hosts[0].fixture, order)
	k.checkOutcome(t, s, pointLastByte, order, outcome, body)

	hosts[1].loseLease()
	order = nextOrder()
	outcome, _ = k.call(t, hosts[0].fixture, order)
	require.Equal(t, fault.NotRun, outcome, "a forwarded request is not forwarded again")
	require.Zero(t, s.runs(order))
}

func TestForwardedLongAnswersAndUnreachablePeers(t *testing.T) {
	const size = 300 << 10
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("a", size))
	})
	hosts := newHosts(t, 2, fixtureOptions{addr: hostPort(s), profile: testProfile()})
	hosts[0].loseLease()
	_, body := get(t, hosts[0].http.URL+"/stock/lookup/k", nil)
	require.Len(t, body, size)

	v := hosts[0].source.view()
	v.Members = append([]ownership.Member(nil), v.Members...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	v.Members[1].PeerAddr = l.Addr().String()
	require.NoError(t, l.Close())
	hosts[0].source.setView(v)
	resp, body := get(t, hosts[0].http.URL+"/stock/order/k", nil)
	require.Equal(t, string(fault.NotRun), resp.Header.Get(HeaderOutcome))
	require.Contains(t, body, string(fault.PeerUnavailable))
}

// TestForwardWhosePeerFallsSilentIsUnknown forwards to a peer that reads the
// request and never answers.
func TestForwardWhosePeerFallsSilentIsUnknown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var wait sync.WaitGroup
	wait.Go(func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	})
	s := newFaultServer(t, false)
	hosts := newHosts(t, 1, fixtureOptions{addr: s.addr(), profile: testProfile()})
	v := hosts[0].source.view()
	v.LeaseUntil = 0
	v.Members = append(v.Members, ownership.Member{ID: "silent/a", PeerAddr: l.Addr().String()})
	hosts[0].source.setView(v)
	outcome, _ := requestCases[1].call(t, hosts[0].fixture, nextOrder())
	require.Equal(t, fault.Unknown, outcome)
	_ = l.Close()
	wait.Wait()
}

// orderWithID sends an order with an id through a host and returns the outcome
// and the kind or, when answered, the body.
func orderWithID(t *testing.T, h *host, id, body string) (fault.Outcome, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, h.http.URL+"/stock/order/k", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set(HeaderOrderID, id)
	req.Header.Set(headerTestOrder, id)
	resp, err := h.client.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	if kind := resp.Header.Get(headerKind); kind != "" {
		return fault.Outcome(resp.Header.Get(HeaderOutcome)), kind
	}
	return fault.Outcome(resp.Header.Get(HeaderOutcome)), string(text)
}

func TestDuplicateOrdersAcrossHosts(t *testing.T) { synctest.Test(t, testDuplicateOrders) }

func testDuplicateOrders(t *testing.T) {
	network := pipenet.New()
	s := newFaultServerOn(t, network, false)
	hosts := newHosts(t, 4, fixtureOptions{addr: s.addr(), profile: testProfile(), echoes: true, network: network})
	outcome, first := orderWithID(t, hosts[0], "answered", "a")
	require.Equal(t, fault.Answered, outcome)
	for _, h := range hosts {
		outcome, again := orderWithID(t, h, "answered", "a")
		require.Equal(t, fault.Answered, outcome)
		require.Equal(t, first, again)
	}
	_, kind := orderWithID(t, hosts[3], "answered", "other content")
	require.Equal(t, string(fault.BadRequest), kind)
	require.Equal(t, 1, s.runs("answered"))

	s.arm(pointLastByte)
	outcome, _ = orderWithID(t, hosts[1], "unknown", "a")
	require.Equal(t, fault.Unknown, outcome)
	outcome, kind = orderWithID(t, hosts[2], "unknown", "a")
	require.Equal(t, fault.Unknown, outcome)
	require.Equal(t, string(fault.Duplicate), kind)
	require.Equal(t, 1, s.runs("unknown"))

	for _, h := range hosts {
		h.source.setView(withHeldShards(h.source.view()))
	}
	outcome, _ = orderWithID(t, hosts[0], "free", "a")
	require.Equal(t, fault.NotRun, outcome)
	v := hosts[0].source.view()
	v.Services = map[string]*ownership.ServiceView{testService: routes(8, ownership.Route{Server: "server-0", Token: 600})}
	hosts[1].source.setView(v)
	outcome, _ = orderWithID(t, hosts[1], "free", "a")
	require.Equal(t, fault.Answered, outcome, "the id of an order that did not run can be used again")
}

func TestSimultaneousDuplicatesRunOnce(t *testing.T) {
	synctest.Test(t, testSimultaneousDuplicates)
}

func testSimultaneousDuplicates(t *testing.T) {
	network := pipenet.New()
	s := newFaultServerOn(t, network, false)
	p := testProfile()
	p.Rules[1].Timeout = 10 * time.Second
	hosts := newHosts(t, 4, fixtureOptions{addr: s.addr(), profile: p, echoes: true, network: network})
	const orders = 20
	var wait sync.WaitGroup
	for i := range orders {
		id := "same-" + string(rune('a'+i))
		for _, h := range hosts {
			wait.Go(func() { _, _ = orderWithID(t, h, id, "x") })
		}
	}
	wait.Wait()
	for i := range orders {
		require.Equal(t, 1, s.runs("same-"+string(rune('a'+i))))
	}
}
