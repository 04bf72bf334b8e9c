package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

const (
	callersHost = "shop.example"
	// callTime is a request's deadline.
	callTime = 3 * time.Second
	// pauseMost bounds the pause between a client's requests.
	pauseMost = 40 * time.Millisecond
	// hotKeys is the number of neighbouring keys that get half of the requests.
	hotKeys = 12
)

// client sends one request after the other over connections that it keeps, until
// the host's process is gone.
type client struct {
	w     *world
	rand  *rand.Rand
	http  *http.Client
	mu    sync.Mutex
	known map[string]int // newest version that each process of a host has served
}

func newClient(w *world, i int) *client {
	return &client{
		w:     w,
		rand:  rand.New(rand.NewPCG(w.cfg.Seed, uint64(i)+100)),
		http:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: callTime + time.Second},
		known: map[string]int{},
	}
}

func (c *client) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.call(c.w.hosts[c.rand.IntN(len(c.w.hosts))])
		time.Sleep(time.Duration(c.rand.Int64N(int64(pauseMost))))
	}
}

func (c *client) key() int {
	if c.rand.IntN(2) == 0 {
		return 30000 + c.rand.IntN(hotKeys)
	}
	return c.rand.IntN(65536)
}

// attempt is one request on its way.
type attempt struct {
	id      string
	host    *host
	process string // of the host, when the request was sent
	version int
	once    bool
	body    string
	began   time.Time
	newest  int // version in force for a while when the request was sent
}

// call sends one request and checks its answer. It goes on when its caller's time
// is over, so that an answer is never mistaken for none.
func (c *client) call(h *host) {
	a := attempt{
		id:      c.w.ledger.newID("r"),
		host:    h,
		process: fmt.Sprint(h.name, "/", h.run.Load()),
		version: c.w.config.anyVersion(c.rand),
		once:    c.rand.IntN(3) > 0,
		began:   time.Now(),
	}
	path := fmt.Sprintf("/look/v%d/x", a.version)
	if a.once {
		path = fmt.Sprintf("/book/v%d/x", a.version)
		a.body = "body of " + a.id
	}
	a.newest = c.w.config.appliedBefore(a.began)
	req, err := http.NewRequest(http.MethodPost, "http://"+h.callers.Address()+path, strings.NewReader(a.body))
	if err != nil {
		c.w.violate("SOAK", "build a request: %v", err)
		return
	}
	req.GetBody = nil // the client's library must not repeat it
	req.Host = callersHost
	platformtest.SetRequestHeaders(req.Header, a.id, c.key(), callTime)
	resp, err := c.http.Do(req)
	if err != nil {
		c.lost(a, err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.check(a, resp, string(body), err)
}

// lost handles a request without an answer. Around a planned stop, with nothing else
// harmed, a request that a server ran must be answered.
func (c *client) lost(a attempt, err error) {
	c.w.sent(false)
	c.w.ledger.answered(answer{id: a.id, once: a.once})
	leaving := a.host.leavingSince()
	if leaving.IsZero() || time.Since(a.began) > callTime {
		return
	}
	if !c.w.calm(time.Now(), c.w.everything()...) {
		return
	}
	for _, s := range c.w.servers {
		if life := s.current(); life != nil && life.Runs(a.id) > 0 {
			c.w.violate("LOST", "%s ran at %s and %s, which was stopping, closed its connection: %v", a.id, s.id, a.host.name, err)
		}
	}
}

// check compares an answer with the promises.
func (c *client) check(a attempt, resp *http.Response, body string, err error) {
	served := resp.StatusCode == http.StatusOK && err == nil
	c.w.sent(served)
	promised := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	c.w.ledger.answered(answer{id: a.id, once: a.once, promised: promised})
	if id := platformtest.ResponseRequestID(resp.Header); id != "" && id != a.id {
		c.w.violate("MIXED", "%s got the answer to %s", a.id, id)
	}
	if promised && resp.Header.Get("Retry-After") == "" {
		c.w.violate("REFUSED", "%s was refused without a time to come back", a.id)
	}
	if served {
		if body != platformtest.ResponseBody(platformtest.AnsweredBy(resp.Header), a.id, a.body) {
			c.w.violate("MIXED", "%s was answered %q", a.id, body)
		}
	}
	c.checkVersion(a, resp.StatusCode)
}

// checkVersion checks that a configuration is in force in time and stays so. Paths
// of older versions stay valid.
func (c *client) checkVersion(a attempt, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch status {
	case http.StatusOK:
		c.known[a.process] = max(c.known[a.process], a.version)
	case http.StatusNotFound:
		if a.version <= c.known[a.process] {
			c.w.violate("CONFIG", "%s denied version %d after it had served version %d", a.process, a.version, c.known[a.process])
		}
		if a.version <= a.newest && c.w.calm(a.began, "store", a.host.name) {
			c.w.violate("CONFIG", "%s denied version %d, in force for more than %v", a.process, a.version, applyTime)
		}
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden:
		c.w.violate("DENIED", "%s got status %d", a.id, status)
	}
}

func (w *world) sent(served bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report.Requests++
	if served {
		w.report.Served++
	}
}

// everything names all subjects of faults but planned stops.
func (w *world) everything() []string {
	out := []string{"store"}
	for _, h := range w.hosts {
		out = append(out, h.name)
	}
	for _, s := range w.servers {
		out = append(out, s.id)
	}
	return out
}
