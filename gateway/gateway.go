// Package gateway forwards a caller's request to the backend server that may run
// it and returns the server's complete response.
//
// A request has one of three outcomes, and the response says which: answered; not
// run, and it will not be run later; or unknown. A request is retried only if it
// was not run or is idempotent, within its deadline and a retry budget that all
// hosts share.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
	"github.com/lacewingsaddle/lacewingsaddle/upstream"
)

// Control is the part of the control state that routing reads and reports to.
type Control interface {
	// View returns the current view of routes, servers and owners.
	View() *cluster.View
	// AddLoad counts a request for a key.
	AddLoad(service string, key keyrange.Key)
	// AddResponseTime reports how long a server took to answer a request.
	AddResponseTime(server string, took time.Duration)
	// AddRejected reports that a server shed a request or closed its connection.
	AddRejected(server string)
	// AddRefused reports that a server refused a connection.
	AddRefused(h keyrange.Holder)
	// AddLeaving reports that a server answered that it leaves.
	AddLeaving(h keyrange.Holder)
	// AddFull reports that a server wants no requests from this host until then.
	AddFull(h keyrange.Holder, until time.Time)
	// MapAge returns how long ago an assigner confirmed the map of owners.
	MapAge() time.Duration
}

// Config configures a gateway.
type Config struct {
	Domain  string
	Headers Headers
	Budget  BudgetRule
	Dial    upstream.Dialer // opens connections to backend servers; nil means plain TCP
	// BufferBytes bounds the response bodies that are buffered at the same time; 0
	// means defaultBufferBytes.
	BufferBytes int64
	// Drain is the time after which no request reaches a server that leaves, counted
	// from the first answer that said so; 0 means defaultDrain.
	Drain time.Duration
}

// defaultBufferBytes applies if the host's memory is unknown.
const defaultBufferBytes = 16 << 20

// bufferBytes returns BufferBytes or its default.
func (c Config) bufferBytes() int64 {
	if c.BufferBytes <= 0 {
		return defaultBufferBytes
	}
	return c.BufferBytes
}

// Gateway is an http.Handler for callers' requests.
type Gateway struct {
	cfg     Config
	control Control
	logger  *zap.Logger
	servers *servers
	split   *splitter
	Metrics *Metrics

	standings *standings

	mu      sync.Mutex // guards budgets
	budgets map[string]*budget
	started time.Time

	stopping atomic.Bool
	closed   atomic.Bool // new requests are rejected
	active   *activeRequests
	ended    context.Context // ends with CutOff
	end      context.CancelFunc
}

// New returns a gateway that routes by the views of control.
func New(cfg Config, control Control, logger *zap.Logger) *Gateway {
	ended, end := context.WithCancel(context.Background())
	g := &Gateway{
		ended:   ended,
		end:     end,
		cfg:     cfg,
		control: control,
		logger:  logger.Named("gateway"),
		split:   newSplitter(),
		Metrics: newMetrics(),
		budgets: map[string]*budget{},
		active:  newActiveRequests(),
		started: time.Now(),

		standings: newStandings(cfg.Drain),
	}
	buffers := upstream.NewBuffers(cfg.bufferBytes())
	guardOf := func(h keyrange.Holder) upstream.Guard { return guard{g, h} }
	g.servers = newServers(cfg.Dial, buffers, guardOf)
	return g
}

// Stop makes the gateway close each caller's connection after its next response,
// and Ready return false.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// RejectNew makes the gateway reject new requests, and reports whether it accepted them
// before. Requests in flight are not affected.
func (g *Gateway) RejectNew() bool { return g.closed.CompareAndSwap(false, true) }

// CloseIdle closes the idle connections to backend servers.
func (g *Gateway) CloseIdle() { g.servers.close() }

// Ready reports whether requests can be routed.
func (g *Gateway) Ready() bool {
	v := g.control.View()
	return !g.stopping.Load() && v.Routes != nil && len(v.Servers.Servers) > 0 && v.Owners != nil
}

// Follow applies each directory of backend servers as soon as it is published, until ctx
// ends. Without it a directory is applied with the next request or sweep: the drain time
// of a server would count from then, and requests that wait for the server would go on
// waiting.
func (g *Gateway) Follow(ctx context.Context) {
	for {
		select {
		case <-g.view().Next:
		case <-ctx.Done():
			return
		}
	}
}

// Sweep closes connections that have been idle too long, removes servers that are no
// longer in the directory, and ends judgements on servers whose time is over.
func (g *Gateway) Sweep() {
	g.sweepStandings()
	g.servers.sweep(time.Now(), g.control.View().Servers)
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := g.newRequest(w, r)
	if g.closed.Load() {
		g.refuse(w, q, errStopping())
		return
	}
	g.active.add(q)
	defer g.active.remove(q)
	if err := g.accept(q); err != nil {
		g.refuse(w, q, err)
		return
	}
	defer q.cancel()
	a, err := g.dispatch(q)
	if err != nil {
		g.refuse(w, q, err)
		return
	}
	g.writeResponse(w, q, a)
}

func randomIndex(n int) int { return rand.IntN(n) }
