package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
	"github.com/lacewingsaddle/lacewingsaddle/loadgen"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

const (
	// keySegment is the path segment that holds the key in the sample load, counted from 1.
	keySegment   = 2
	keyCount     = 500
	zipfExponent = 1.1
	thinkTime    = 60 * time.Millisecond
)

// resubmit is the callers' policy for sending a request again that did not run.
var resubmit = loadgen.Resubmit{Delay: 60 * time.Millisecond, Within: 5 * time.Second}

// loadRunner sends the sample load of concurrent callers and keeps the results.
type loadRunner struct {
	d       *deployment
	sender  *loadgen.HTTPSender
	lastID  atomic.Int64
	mu      sync.Mutex
	samples []loadgen.Sample
}

func newLoadRunner(d *deployment) *loadRunner {
	dial := delayedDial(func(string) time.Duration { return d.shape.ClientDelay })
	return &loadRunner{d: d, sender: loadgen.NewHTTPSender(loadgen.Dial(dial))}
}

// run has the callers send requests until ctx ends and waits for their last answers.
func (l *loadRunner) run(ctx context.Context, callers int) {
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { l.runCaller(ctx, rand.New(rand.NewPCG(uint64(i), 1))) })
	}
	wg.Wait()
	l.sender.Close()
}

func (l *loadRunner) runCaller(ctx context.Context, rng *rand.Rand) {
	zipf := rand.NewZipf(rng, zipfExponent, 8, keyCount-1)
	for ctx.Err() == nil {
		// The end of the load cancels no request: each caller waits for its last answer.
		s := loadgen.Submit(context.Background(), l.sender, func() string { return l.pickHost(rng) }, l.nextRequest(rng, zipf), resubmit)
		l.mu.Lock()
		l.samples = append(l.samples, s)
		l.mu.Unlock()
		_ = wait.Sleep(ctx, time.Duration(rng.Int64N(int64(2*thinkTime))))
	}
}

// nextRequest chooses the next request at random: seven in ten are lookups.
func (l *loadRunner) nextRequest(rng *rand.Rand, zipf *rand.Zipf) loadgen.Request {
	target := l.d.shape.Services[rng.IntN(len(l.d.shape.Services))]
	prefix := l.d.prefix(target.Service)
	key := fmt.Sprintf("item-%d", zipf.Uint64())
	id := l.lastID.Add(1)
	switch n := rng.IntN(10); {
	case n < 7:
		return loadgen.Request{Kind: profile.Lookup, Path: fmt.Sprintf("%s/%s/%d", prefix, key, id)}
	case n < 9 || target.UploadPath == "":
		return loadgen.Request{Kind: profile.Order, Path: fmt.Sprintf("%s/%s/%d", prefix, key, id)}
	default:
		return loadgen.Request{Kind: profile.Upload, Path: fmt.Sprintf("%s%s/%s/%d", prefix, target.UploadPath, key, id)}
	}
}

// pickHost chooses an entry host at random, as the platform's load balancer would.
func (l *loadRunner) pickHost(rng *rand.Rand) string {
	hosts := l.d.live()
	return hosts[rng.IntN(len(hosts))].Settings.Listen
}

func (d *deployment) prefix(service string) string {
	for _, s := range d.services {
		if s.Name == service {
			return s.PathPrefix
		}
	}
	return ""
}
