package detect

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"
)

const (
	tickInterval        = 20 * time.Millisecond
	hostListInterval    = 5 * time.Second
	maxProbeAnswerBytes = 64 << 10
	// Jitter adds at most 1/jitterDivisor of the probe interval.
	jitterDivisor = 4
)

// Config holds the settings and dependencies of a Monitor.
type Config struct {
	// Now returns a monotonic time above 0.
	Now func() time.Duration
	// Targets returns the servers to watch and a version that changes when they do.
	Targets func() (targets []Target, version uint64)
	// InFlight returns the number of requests outstanding at a server; may be nil.
	InFlight func(k Key) int64
	// Hosts returns the platform's list of live hosts; may be nil.
	Hosts func(ctx context.Context) (live map[string]bool, err error)
	// Transport sends the probes.
	Transport http.RoundTripper
	// ProbesPerSecond is the rate limit of this host's probes.
	ProbesPerSecond float64
	// Seed seeds the random jitter.
	Seed uint64
	// Changed is called, on one goroutine and in order, for every change.
	Changed func(c Change)
}

// DefaultProbesPerSecond is the default rate limit of one host's probes.
const DefaultProbesPerSecond = 100

// Monitor feeds a Detector with observations, sends probes and reports changes.
// It is safe for concurrent use.
type Monitor struct {
	cfg        Config
	mu         sync.Mutex
	detector   *Detector
	version    uint64
	hasTargets bool
	targets    []Target
	limiter    *rate.Limiter
	random     *rand.Rand
	stop       context.CancelFunc
	wait       sync.WaitGroup
}

// NewMonitor returns a monitor that is not yet started.
func NewMonitor(cfg Config) *Monitor {
	if cfg.ProbesPerSecond <= 0 {
		cfg.ProbesPerSecond = DefaultProbesPerSecond
	}
	return &Monitor{
		cfg:      cfg,
		detector: NewDetector(),
		limiter:  rate.NewLimiter(rate.Limit(cfg.ProbesPerSecond), max(int(cfg.ProbesPerSecond/4), 1)),
		random:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
}

// Start starts the goroutines of the monitor. Stop ends them.
func (m *Monitor) Start() {
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	m.wait.Go(func() { m.run(ctx) })
	if m.cfg.Hosts != nil {
		m.wait.Go(func() { m.pollHosts(ctx) })
	}
}

// Stop ends the goroutines and waits for them.
func (m *Monitor) Stop() {
	if m.stop != nil {
		m.stop()
	}
	m.wait.Wait()
}

// Observe implements Observer.
func (m *Monitor) Observe(o Observation) {
	now := m.cfg.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.Observe(now, o)
}

// Alert records that another entry host has found a server doubtful.
func (m *Monitor) Alert(k Key) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.Alert(m.cfg.Now(), k)
}

// Judgement returns the current judgement of a server.
func (m *Monitor) Judgement(k Key) Judgement {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Judgement(k)
}

func (m *Monitor) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changes, probes := m.tick()
		for _, c := range changes {
			m.cfg.Changed(c)
		}
		for _, t := range probes {
			m.wait.Go(func() { m.probe(ctx, t) })
		}
	}
}

// tick updates the detector and returns its changes and the probes that are due.
func (m *Monitor) tick() ([]Change, []Target) {
	now := m.cfg.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateTargets(now)
	for _, t := range m.targets {
		if m.cfg.InFlight != nil {
			m.detector.SetOutstanding(now, t.Key, m.cfg.InFlight(t.Key))
		}
	}
	m.detector.Judge(now)
	probes := m.detector.NextProbes(now, int(m.limiter.Tokens()))
	for range probes {
		m.limiter.Allow()
	}
	for _, t := range probes {
		m.detector.SetJitter(t.Key, m.jitter(t))
	}
	return m.detector.Changes(), probes
}

func (m *Monitor) jitter(t Target) time.Duration {
	return time.Duration(m.random.Int64N(int64(t.Interval/jitterDivisor) + 1))
}

func (m *Monitor) updateTargets(now time.Duration) {
	targets, version := m.cfg.Targets()
	if m.hasTargets && version == m.version {
		return
	}
	m.hasTargets, m.version, m.targets = true, version, targets
	m.detector.SetTargets(now, targets)
}

// probe requests the server's health endpoint once and observes the result. Any
// complete HTTP answer shows that the server is reachable, whatever its status.
func (m *Monitor) probe(ctx context.Context, t Target) {
	ctx, cancel := context.WithTimeout(ctx, max(t.Timeout, t.FailoverAfter))
	defer cancel()
	start := m.cfg.Now()
	result := m.sendProbe(ctx, t)
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	m.Observe(Observation{
		Service: t.Service,
		Server:  t.Server,
		Result:  result,
		Probe:   true,
		Latency: m.cfg.Now() - start,
	})
}

func (m *Monitor) sendProbe(ctx context.Context, t Target) Result {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+t.Path, http.NoBody)
	if err != nil {
		return Unreachable
	}
	resp, err := m.cfg.Transport.RoundTrip(req)
	if err != nil {
		return resultOf(ctx, err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeAnswerBytes)); err != nil {
		return resultOf(ctx, err)
	}
	return Answered
}

func resultOf(ctx context.Context, err error) Result {
	var op *net.OpError
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case errors.As(err, &op) && op.Op == "dial":
		return Unreachable
	case ctx.Err() != nil:
		return Silent
	}
	return Broken
}

func (m *Monitor) pollHosts(ctx context.Context) {
	ticker := time.NewTicker(hostListInterval)
	defer ticker.Stop()
	for {
		live, err := m.cfg.Hosts(ctx)
		if err == nil {
			m.mu.Lock()
			m.detector.SetHosts(live)
			m.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
