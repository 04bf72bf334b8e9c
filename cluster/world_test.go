package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/hostlink"
	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
	"github.com/lacewingsaddle/lacewingsaddle/routetable"
)

const (
	hop       = 4 * time.Millisecond // one-way latency between any two processes
	stockName = "stock"
	sampled   = 16 // number of keys that are checked, evenly spaced
)

// fakeStore is an in-memory store with injected faults.
type fakeStore struct {
	mu       sync.Mutex
	records  [][]byte
	servers  []directory.Change
	config   [][]byte
	hosts    []assigner.Host
	down     bool
	cut      map[string]bool // hosts that are refused
	gapUntil uint64          // server records below this offset have been deleted
	// assignmentGap is the same for assignments; the newest record is kept.
	assignmentGap uint64
	timeouts      int             // number of server reads that will get no answer
	calls         int             // number of calls made
	readers       map[string]bool // hosts that loaded the directory since takeReaders
	slow          time.Duration   // added latency of every answer
	silent        bool            // no call is answered or executed
	// lost makes appends end without an answer; they are executed after late.
	lost bool
	late time.Duration
}

// takeReaders returns how many hosts have loaded the directory since it was called last.
func (s *fakeStore) takeReaders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.readers)
	clear(s.readers)
	return n
}

// storeOf is the store as seen by one host.
type storeOf struct {
	*fakeStore
	host string
}

