package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
	"github.com/lacewingsaddle/lacewingsaddle/standin/keyserver"
)

const (
	// maxOutstanding limits the number of outstanding requests. Arrivals beyond it
	// are counted as unsent, so that a deployment that does not answer cannot
	// exhaust memory.
	maxOutstanding = 20_000
	// refusedHostCooldown is how long a host that refused a connection gets no
	// requests, as with the platform's load balancer.
	refusedHostCooldown = 500 * time.Millisecond
)

// Standins controls the simulated backend servers and the simulated platform of
// the deployment.
type Standins interface {
	// Apply executes one step of the fault script.
	Apply(ctx context.Context, f Fault) error
	// Ledger returns every request that one server executed.
	Ledger(ctx context.Context, s Server) ([]keyserver.Run, error)
}

// Runner runs one scenario.
type Runner struct {
	Scenario Scenario
	Sender   Sender
	Standins Standins
	// OnStep, if not nil, is called after each step of the fault script.
	OnStep func(at time.Duration, text string)
}

// Run sends the load, runs the fault script, waits for outstanding requests to
// complete and audits the ledgers.
func (r Runner) Run(ctx context.Context) (*Report, error) {
	rec := newRecorder(r.Scenario)
	hosts := &balancer{hosts: r.Scenario.Hosts, downUntil: map[string]time.Time{}}
	sender := &refusalTracker{Sender: r.Sender, hosts: hosts}
	var wg sync.WaitGroup
	wg.Go(func() { r.runFaultScript(ctx, rec) })
	r.sendLoad(ctx, sender, hosts, rec)
	wg.Wait()
	ledgers, err := r.ledgers(ctx)
	if err != nil {
		return nil, err
	}
	return rec.report(ledgers), ctx.Err()
}

// sendLoad sends each request when it is due, regardless of outstanding requests
// (open loop), and returns when all have completed.
func (r Runner) sendLoad(ctx context.Context, s Sender, hosts *balancer, rec *recorder) {
	schedule := newArrivals(r.Scenario)
	slots := make(chan struct{}, maxOutstanding)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		a, ok := schedule.next()
		if !ok || wait.Sleep(ctx, a.due-time.Since(rec.begun)) != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			rec.addUnsent()
			continue
		}
		seed := uint64(schedule.serial)
		wg.Go(func() {
			defer func() { <-slots }()
			rng := rand.New(rand.NewPCG(uint64(r.Scenario.Seed), seed))
			pick := func() string { return hosts.pick(rng) }
			sample := Submit(ctx, s, pick, a.request, r.Scenario.Resubmit)
			rec.add(a, sample)
		})
	}
}

// runFaultScript executes the steps of the fault script at their times. A step
// that fails is recorded with its error, and the script goes on.
func (r Runner) runFaultScript(ctx context.Context, rec *recorder) {
	for _, f := range r.Scenario.Faults {
		if wait.Sleep(ctx, f.At-time.Since(rec.begun)) != nil {
			return
		}
		text := f.String()
		if f.Instruction == "" {
			if err := r.Standins.Apply(ctx, f); err != nil {
				text += ": " + err.Error()
			}
		}
		at := time.Since(rec.begun)
		rec.addStep(at, text)
		if r.OnStep != nil {
			r.OnStep(at, text)
		}
	}
}

// String describes the step for people.
func (f Fault) String() string {
	switch {
	case f.Instruction != "":
		return "to do by hand: " + f.Instruction
	case f.Platform != nil:
		return "platform faults change"
	default:
		return f.Action + " " + f.Server
	}
}

func (r Runner) ledgers(ctx context.Context) ([]Ledger, error) {
	var out []Ledger
	for _, service := range r.Scenario.Services {
		l := Ledger{Keyed: service.Keyed}
		for _, s := range service.Servers {
			runs, err := r.Standins.Ledger(ctx, s)
			if err != nil {
				return nil, err
			}
			l.Runs = append(l.Runs, runs...)
		}
		out = append(out, l)
	}
	return out, nil
}

// balancer picks a random entry host, avoiding those that recently refused a
// connection.
type balancer struct {
	hosts     []string
	mu        sync.Mutex
	downUntil map[string]time.Time
}

func (b *balancer) pick(rng *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var up []string
	for _, h := range b.hosts {
		if !now.Before(b.downUntil[h]) {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		up = b.hosts
	}
	return up[rng.IntN(len(up))]
}

func (b *balancer) markDown(host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.downUntil[host] = time.Now().Add(refusedHostCooldown)
}

// refusalTracker is a Sender that reports refused connections to the balancer.
type refusalTracker struct {
	Sender
	hosts *balancer
}

// Send implements Sender.
func (s *refusalTracker) Send(ctx context.Context, addr string, r Request) Result {
	result := s.Sender.Send(ctx, addr, r)
	if result.Refused {
		s.hosts.markDown(addr)
	}
	return result
}
