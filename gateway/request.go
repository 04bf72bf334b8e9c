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
	// maxBufferedBody bounds the part of a body that is read before a request is sent, in
	// bytes. A request with a longer body is sent only once.
	maxBufferedBody = 1 << 20
	// maxTimeout bounds a request without a deadline of its own.
	maxTimeout = 60 * time.Second
)

// request is a caller's request on its way.
type request struct {
	in      *http.Request
	id      string
	route   *routetable.Route
	service *routetable.Service
	key     keyrange.Key
	keyed   bool
	uri     string
	header  http.Header

	body         []byte
	rest         io.Reader // follows body; nil when body is the whole
	length       int64     // -1 when unknown
	restConsumed bool      // some byte of rest may have been taken

	arrived  time.Time
	queuedAt time.Time // since when it waits for an owner and for room
	deadline time.Time // the earlier of the caller's and the route's
	ctx      context.Context
	cancel   context.CancelFunc

	config  uint64 // version of the configuration that it was matched by
	sampled bool   // every line about it is written

	tried      []string // ids of the backend servers that it was sent to
	lastServer string   // the one of its last send
	sends      int
	// failure is a server's whole answer that says it failed. It is the answer if
	// no later send has one.
	failure *upstream.Response
	// mayHaveRun is set when a send ended without proof that it did not run.
	mayHaveRun bool
}

// atMostOnce reports whether the request may run at most atMostOnce.
func (q *request) atMostOnce() bool { return q.route.Kind != routetable.Idempotent }

// target is the latency target that waiting is measured by.
func (q *request) target() time.Duration {
	if q.route.Target > 0 {
		return q.route.Target
	}
	return q.route.Timeout / 3
}

// remaining returns the time until the deadline.
func (q *request) remaining() time.Duration { return time.Until(q.deadline) }

// accept matches a request to its route and reads its body. The request is
// returned also with an error, for the log.
func (g *Gateway) accept(r *http.Request) (*request, error) {
	q := &request{in: r, id: r.Header.Get(g.cfg.Headers.RequestID), arrived: time.Now()}
	q.queuedAt = q.arrived
	q.sampled = sampled(q.id)
	view := g.control.View()
	if g.closed.Load() {
		return q, fault.New(fault.NotReady, "this host is stopping")
	}
	if view.Routes == nil {
		return q, fault.New(fault.NotReady, "no configuration is known yet")
	}
	q.config = view.Routes.Version
	q.uri = requestURI(r)
	path, _, _ := strings.Cut(q.uri, "?")
	q.route = view.Routes.Match(r.Host, path)
	if q.route == nil {
		return q, fault.Newf(fault.NoService, "no route of version %d matches %s%s", view.Routes.Version, r.Host, path)
	}
	name := g.split.pick(q.route)
	q.service = view.Routes.Service(name)
	if q.service == nil {
		return q, fault.Newf(fault.NotReady, "service %q is not declared", name)
	}
	if err := g.readKey(q); err != nil {
		return q, err
	}
	if err := q.readBody(view.Routes.Limits.BodyBytes); err != nil {
		return q, err
	}
	g.setDeadline(q)
	q.header = endToEnd(r.Header, g.cfg.Headers.Deadline, g.cfg.Headers.Expected)
	g.countRequest(name)
	if q.keyed {
		g.control.AddLoad(name, q.key)
	}
	g.recordAccepted(q)
	return q, nil
}

// requestURI returns the path and query as the caller sent them.
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
		return fault.Wrap(fault.NoKey, err, "the service is divided by key, and the request names none")
	}
	q.key, q.keyed = keyrange.Key(n), true
	return nil
}

// readBody reads the body, or the first part of a long one.
func (q *request) readBody(limit int64) error {
	q.length = q.in.ContentLength
	if q.length > limit {
		return fault.Newf(fault.TooLarge, "the body exceeds %d bytes", limit)
	}
	if q.length == 0 {
		return nil
	}
	if q.length > 0 && q.length <= maxBufferedBody {
		q.body = make([]byte, q.length)
		if _, err := io.ReadFull(q.in.Body, q.body); err != nil {
			return fault.Wrap(fault.BadRequest, err, "the body could not be read whole")
		}
		return nil
	}
	held, err := io.ReadAll(io.LimitReader(q.in.Body, maxBufferedBody))
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "the body could not be read whole")
	}
	q.body = held
	if len(held) < maxBufferedBody {
		q.length = int64(len(held))
		return nil
	}
	q.rest = io.LimitReader(q.in.Body, limit-maxBufferedBody+1)
	return nil
}

// setDeadline starts the request's time.
func (g *Gateway) setDeadline(q *request) {
	limit := min(q.route.Timeout, maxTimeout)
	if ms, err := strconv.ParseFloat(q.in.Header.Get(g.cfg.Headers.Deadline), 64); err == nil && ms > 0 {
		limit = min(limit, time.Duration(ms*float64(time.Millisecond)))
	}
	q.deadline = q.arrived.Add(limit)
	q.ctx, q.cancel = context.WithDeadline(q.in.Context(), q.deadline)
}

func (q *request) triedBefore(id string) bool {
	for _, t := range q.tried {
		if t == id {
			return true
		}
	}
	return false
}

func (q *request) recordAttempt(id string) {
	q.sends++
	q.lastServer = id
	if !q.triedBefore(id) {
		q.tried = append(q.tried, id)
	}
}