func (s storeOf) call(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	slow, silent := s.slow, s.silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	if err := wait.Sleep(ctx, 2*hop+slow); err != nil {
		return fault.Wrap(fault.LogUnavailable, err, "store")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.cut[s.host] {
		return fault.New(fault.LogUnavailable, "store is unavailable")
	}
	return nil
}

func (s storeOf) LoadAssignment(ctx context.Context) ([]byte, uint64, error) {
	if err := s.call(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.records)
	if n == 0 {
		return nil, 0, nil
	}
	return s.records[n-1], uint64(n), nil
}

func (s storeOf) AppendAssignment(ctx context.Context, at uint64, data []byte) (uint64, error) {
	if err := s.call(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	lost, late := s.lost, s.late
	s.mu.Unlock()
	if !lost {
		return s.add(at, data)
	}
	time.AfterFunc(late, func() { _, _ = s.add(at, data) }) // the caller never learns the result
	<-ctx.Done()
	return 0, fault.Wrap(fault.InDoubt, ctx.Err(), "no answer to an append")
}

func (s *fakeStore) add(at uint64, data []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if uint64(len(s.records)) != at {
		return 0, fault.New(fault.LogConflict, "the partition ends at another offset")
	}
	s.records = append(s.records, data)
	return at + 1, nil
}

func (s storeOf) AssignmentEnd(ctx context.Context, from uint64) (uint64, error) {
	if err := s.call(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.assignmentGap {
		return 0, fault.New(fault.LogGap, "records have been deleted")
	}
	return uint64(len(s.records)), nil
}

func (s storeOf) AllServers(ctx context.Context) ([]directory.Change, uint64, error) {
	if err := s.call(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers[s.host] = true
	newest := map[string]directory.Change{}
	for _, c := range s.servers {
		newest[c.ID] = c
	}
	var out []directory.Change
	for _, c := range newest {
		out = append(out, c)
	}
	return out, uint64(len(s.servers)), nil
}

func (s storeOf) ReadServers(ctx context.Context, from uint64) ([]directory.Change, uint64, error) {
	s.mu.Lock()
	silent := s.timeouts > 0
	s.timeouts = max(s.timeouts-1, 0)
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, 0, fault.Wrap(fault.LogUnavailable, ctx.Err(), "no answer")
	}
	if err := s.call(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.gapUntil {
		return nil, 0, fault.New(fault.LogGap, "records have been deleted")
	}
	return slices.Clone(s.servers[from:]), uint64(len(s.servers)), nil
}

func (s storeOf) NewestConfig(ctx context.Context) ([]byte, uint64, error) {
	return s.ReadConfig(ctx, 0, 0)
}

func (s storeOf) ReadConfig(ctx context.Context, from uint64, within time.Duration) ([]byte, uint64, error) {
	for end := time.Now().Add(within); ; {
		if err := s.call(ctx); err != nil {
			return nil, from, err
		}
		s.mu.Lock()
		n := uint64(len(s.config))
		var data []byte
		if n > from {
			data = s.config[n-1]
		}
		s.mu.Unlock()
		if data != nil || !time.Now().Before(end) {
			return data, n, nil
		}
		_ = wait.Sleep(ctx, 50*time.Millisecond) // the next call reports the end of ctx
	}
}

// fakeConfig is a configuration in a format of these tests.
type fakeConfig struct{ Version uint64 }

func (s storeOf) DecodeConfig(data []byte) (*routetable.Table, error) {
	var c fakeConfig
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, fault.Wrap(fault.BadRecord, err, "configuration")
	}
	services := []routetable.Service{{Name: stockName, Sharded: true}}
	return routetable.New(c.Version, nil, services, routetable.Limits{}), nil
}

func (s storeOf) RegisterHost(ctx context.Context, h assigner.Host) error {
	if err := s.call(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, h)
	return nil
}

func (s storeOf) AllHosts(ctx context.Context) ([]assigner.Host, uint64, error) {
	return s.ReadHosts(ctx, 0, 0)
}

func (s storeOf) ReadHosts(ctx context.Context, from uint64, within time.Duration) ([]assigner.Host, uint64, error) {
	for end := time.Now().Add(within); ; {
		if err := s.call(ctx); err != nil {
			return nil, from, err
		}
		s.mu.Lock()
		out := slices.Clone(s.hosts[from:])
		s.mu.Unlock()
		if len(out) > 0 || !time.Now().Before(end) {
			return out, from + uint64(len(out)), nil
		}
		_ = wait.Sleep(ctx, 50*time.Millisecond) // the next call reports the end of ctx
	}
}

// fakeServer is a backend server that checks grants.
type fakeServer struct {
	holder      keyrange.Holder
	addr        string
	up          bool
	refuses     bool // the network resets every connection to it
	mute        bool // calls are never answered, whether they reach it or not
	unreachable bool // with mute: calls do not reach it either
	// applyDelay is the delay with which an unanswered grant is applied.
	applyDelay time.Duration
	service    string // empty for stockName
	leaving    bool   // its answers to grants and releases say that it leaves
	// leavingInReleases is set if only its answers to releases say so.
	leavingInReleases bool
	seen              [sampled]keyrange.Fence
	until             [sampled]time.Time
}

// world is a simulated deployment in virtual time.
type world struct {
	t       *testing.T
	store   *fakeStore
	mu      sync.Mutex
	servers []*fakeServer
	hosts   map[string]*Cluster // by peer address
	cutOff  map[string]bool     // hosts that no other host reaches
	silent  map[link]bool       // links whose messages are lost
	paused  map[string]chan struct{}
	starts  int
	start   time.Time
	logger  *zap.Logger
}

func newWorld(t *testing.T, servers int) *world {
	w := &world{
		t:      t,
		store:  &fakeStore{cut: map[string]bool{}, readers: map[string]bool{}},
		hosts:  map[string]*Cluster{},
		cutOff: map[string]bool{},
		silent: map[link]bool{},
		paused: map[string]chan struct{}{},
		start:  time.Now(),
		logger: zap.NewNop(),
	}
	for i := range servers {
		w.addServer(fmt.Sprintf("s%d", i))
	}
	w.publish(1)
	return w
}

func (w *world) publish(version uint64) {
	data, err := json.Marshal(fakeConfig{Version: version})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.config = append(w.store.config, data)
}

// addServer starts a server, or restarts it, and writes its entry.
func (w *world) addServer(id string) *fakeServer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	s := &fakeServer{holder: keyrange.Holder{ID: id, StartedMS: int64(w.starts)}, addr: id, up: true}
	i := slices.IndexFunc(w.servers, func(v *fakeServer) bool { return v.addr == id })
	if i < 0 {
		w.servers = append(w.servers, s)
	} else {
		w.servers[i] = s
	}
	w.list(s, directory.Ready)
	return s
}

// list writes a server's entry.
func (w *world) list(s *fakeServer, state directory.State) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	service := stockName
	if s.service != "" {
		service = s.service
	}
	v := directory.Server{Holder: s.holder, Service: service, Address: s.addr, Slots: 3, State: state}
	w.store.servers = append(w.store.servers, directory.Change{ID: s.holder.ID, Server: &v})
}

// unlist removes a server's entry.
func (w *world) unlist(s *fakeServer) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.servers = append(w.store.servers, directory.Change{ID: s.holder.ID})
}

func (w *world) server(id string) *fakeServer {
	for _, s := range w.servers {
		if s.holder.ID == id {
			return s
		}
	}
	return nil
}

// clock is the simulated boot-time clock.
func (w *world) clock() time.Duration { return time.Since(w.start) }

