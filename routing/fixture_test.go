package routing

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/lacewingsaddle/lacewingsaddle/backend"
	"github.com/lacewingsaddle/lacewingsaddle/control"
	"github.com/lacewingsaddle/lacewingsaddle/internal/pipenet"
	"github.com/lacewingsaddle/lacewingsaddle/ownership"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testService = "stock"

// fakeSource is a Source and ChangeNotifier whose snapshot a test replaces.
type fakeSource struct {
	epoch time.Time

	mu         sync.Mutex
	snap       *control.Snapshot
	changed    chan struct{}
	onSnapshot func() // called by Snapshot, outside the lock
}

func (f *fakeSource) Now() ownership.Instant { return time.Since(f.epoch) }

func (f *fakeSource) Snapshot() *control.Snapshot {
	f.mu.Lock()
	snap, onSnapshot := f.snap, f.onSnapshot
	f.mu.Unlock()
	if onSnapshot != nil {
		onSnapshot()
	}
	return snap
}

func (f *fakeSource) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// setView publishes a snapshot with a view.
func (f *fakeSource) setView(v ownership.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snap = &control.Snapshot{View: &v, Catalog: f.snap.Catalog}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeSource) view() ownership.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *f.snap.View
}

// routes returns a service view of n shards that all have the same route.
func routes(n int, route ownership.Route) *ownership.ServiceView {
	sv := &ownership.ServiceView{}
	for range n {
		sv.Routes = append(sv.Routes, route)
	}
	return sv
}

// testProfile returns a profile with one rule for each request kind.
func testProfile() profile.Profile {
	p := profile.Default("p")
	p.Key = &profile.Key{From: profile.KeyFromPath, Segment: 2}
	p.Limits.Slots = 64
	p.Limits.AnswerBytes = 4 << 10
	p.Rules = []profile.Rule{
		{PathPrefix: "/lookup", Kind: profile.Lookup, Timeout: 300 * time.Millisecond},
		{PathPrefix: "/order", Kind: profile.Order, Timeout: 300 * time.Millisecond},
		{PathPrefix: "/upload", Kind: profile.Upload, Timeout: 300 * time.Millisecond},
	}
	return p
}

// fixture is a router in front of one backend server.
type fixture struct {
	source   *fakeSource
	backends *backend.Set
	router   *Router
	http     *httptest.Server
	client   *http.Client // a caller's
}

type fixtureOptions struct {
	addr    string
	profile profile.Profile
	echoes  bool
	deps    Deps
	dial    backend.Dialer
	// network replaces loopback TCP, for tests in virtual time.
	network *pipenet.Network
}

// listen listens on a network, or on loopback TCP if it is nil.
func listen(t testing.TB, n *pipenet.Network) net.Listener {
	if n != nil {
		return n.Listen()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

func newFixture(t testing.TB, o fixtureOptions) *fixture {
	if o.network != nil && o.dial == nil {
		o.dial = o.network.Dial
	}
	f := &fixture{backends: backend.NewSet(o.dial), client: http.DefaultClient}
	if o.network != nil {
		f.client = &http.Client{Transport: &http.Transport{DialContext: o.network.Dial}}
	}
	f.source = newSource(o)
	o.deps.Source, o.deps.Backends = f.source, f.backends
	f.router = New(o.deps)
	f.http = &httptest.Server{Listener: listen(t, o.network), Config: NewServer(f.router)}
	f.http.Start()
	t.Cleanup(func() {
		f.http.CloseClientConnections()
		f.http.Close()
		f.backends.Close()
		f.client.CloseIdleConnections()
	})
	return f
}

func newSource(o fixtureOptions) *fakeSource {
	catalog := profile.NewCatalog()
	catalog.Applied = 2
	catalog.Profiles["p"] = profile.Versioned[profile.Profile]{Version: 1, Value: o.profile}
	service := profile.Service{
		Name:       testService,
		Profile:    "p",
		PathPrefix: "/stock",
		EchoesID:   o.echoes,
		Servers:    []profile.Server{{ID: "server-0", Address: o.addr, Domain: "bilbao"}},
	}
	catalog.Services[testService] = profile.Versioned[profile.Service]{Version: tlog.Offset(2), Value: service}
	view := &ownership.View{
		Self:       "entry-0/a",
		Member:     true,
		LeaseUntil: time.Hour,
		Members:    []ownership.Member{{ID: "entry-0/a", Host: "entry-0"}},
		Services:   map[string]*ownership.ServiceView{testService: routes(8, ownership.Route{Server: "server-0", Token: 512})},
	}
	return &fakeSource{
		epoch:   time.Now(),
		snap:    &control.Snapshot{View: view, Catalog: catalog},
		changed: make(chan struct{}),
	}
}

func hostPort(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
