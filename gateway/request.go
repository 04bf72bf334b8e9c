package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
	"github.com/lacewingsaddle/lacewingsaddle/routetable"
	"github.com/lacewingsaddle/lacewingsaddle/upstream"
)

const (
	// maxBufferedBody is the number of bytes of a body that are read before a
	// request is sent. A request with a longer body streams the rest and is sent at
	// most once.
	maxBufferedBody = 1 << 20
	// maxTimeout bounds the timeout of every request.
	maxTimeout = 60 * time.Second
)

// request is a caller's request and the state of its forwarding.
type request struct {
	in      *http.Request
	out     http.ResponseWriter
	id      string
	route   *routetable.Route
	service *routetable.Service
	key     keyrange.Key
	keyed   bool
	uri     string
	header  http.Header

	body     []byte
	rest     *upload // follows body; nil if body is complete
	length   int64   // -1 when unknown
	bodyRead bool    // body is the whole body

	arrived  time.Time
	queuedAt time.Time // start of the present wait for an owner and the limiter
	deadline time.Time // the earliest of the caller's, the route's and maxTimeout
	ctx      context.Context
	cancel   func()

	config  uint64 // version of the configuration that the route is from
	sampled bool   // all events are logged, also those of a request without trouble

	admitted bool // counted among the admitted requests of a server
	attempts upstream.Attempts
	progress
	// failure is a server's complete error response. It is forwarded to the caller
	// if no later attempt is answered.
	failure *upstream.Response
	// mayHaveRun is set if an attempt ended without proof that it did not run.
	mayHaveRun bool
}

// progress is what the attempts of a request have led to.
type progress struct {
	tried        []string // ids of the backend servers that it was sent to, each once
	lastServer   string   // id of the backend server of the last attempt
	sends        int
	delivered    bool // a byte of it may have reached a server
	restConsumed bool // part of the request's rest may have been read
}

// atMostOnce reports whether the request is not idempotent.
func (q *request) atMostOnce() bool { return q.route.Kind != routetable.Idempotent }

// target is the latency target, or a third of the timeout if the route has none.
// Limits on waiting are shares of it.
func (q *request) target() time.Duration {
	if q.route.Target > 0 {
		return q.route.Target
	}
	return q.route.Timeout / 3
}

// remaining returns the time until the deadline.
func (q *request) remaining() time.Duration { return time.Until(q.deadline) }

// newRequest returns the state of a request that has just arrived.
func (g *Gateway) newRequest(w http.ResponseWriter, r *http.Request) *request {
	q := &request{in: r, out: w, id: r.Header.Get(g.cfg.Headers.RequestID), arrived: time.Now()}
	q.queuedAt = q.arrived
	q.sampled = sampled(q.id)
	return q
}

// accept matches a request to its route and reads its body.
func (g *Gateway) accept(q *request) error {
	r := q.in
	view := g.control.View()
	if view.Routes == nil {
		return fault.New(fault.NotReady, "no configuration has been received yet")
	}
	q.config = view.Routes.Version
	q.uri = requestURI(r)
	path, _, _ := strings.Cut(q.uri, "?")
	q.route = view.Routes.Match(r.Host, path)
	if q.route == nil {
		return fault.Newf(fault.NoService, "no route of version %d matches %s%s", view.Routes.Version, r.Host, path)
	}
	name := g.split.pick(q.route)
	q.service = view.Routes.Service(name)
	if q.service == nil {
		return fault.Newf(fault.NotReady, "the configuration does not declare the service %q", name)
	}
	if err := g.readKey(q); err != nil {
		return err
	}
	if err := g.receiveBody(q, view.Routes.Limits.BodyBytes); err != nil {
		return err
	}
	g.setDeadline(q)
	q.header = endToEnd(r.Header, g.cfg.Headers.Deadline, g.cfg.Headers.Expected)
	g.countRequest(name)
	if q.keyed {
		g.control.AddLoad(name, q.key)
	}
	g.recordAccepted(q)
	return nil
}

// requestURI returns the path and query unchanged, as the caller sent them.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// readKey reads the key of a request to a sharded service.
func (g *Gateway) readKey(q *request) error {
	if !q.service.Sharded {
		return nil
	}
	n, err := strconv.ParseUint(q.in.Header.Get(g.cfg.Headers.Key), 10, 16)
	if err != nil {
		return fault.Wrap(fault.NoKey, err, "the service is sharded, and the request has no valid key")
	}
	q.key, q.keyed = keyrange.Key(n), true
	return nil
}

// receiveBody reads the body. A request whose body ends after this host has begun to
// reject requests is rejected: it has not been sent, and it might not be answered in time.
func (g *Gateway) receiveBody(q *request, limit int64) error {
	stop := context.AfterFunc(g.ended, func() {
		// fails only on a connection that doesn't support it
		_ = http.NewResponseController(q.out).SetReadDeadline(time.Unix(1, 0))
	})
	defer stop()
	err := q.readBody(limit)
	if g.closed.Load() {
		return errStopping()
	}
	return err
}

// errStopping returns the error of a request that arrives too late in a planned stop.
func errStopping() error { return fault.New(fault.NotReady, "this host is stopping") }

// readBody buffers the body, or the first maxBufferedBody bytes of a long one.
func (q *request) readBody(limit int64) error {
	q.length = q.in.ContentLength
	if q.length > limit {
		return errBodyTooLarge(limit)
	}
	if q.length == 0 {
		return nil
	}
	if q.length > 0 && q.length <= maxBufferedBody {
		q.body = make([]byte, q.length)
		if _, err := io.ReadFull(q.in.Body, q.body); err != nil {
			return errUnreadableBody(err)
		}
		q.bodyRead = true
		return nil
	}
	prefix, err := io.ReadAll(io.LimitReader(q.in.Body, min(maxBufferedBody, limit+1)))
	if err != nil {
		return errUnreadableBody(err)
	}
	if int64(len(prefix)) > limit {
		return errBodyTooLarge(limit)
	}
	q.body = prefix
	if len(prefix) < maxBufferedBody {
		q.length = int64(len(prefix))
		q.bodyRead = true
		return nil
	}
	q.rest = &upload{from: q.in.Body, limit: limit, left: limit - maxBufferedBody}
	return nil
}

// setDeadline sets the deadline and the context that ends at it.
func (g *Gateway) setDeadline(q *request) {
	limit := min(q.route.Timeout, maxTimeout)
	if ms, err := strconv.ParseFloat(q.in.Header.Get(g.cfg.Headers.Deadline), 64); err == nil && ms > 0 {
		limit = min(limit, time.Duration(ms*float64(time.Millisecond)))
	}
	q.deadline = q.arrived.Add(limit)
	ctx, cancel := context.WithDeadline(q.in.Context(), q.deadline)
	unwatch := context.AfterFunc(g.ended, cancel)
	q.ctx = ctx
	q.cancel = func() {
		unwatch()
		cancel()
	}
}

// triedBefore reports whether the request was sent to a server.
func (q *request) triedBefore(id string) bool {
	for _, t := range q.tried {
		if t == id {
			return true
		}
	}
	return false
}

// recordAttempt records that the request is sent to a server.
func (q *request) recordAttempt(id string) {
	q.sends++
	q.lastServer = id
	if !q.triedBefore(id) {
		q.tried = append(q.tried, id)
	}
}