// clockOf returns the clock of one host. Reading it while the host is paused blocks
// until the host resumes, as in a suspended process.
func (w *world) clockOf(name string) Clock {
	return func() time.Duration {
		w.mu.Lock()
		resumed := w.paused[name]
		w.mu.Unlock()
		if resumed != nil {
			<-resumed
		}
		return w.clock()
	}
}

// pause suspends a host until resume is called.
func (w *world) pause(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused[name] == nil {
		w.paused[name] = make(chan struct{})
	}
}

func (w *world) resume(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if resumed := w.paused[name]; resumed != nil {
		close(resumed)
		delete(w.paused, name)
	}
}

// link is the direction of messages from one host to another.
type link struct{ from, to string }

// addHost starts an entry host.
func (w *world) addHost(name string) *Cluster {
	w.starts++
	self := assigner.Host{Name: name, Incarnation: fmt.Sprint(w.starts), Peer: name}
	c := New(Config{Self: self, HoldMax: 10 * time.Second, Seeds: []string{"h0", "h1"}, Clock: w.clockOf(name)},
		storeOf{w.store, name}, w, peersOf{w, name}, w.logger)
	w.mu.Lock()
	w.hosts[name] = c
	w.mu.Unlock()
	c.Start()
	return c
}

// kill stops a host without a planned handover.
func (w *world) kill(name string) {
	w.resume(name)
	w.mu.Lock()
	c := w.hosts[name]
	delete(w.hosts, name)
	w.mu.Unlock()
	c.Stop()
}

// stop kills all hosts.
func (w *world) stop() {
	for _, name := range w.names() {
		w.kill(name)
	}
}

func (w *world) names() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for name := range w.hosts {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// leaders returns the names of the hosts that act as the assigner.
func (w *world) leaders() []string {
	var out []string
	for _, name := range w.names() {
		if w.isPaused(name) {
			continue
		}
		c := w.host(name)
		got := make(chan bool, 1)
		c.post(func() { got <- c.machine.Leads(w.clock()) })
		if <-got {
			out = append(out, name)
		}
	}
	return out
}

func (w *world) isPaused(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.paused[name] != nil
}

func (w *world) host(name string) *Cluster {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[name]
}

// heldKeys returns how many sampled keys have exactly one holder. It fails the test if
// a key has two.
func (w *world) heldKeys() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for k := range sampled {
		holders := 0
		for _, s := range w.servers {
			if s.up && time.Now().Before(s.until[k]) {
				holders++
			}
		}
		if holders > 1 {
			w.t.Fatalf("key %d has %d holders at %v", k, holders, w.clock())
		}
		n += holders
	}
	return n
}

// watch checks the keys for d and returns the longest time in which at least one
// sampled key had no holder.
func (w *world) watch(d time.Duration) (longest time.Duration) {
	const step = 10 * time.Millisecond
	var without time.Duration
	for range int(d / step) {
		time.Sleep(step)
		if w.heldKeys() == sampled {
			without = 0
			continue
		}
		without += step
		longest = max(longest, without)
	}
	return longest
}

func (w *world) reach(addr string) (*fakeServer, error) {
	for _, s := range w.servers {
		if s.addr != addr {
			continue
		}
		if s.up && !s.refuses {
			return s, nil
		}
		return nil, fault.Wrap(fault.Refused, syscall.ECONNREFUSED, "dial")
	}
	return nil, fault.Wrap(fault.Refused, syscall.ECONNREFUSED, "dial")
}

func keysOf(r keyrange.Range) []int {
	var out []int
	for i := range sampled {
		if r.Contains(keyrange.Key(i * keyrange.KeyCount / sampled)) {
			out = append(out, i)
		}
	}
	return out
}

// Grant implements Backends.
func (w *world) Grant(ctx context.Context, g assigner.Grant) (GrantAnswer, error) {
	result, err := w.grant(ctx, g.Address, g.Range, g.Hold)
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.server(g.Range.Owner.ID)
	return GrantAnswer{Result: result, Leaving: serverAnswered(result) && s != nil && s.leaving, Attributed: true}, err
}

func (w *world) grant(ctx context.Context, addr string, r keyrange.Range, hold time.Duration) (assigner.CallResult, error) {
	if err := wait.Sleep(ctx, hop); err != nil {
		return assigner.CallFailed, err
	}
	w.mu.Lock()
	s, err := w.reach(addr)
	if err != nil {
		w.mu.Unlock()
		return assigner.CallRefused, err
	}
	if s.mute {
		w.mu.Unlock()
		return w.grantUnanswered(ctx, s, r, hold)
	}
	if s.holder.ID != r.Owner.ID {
		w.mu.Unlock()
		return assigner.CallFailed, fault.New(fault.SendFailed, "another server has the address")
	}
	result := s.accept(r, hold)
	w.mu.Unlock()
	return result, wait.Sleep(ctx, hop)
}

