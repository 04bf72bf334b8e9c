package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

const (
	requestHost = "shop.example"
	// callTimeout is the deadline that a caller gives its request.
	callTimeout = 3 * time.Second
	// maxPause bounds the pause between a client's requests.
	maxPause = 40 * time.Millisecond
	// hotKeyCount is the number of neighbouring keys that get half of the requests.
	hotKeyCount = 12
)

// client sends requests one at a time to randomly chosen hosts, over kept-alive
// connections.
type client struct {
	w    *world
	rand *rand.Rand
	// direct makes it connect to hosts themselves, not to their proxies. It can tell a
	// refused connection from one that the host closed.
	direct       bool
	http         *http.Client
	mu           sync.Mutex
	newestServed map[string]int // by process of a host: the newest version that it has served
}

// newClient returns the i-th client. Every other one connects directly.
func newClient(w *world, i int) *client {
	c := newDirectClient(w, i)
	c.direct = i%2 == 1
	return c
}

// newDirectClient returns the i-th client, which connects to hosts themselves.
func newDirectClient(w *world, i int) *client {
	return &client{
		w:            w,
		rand:         rand.New(rand.NewPCG(w.cfg.Seed, uint64(i)+100)),
		direct:       true,
		http:         &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: callTimeout + time.Second},
		newestServed: map[string]int{},
	}
}

func (c *client) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.call(c.w.hosts[c.rand.IntN(len(c.w.hosts))])
		time.Sleep(time.Duration(c.rand.Int64N(int64(maxPause))))
	}
}

func (c *client) key() int {
	if c.rand.IntN(2) == 0 {
		return 30000 + c.rand.IntN(hotKeyCount)
	}
	return c.rand.IntN(65536)
}

// attempt is one request that was sent.
type attempt struct {
	id         string
	host       *host
	launch     int64  // number of the host's process when the request was sent
	process    string // its name
	direct     bool   // not through the proxy
	version    int
	atMostOnce bool
	body       string
	sentAt     time.Time
	required   int // newest version that had to be in force when the request was sent
	// connectedAt is when a new connection was opened for it, wroteAt when its last byte
	// was sent, both in Unix ns; 0 for not at all.
	connectedAt atomic.Int64
	wroteAt     atomic.Int64
}

// call sends one request and checks its answer. The HTTP client waits longer than
// the caller's deadline, so that a late answer is not counted as a missing one.
func (c *client) call(h *host) {
	a := &attempt{
		id:         c.w.ledger.newID("r"),
		host:       h,
		launch:     h.launches.Load(),
		direct:     c.direct,
		version:    c.w.operator.randomVersion(c.rand),
		atMostOnce: c.rand.IntN(3) > 0,
		sentAt:     time.Now(),
	}
	a.process = processName(h.name, a.launch)
	path := fmt.Sprintf("/look/v%d/x", a.version)
	if a.atMostOnce {
		path = fmt.Sprintf("/book/v%d/x", a.version)
		a.body = "body of " + a.id
	}
	a.required = c.w.operator.requiredVersion(a.sentAt)
	c.w.announcements.requestSent(a)
	req, err := http.NewRequestWithContext(a.trace(), http.MethodPost, "http://"+c.address(h)+path, strings.NewReader(a.body))
	if err != nil {
		c.w.addViolation(ruleSoak, "cannot build a request: %v", err)
		return
	}
	req.GetBody = nil // keeps net/http from retrying the request
	req.Host = requestHost
	platformtest.SetRequestHeaders(req.Header, a.id, c.key(), callTimeout)
	resp, err := c.http.Do(req)
	if err != nil {
		c.checkUnanswered(a, err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.check(a, resp, string(body), err)
}

// trace returns a context that records when the request is sent.
func (a *attempt) trace() context.Context {
	return httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if !info.Reused {
				a.connectedAt.Store(time.Now().UnixNano())
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				a.wroteAt.Store(time.Now().UnixNano())
			}
		},
	})
}

// address returns the address at which the client reaches a host.
func (c *client) address(h *host) string {
	if c.direct {
		return h.trafficAddr
	}
	return h.callerProxy.Address()
}

// checkUnanswered records a request without an answer.
func (c *client) checkUnanswered(a *attempt, err error) {
	c.w.countRequest(a, unknown)
	c.w.ledger.addAnswer(answer{id: a.id, atMostOnce: a.atMostOnce})
	c.w.ledger.addUnanswered(a, err)
}

// check checks an answer against the guarantees.
func (c *client) check(a *attempt, resp *http.Response, body string, err error) {
	if err != nil {
		c.w.ledger.addUnanswered(a, err)
	}
	if server := platformtest.AnsweredBy(resp.Header); server != "" {
		c.w.announcements.responsePassedOn(a, server)
	}
	result := outcomeOf(resp.StatusCode, err)
	c.w.countRequest(a, result)
	c.w.ledger.addAnswer(answer{id: a.id, atMostOnce: a.atMostOnce, outcome: result})
	if id := platformtest.ResponseRequestID(resp.Header); id != "" && id != a.id {
		c.w.addViolation(ruleMixed, "%s got the answer to %s", a.id, id)
	}
	if result == rejected && resp.Header.Get("Retry-After") == "" {
		c.w.addViolation(ruleRefused, "%s was refused without a Retry-After header", a.id)
	}
	if result == served {
		if body != platformtest.ResponseBody(platformtest.AnsweredBy(resp.Header), a.id, a.body) {
			c.w.addViolation(ruleMixed, "%s was answered %q", a.id, body)
		}
	}
	c.checkVersion(a, resp.StatusCode)
}

// checkVersion checks that a configuration takes effect in time and stays in
// effect. Paths of older versions stay valid.
func (c *client) checkVersion(a *attempt, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch status {
	case http.StatusOK:
		c.newestServed[a.process] = max(c.newestServed[a.process], a.version)
	case http.StatusNotFound:
		if a.version <= c.newestServed[a.process] {
			c.w.addViolation(ruleConfig, "%s answered 404 for version %d after it had served version %d", a.process, a.version, c.newestServed[a.process])
		}
		if a.version <= a.required && c.w.undisturbed(a.sentAt, "store", a.host.name) {
			c.w.addViolation(ruleConfig, "%s answered 404 for version %d, published more than %v before", a.process, a.version, applyTime)
		}
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden:
		c.w.addViolation(ruleDenied, "%s got status %d", a.id, status)
	}
}

// outcomeOf returns the outcome of a request from its answer's status, and the error in
// reading the answer.
func outcomeOf(status int, err error) outcome {
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return rejected
	case status == http.StatusOK && err == nil:
		return served
	default:
		return unknown
	}
}

func (w *world) countRequest(a *attempt, result outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report.Requests++
	if result == served {
		w.report.Served++
	}
	if a.atMostOnce {
		w.report.Orders.count(result)
	} else {
		w.report.Lookups.count(result)
	}
}
