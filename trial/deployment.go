package trial

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/backend"
	"github.com/lacewingsaddle/lacewingsaddle/entry"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
	"github.com/lacewingsaddle/lacewingsaddle/loadgen"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/settings"
	"github.com/lacewingsaddle/lacewingsaddle/standin/keyserver"
	"github.com/lacewingsaddle/lacewingsaddle/standin/logsvc"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

const (
	readyTimeout      = 25 * time.Second
	readyPollInterval = 20 * time.Millisecond
	// appendsPerSecond is the platform's limit on appends.
	appendsPerSecond = 300
	retention        = time.Hour
	// serverQueue is the number of requests that may wait for a slot at a backend server.
	serverQueue = 64
)

// server is one backend stand-in with its service and its declaration.
type server struct {
	*keyserver.Server
	service string
	spec    profile.Server
}

// deployment is everything that runs during a trial.
type deployment struct {
	shape    Shape
	logger   *zap.Logger
	log      *logsvc.Service
	logHTTP  *httptest.Server
	services []profile.Service
	profiles map[string]profile.Profile // by service
	servers  []*server
	admin    *httptest.Server // serves the admin calls of the backend stand-ins
	hosts    []*entry.Host

	mu      sync.Mutex
	domains map[string]string // failure domain by address
	killed  map[*entry.Host]bool
	// reserved holds listeners that no host uses yet, by address.
	reserved map[string]net.Listener
}

// open starts the whole deployment. Call close in any case.
func (d *deployment) open(ctx context.Context) error {
	d.domains = map[string]string{}
	d.killed = map[*entry.Host]bool{}
	d.reserved = map[string]net.Listener{}
	d.log = logsvc.NewWithConfig(logsvc.Config{Retention: retention, AppendsPerSecond: appendsPerSecond})
	d.logHTTP = httptest.NewServer(d.log.Handler())
	d.setDomain(d.logHTTP.Listener.Addr().String(), d.shape.Domains[0])
	profiles, services, err := d.shape.documents()
	if err != nil {
		return err
	}
	if err := d.startServers(profiles, services); err != nil {
		return err
	}
	if err := d.publish(profiles); err != nil {
		return err
	}
	return d.startHosts(ctx)
}

func (d *deployment) startServers(profiles []profile.Profile, services []profile.Service) error {
	byName := map[string]profile.Profile{}
	for _, p := range profiles {
		byName[p.Name] = p
	}
	d.profiles = map[string]profile.Profile{}
	mux := http.NewServeMux()
	for _, service := range services {
		d.profiles[service.Name] = byName[service.Profile]
		for i := range service.Servers {
			s, err := d.startServer(service, service.Servers[i])
			if err != nil {
				return err
			}
			service.Servers[i] = s.spec
			prefix := "/" + s.spec.ID
			mux.Handle(prefix+"/", http.StripPrefix(prefix, s.AdminHandler()))
		}
		d.services = append(d.services, service)
	}
	d.admin = httptest.NewServer(mux)
	return nil
}

// startServer starts one stand-in on loopback, in place of the address in the
// operators' document.
func (d *deployment) startServer(service profile.Service, spec profile.Server) (*server, error) {
	p := d.profiles[service.Name]
	traits := keyserver.Traits{
		ServiceMS:    d.shape.ServiceMS,
		Slots:        p.Limits.Slots,
		Queue:        serverQueue,
		Connections:  p.Limits.Connections,
		ConnCostMS:   d.shape.ConnCostMS,
		ProbeMS:      d.shape.ProbeMS,
		ChecksGrants: service.ChecksGrants,
		EchoID:       service.EchoesID,
		KeySegment:   keySegment,
	}
	s := &server{
		Server:  keyserver.New(keyserver.Config{ID: spec.ID, Traits: traits}),
		service: service.Name,
		spec:    spec,
	}
	if err := s.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.spec.Address = s.Addr()
	d.setDomain(s.Addr(), spec.Domain)
	d.servers = append(d.servers, s)
	return s, nil
}

// publish writes the operators' documents into the profile stream.
func (d *deployment) publish(profiles []profile.Profile) error {
	var records []profile.Record
	for i := range profiles {
		records = append(records, profile.Record{Kind: profile.ProfileDocument, Name: profiles[i].Name, Profile: &profiles[i]})
	}
	for i := range d.services {
		records = append(records, profile.Record{Kind: profile.ServiceDocument, Name: d.services[i].Name, Service: &d.services[i]})
	}
	for i, r := range records {
		r.ID, r.Author, r.Cause = fmt.Sprintf("trial#%d", i), "trial", "start"
		data, err := r.Encode()
		if err != nil {
			return err
		}
		d.log.Append(tlog.ProfileStream, data)
	}
	return nil
}