// grantUnanswered delivers a grant, unless the server is unreachable, but returns no
// answer. The hold counts from the arrival, also when the grant is applied later.
func (w *world) grantUnanswered(ctx context.Context, s *fakeServer, r keyrange.Range, hold time.Duration) (assigner.CallResult, error) {
	w.mu.Lock()
	unreachable, delay := s.unreachable, s.applyDelay
	w.mu.Unlock()
	if !unreachable && s.holder.ID == r.Owner.ID {
		arrived := time.Now()
		time.AfterFunc(delay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			s.accept(r, hold-time.Since(arrived))
		})
	}
	<-ctx.Done()
	return assigner.CallFailed, ctx.Err()
}

func (s *fakeServer) accept(r keyrange.Range, hold time.Duration) assigner.CallResult {
	keys := keysOf(r)
	for _, k := range keys {
		if s.seen[k] > r.Fence {
			return assigner.CallFenced
		}
	}
	for _, k := range keys {
		s.seen[k], s.until[k] = r.Fence, time.Now().Add(hold)
	}
	return assigner.CallOK
}

// Release implements Backends.
func (w *world) Release(ctx context.Context, addr string, r keyrange.Range) (ReleaseAnswer, error) {
	if err := wait.Sleep(ctx, hop); err != nil {
		return ReleaseAnswer{Result: assigner.CallFailed}, err
	}
	w.mu.Lock()
	s, err := w.reach(addr)
	if err == nil && s.mute {
		w.mu.Unlock()
		<-ctx.Done()
		return ReleaseAnswer{Result: assigner.CallFailed}, ctx.Err()
	}
	defer w.mu.Unlock()
	if err != nil {
		return ReleaseAnswer{Result: assigner.CallRefused}, err
	}
	for _, k := range keysOf(r) {
		s.seen[k], s.until[k] = max(s.seen[k], r.Fence), time.Time{}
	}
	return ReleaseAnswer{Result: assigner.CallOK, Handover: "state", Leaving: s.leaving || s.leavingInReleases}, nil
}

// Close implements Backends.
func (w *world) Close() {}

// Close implements Store.
func (s storeOf) Close() {}

// Probe implements Backends.
func (w *world) Probe(ctx context.Context, addr string) error {
	if err := wait.Sleep(ctx, 2*hop); err != nil {
		return err
	}
	w.mu.Lock()
	s, err := w.reach(addr)
	mute := err == nil && s.mute
	w.mu.Unlock()
	if mute {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// peersOf sends messages on behalf of one host.
type peersOf struct {
	w    *world
	from string
}

func (p peersOf) reach(ctx context.Context, addr string) (*Cluster, error) {
	if err := wait.Sleep(ctx, hop); err != nil {
		return nil, err
	}
	if p.w.isSilent(p.from, addr) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	c := p.w.hosts[addr]
	if c == nil || p.w.cutOff[addr] || p.w.cutOff[p.from] {
		return nil, fault.New(fault.DialFailed, "no such host")
	}
	return c, nil
}

// isSilent reports whether messages between two hosts get no answer, because the link
// loses them or the receiving host is paused.
func (w *world) isSilent(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent[link{from, to}] || w.paused[to] != nil
}

// Sync implements Peers.
func (p peersOf) Sync(ctx context.Context, addr string, q *hostlink.SyncRequest) (*hostlink.SyncResponse, error) {
	c, err := p.reach(ctx, addr)
	if err != nil {
		return nil, err
	}
	a, err := c.Sync(ctx, q)
	if err != nil {
		return nil, err
	}
	return copyAnswer(a), wait.Sleep(ctx, hop)
}

// copyAnswer encodes and decodes a response, as between processes.
func copyAnswer(a *hostlink.SyncResponse) *hostlink.SyncResponse {
	data, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	out := &hostlink.SyncResponse{}
	if err := json.Unmarshal(data, out); err != nil {
		panic(err)
	}
	return out
}

// Relay implements Peers.
func (p peersOf) Relay(ctx context.Context, addr string, call *hostlink.RelayRequest) (*hostlink.RelayResponse, error) {
	c, err := p.reach(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c.Relay(ctx, call)
}

// Close implements Peers.
func (p peersOf) Close() {}
