package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// span is a range of keys that an upstream was granted, or for which it has seen a fence
// number only: then until is zero.
type span struct {
	from, to uint64
	fence    uint64
	until    time.Time
}

// upstream is a stand-in of a backend server.
type upstream struct {
	world   *world
	id      string
	service string
	sharded bool
	slots   int
	work    func() time.Duration
	// loses reports whether the answer of a request that has run is lost.
	loses func() bool

	address string
	born    int64
	server  *http.Server
	free    chan struct{} // holds one for each free slot

	mu      sync.Mutex
	state   string
	seq     int
	spans   []span
	running map[string]uint64 // keys of the running requests, by request id
	ended   *sync.Cond
}

func (u *upstream) start(address string) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	u.address, u.born, u.state = lis.Addr().String(), time.Now().UnixMilli(), "ready"
	u.running = map[string]uint64{}
	u.ended = sync.NewCond(&u.mu)
	u.free = make(chan struct{}, u.slots)
	for range u.slots {
		u.free <- struct{}{}
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(lis) }() // ends with close
	return nil
}

// entry is the upstream's entry in the store.
func (u *upstream) entry() []byte {
	const form = `{"address":%q,"born":%d,"info":{"service":%q,"config_version":"v1","zone":"amarillo","slots":%d},` +
		`"status":{"state":%q,"seq":%d,"cold_remaining_s":0}}`
	return fmt.Appendf(nil, form, u.address, u.born, u.service, u.slots, u.state, u.seq)
}

// heartbeat writes the entry if what the store has differs in more than seq.
func (u *upstream) heartbeat() {
	u.mu.Lock()
	defer u.mu.Unlock()
	same := u.entry()
	u.seq++
	if string(u.world.entryOf(u.id)) == string(same) {
		u.seq--
		return
	}
	u.world.putEntry(u.id, u.entry())
}

// drain reports that the upstream is draining. It goes on serving.
func (u *upstream) drain() {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.heartbeat()
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Id", u.id)
	if id := r.Header.Get("Request-Id"); id != "" {
		h.Set("Request-Id", id)
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/grant":
		u.call(w, r, u.grant)
	case "/release":
		u.call(w, r, u.release)
	default:
		u.request(w, r)
	}
}

// call is the body of a grant or a release.
type call struct {
	From  uint64  `json:"from"`
	To    uint64  `json:"to"`
	Fence uint64  `json:"fence"`
	HoldS float64 `json:"hold_s"`
}

func (u *upstream) call(w http.ResponseWriter, r *http.Request, f func(http.Header, call) int) {
	var c call
	if !u.sharded || json.NewDecoder(r.Body).Decode(&c) != nil || c.From > c.To || c.To > 65535 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := f(w.Header(), c)
	u.world.record.add("%s %s %d-%d fence %d hold %.1f s: %d", u.id, r.URL.Path, c.From, c.To, c.Fence, c.HoldS, status)
	w.WriteHeader(status)
}

func (u *upstream) grant(_ http.Header, c call) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, s := range u.spans {
		if s.from <= c.To && c.From <= s.to && s.fence > c.Fence {
			return http.StatusConflict
		}
	}
	u.set(span{c.From, c.To, c.Fence, time.Now().Add(time.Duration(c.HoldS * float64(time.Second)))})
	return http.StatusOK
}

func (u *upstream) release(h http.Header, c call) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	var cut []span
	for _, s := range u.spans {
		if s.from <= c.To && c.From <= s.to {
			cut = append(cut, span{max(s.from, c.From), min(s.to, c.To), max(s.fence, c.Fence), time.Time{}})
		}
	}
	u.set(span{c.From, c.To, c.Fence, time.Time{}})
	for _, s := range cut {
		u.set(s)
	}
	for u.isWorkingOn(c) {
		u.ended.Wait()
	}
	h.Set("Handover", fmt.Sprintf("%s-%d-%d", u.id, c.From, c.To))
	return http.StatusOK
}

func (u *upstream) isWorkingOn(c call) bool {
	for _, key := range u.running {
		if c.From <= key && key <= c.To {
			return true
		}
	}
	return false
}

// set replaces the state of the keys of n.
func (u *upstream) set(n span) {
	var out []span
	for _, s := range u.spans {
		if s.to < n.from || s.from > n.to {
			out = append(out, s)
			continue
		}
		if s.from < n.from {
			out = append(out, span{s.from, n.from - 1, s.fence, s.until})
		}
		if s.to > n.to {
			out = append(out, span{n.to + 1, s.to, s.fence, s.until})
		}
	}
	u.spans = append(out, n)
}

// held returns the ranges that are held at present.
func (u *upstream) held(now time.Time) []span {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []span
	for _, s := range u.spans {
		if now.Before(s.until) {
			out = append(out, s)
		}
	}
	return out
}

// begin records that a request begins, or returns false if its key is not held.
func (u *upstream) begin(id string, key uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sharded && !u.holdsNow(key) {
		return false
	}
	u.running[id] = key
	return true
}

func (u *upstream) holdsNow(key uint64) bool {
	now := time.Now()
	for _, s := range u.spans {
		if s.from <= key && key <= s.to && now.Before(s.until) {
			return true
		}
	}
	return false
}

func (u *upstream) end(id string) {
	u.mu.Lock()
	delete(u.running, id)
	u.ended.Broadcast()
	u.mu.Unlock()
}

func (u *upstream) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	body, err := io.ReadAll(r.Body)
	key, keyErr := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 16)
	if err != nil || id == "" || u.sharded && keyErr != nil {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case <-u.free:
		defer func() { u.free <- struct{}{} }()
	case <-r.Context().Done():
		return
	}
	if !u.begin(id, key) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.world.ran(u, id, r.URL.Path, key)
	time.Sleep(u.work())
	u.end(id)
	if u.loses != nil && u.loses() {
		u.world.record.add("%s loses the answer to %s", u.id, id)
		panic(http.ErrAbortHandler)
	}
	text := fmt.Sprintf("%s ran %s %d bytes", u.id, id, len(body))
	w.Header().Set("Upstream-Signature", u.id+"."+id)
	_, _ = io.WriteString(w, text) // the host may have disconnected
}
