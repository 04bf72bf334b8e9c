package routing

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/backend"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

// request is a caller's request with what was read from it.
type request struct {
	id        string
	in        *http.Request
	target    *target
	rule      *profile.Rule
	rest      string // escaped path after the service's prefix
	key       string
	body      []byte // of lookups and orders
	upload    *uploadBody
	deadline  time.Time
	forwarded bool // by another entry host
}

func (q *request) service() string { return q.target.service.Name }

// keyed reports whether the service's keys are divided among its servers.
func (q *request) keyed() bool { return q.target.profile.Key != nil }

// delaysMoves reports whether a move of the key to another server waits until the
// request has ended. A lookup needs no wait when the server checks grants: it has
// no effect, and the server starts none after its grant has expired, which every
// move waits for.
func (q *request) delaysMoves() bool {
	return q.rule.Kind != profile.Lookup || !q.target.service.ChecksGrants
}

// idempotent reports whether the request may run more than once: lookups, and
// orders whose rule says so.
func (q *request) idempotent() bool {
	if q.rule.Kind == profile.Lookup {
		return true
	}
	return q.rule.Kind == profile.Order && q.rule.Idempotent
}

// highPriority reports whether the request is shed last: orders and uploads.
func (q *request) highPriority() bool { return q.rule.Kind != profile.Lookup }

// resendable reports whether the body can be sent again from its start.
func (q *request) resendable() bool { return q.upload == nil || !q.upload.started.Load() }

// match finds the service and the rule. Errors are of kind NoService or BadRequest.
func (q *request) match(m *matcher) error {
	path := q.in.URL.EscapedPath()
	if err := checkPath(path); err != nil {
		return err
	}
	t, rest, ok := m.match(path)
	if !ok {
		return fault.New(fault.NoService, "no service has this path")
	}
	rule, ok := t.rule(q.in.Method, rest)
	if !ok {
		return fault.Newf(fault.NoService, "no rule of profile %q matches", t.profile.Name)
	}
	q.target, q.rule, q.rest = t, rule, rest
	return nil
}

// timeout returns the rule's timeout, or the caller's when that is shorter.
func (q *request) timeout() time.Duration {
	if d, ok := callerTimeout(q.in.Header); ok {
		return min(d, q.rule.Timeout)
	}
	return q.rule.Timeout
}

// readBody buffers the body of a lookup or an order and extracts the key. The
// body of an upload is streamed.
func (q *request) readBody() error {
	if q.rule.Kind == profile.Upload {
		q.upload = &uploadBody{from: q.in.Body}
	} else if err := q.buffer(); err != nil {
		return err
	}
	k := q.target.profile.Key
	if k == nil {
		return nil
	}
	var err error
	q.key, err = extractKey(*k, q.in, q.rest, q.body)
	return err
}

// buffer reads the body into memory. Errors are of kind TooLarge or BadRequest.
func (q *request) buffer() error {
	limit := int64(q.target.profile.Limits.BodyBytes)
	size := q.in.ContentLength
	if size == 0 {
		return nil
	}
	if size > limit {
		return fault.Newf(fault.TooLarge, "the body exceeds %d bytes", limit)
	}
	buf := bytes.NewBuffer(make([]byte, 0, max(size, 0)+bytes.MinRead))
	n, err := buf.ReadFrom(io.LimitReader(q.in.Body, limit+1))
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "the body could not be read to its end")
	}
	if n > limit {
		return fault.Newf(fault.TooLarge, "the body exceeds %d bytes", limit)
	}
	q.body = buf.Bytes()
	return nil
}

// outgoing builds the request for a backend server. The body of a request that
// is not idempotent is never nil and has no GetBody, because http.Transport would
// otherwise send the request again on another connection.
func (q *request) outgoing(d destination) *http.Request {
	url := *q.in.URL
	url.Scheme = "http"
	url.Host = d.server.Spec.Address
	out := &http.Request{
		Method:     q.in.Method,
		URL:        &url,
		Header:     q.outgoingHeader(d),
		Host:       d.server.Spec.Address,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	switch {
	case q.upload != nil:
		out.Body, out.ContentLength = q.upload, q.in.ContentLength
	case len(q.body) > 0 || !q.idempotent():
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(q.body)), int64(len(q.body))
	}
	return out
}

// outgoingHeader returns the headers for a backend server: the caller's
// end-to-end headers, the request id, the time left and the route.
func (q *request) outgoingHeader(d destination) http.Header {
	h := endToEnd(q.in.Header)
	delete(h, "Expect")
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps http.Transport from adding its own
	}
	appendForwarded(h, q.in)
	remaining := max(time.Until(q.deadline).Milliseconds(), 0)
	values := [...]string{q.id, strconv.FormatInt(remaining, 10), "", ""}
	h[HeaderRequestID] = values[0:1:1]
	h[HeaderDeadlineMS] = values[1:2:2]
	if q.keyed() {
		values[2] = strconv.FormatUint(uint64(d.shard), 10)
		values[3] = strconv.FormatUint(uint64(d.route.Token), 10)
		h[HeaderShard] = values[2:3:3]
		h[HeaderToken] = values[3:4:4]
	}
	return h
}

// uploadBody streams a caller's body. It records whether reading has started,
// because the body cannot be sent again after that.
type uploadBody struct {
	from    io.Reader
	started atomic.Bool
}

// Read implements io.Reader.
func (u *uploadBody) Read(p []byte) (int, error) {
	u.started.Store(true)
	return u.from.Read(p)
}

// Close implements io.Closer. The caller's body stays open: it belongs to the
// caller's connection.
func (u *uploadBody) Close() error { return nil }

// server returns the backend server with an id. Errors are of kind NoOwner.
func (q *request) server(id string) (*backend.Server, error) {
	s := q.target.byID[id]
	if s == nil {
		return nil, fault.Newf(fault.NoOwner, "server %q is not declared", id)
	}
	return s, nil
}