func (d *deployment) startHosts(ctx context.Context) error {
	var all []settings.Host
	var listed []tlog.Host
	for i := range d.shape.Hosts {
		h, err := d.hostSettings(i)
		if err != nil {
			return err
		}
		all = append(all, h)
		listed = append(listed, tlog.Host{Name: h.Name, Domain: h.Domain, State: tlog.HostLive})
	}
	d.log.SetHosts(listed)
	for _, h := range all {
		host, err := entry.New(h, d.ports(h), d.logger)
		if err != nil {
			return err
		}
		if err := host.Start(ctx); err != nil {
			return err
		}
		d.hosts = append(d.hosts, host)
	}
	return nil
}

// The operator of a trial. The token need not be secret: it is void after the trial.
const (
	operatorName  = "you"
	operatorToken = "try"
)

func (d *deployment) hostSettings(i int) (settings.Host, error) {
	h := settings.Default()
	h.Name = fmt.Sprintf("entry-%d", i+1)
	h.Domain = d.shape.Domains[i%len(d.shape.Domains)]
	h.Platform = d.logHTTP.URL
	h.Tokens.Write = []settings.Token{{Name: operatorName, Value: operatorToken}}
	for _, field := range []*string{&h.Listen, &h.Peer, &h.Admin} {
		addr, err := d.reserve()
		if err != nil {
			return h, err
		}
		*field = addr
		d.setDomain(addr, h.Domain)
	}
	return h, nil
}

// ports returns ports that connect a host over links with the deployment's delays.
func (d *deployment) ports(h settings.Host) entry.Ports {
	dial := delayedDial(func(addr string) time.Duration { return d.delay(h.Domain, addr) })
	client := tlog.NewClient(h.Platform, &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4})
	return entry.Ports{
		Log:         client,
		HostList:    client,
		PeerDial:    func(ctx context.Context, addr string) (net.Conn, error) { return dial(ctx, "tcp", addr) },
		BackendDial: backend.Dialer(dial),
		Listen:      d.listenReserved,
	}
}

func (d *deployment) setDomain(addr, domain string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.domains[addr] = domain
}

// delay returns the one-way delay between a failure domain and an address.
func (d *deployment) delay(from, addr string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.domains[addr] == from {
		return 0
	}
	return d.shape.DomainDelay
}

// reserve opens a listener on a free port and returns its address. The host that
// is started at this address takes the listener over.
func (d *deployment) reserve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	addr := l.Addr().String()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reserved[addr] = l
	return addr, nil
}

// listenReserved returns the listener that was reserved for addr.
func (d *deployment) listenReserved(_, addr string) (net.Listener, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.reserved[addr]
	if l == nil {
		return nil, fault.Newf(fault.Internal, "no listener is reserved for %s", addr)
	}
	delete(d.reserved, addr)
	return l, nil
}

func (d *deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !d.ready() {
		if wait.Sleep(ctx, readyPollInterval) != nil {
			return fault.New(fault.NotReady, "the deployment did not become ready in time")
		}
	}
	return nil
}

func (d *deployment) ready() bool {
	for _, h := range d.hosts {
		if !h.Readiness().Ready {
			return false
		}
		for _, load := range d.shape.Services {
			if load.Keyed && !allShardsRouted(h, load.Service) {
				return false
			}
		}
	}
	return true
}

func allShardsRouted(h *entry.Host, service string) bool {
	sv := h.Control.Snapshot().View.Services[service]
	if sv == nil || len(sv.Routes) == 0 {
		return false
	}
	for _, r := range sv.Routes {
		if r.Held || r.Server == "" {
			return false
		}
	}
	return true
}

// kill stops an entry host as a crash would. The platform's host list still names it.
func (d *deployment) kill(h *entry.Host) {
	d.mu.Lock()
	d.killed[h] = true
	d.mu.Unlock()
	h.Kill()
}

// live returns the entry hosts that were not killed.
func (d *deployment) live() []*entry.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*entry.Host
	for _, h := range d.hosts {
		if !d.killed[h] {
			out = append(out, h)
		}
	}
	return out
}

func (d *deployment) close() {
	for _, h := range d.live() {
		h.Kill()
	}
	for _, l := range d.reserved {
		_ = l.Close()
	}
	for _, s := range d.servers {
		s.Kill()
	}
	if d.admin != nil {
		d.admin.Close()
	}
	if d.logHTTP != nil {
		d.log.Close()
		d.logHTTP.CloseClientConnections()
		d.logHTTP.Close()
	}
}

// ledgers returns the runs of all backend servers, one ledger for each service.
func (d *deployment) ledgers() []loadgen.Ledger {
	byService := map[string][]keyserver.Run{}
	for _, s := range d.servers {
		byService[s.service] = append(byService[s.service], s.Ledger()...)
	}
	var out []loadgen.Ledger
	for _, load := range d.shape.Services {
		out = append(out, loadgen.Ledger{Keyed: load.Keyed, Runs: byService[load.Service]})
	}
	return out
}
