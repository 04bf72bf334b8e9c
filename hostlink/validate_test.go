package hostlink

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func validSync() *SyncRequest {
	return &SyncRequest{
		From:   assigner.Host{Name: "a", Incarnation: "1", Peer: "127.0.0.1:7000"},
		WaitMS: 150,
		Report: assigner.Report{
			Keys:      []assigner.KeyLoad{{Service: "stock", Key: 7, Count: 1}},
			Latencies: []assigner.ServerLatency{{ID: "s1", Millis: 20}},
			Refused:   []keyrange.Holder{{ID: "s1", StartedMS: 1}},
			Leaving:   []keyrange.Holder{{ID: "s1", StartedMS: 1}},
			Full:      []assigner.FullServer{{Holder: keyrange.Holder{ID: "s1", StartedMS: 1}, ForMS: 1000}},
		},
	}
}

func validRelay() *RelayRequest {
	return &RelayRequest{
		From: assigner.Host{Name: "a"}, Epoch: 3, Address: "127.0.0.1:80", HoldMS: 2500, LimitMS: 200,
		Range: keyrange.Range{From: 1, To: 2, Owner: keyrange.Holder{ID: "s1"}, Fence: 9},
	}
}

func validServer(id string) directory.Server {
	return directory.Server{Holder: keyrange.Holder{ID: id, StartedMS: 1}, Service: "stock", Address: "127.0.0.1:80", Slots: 3, State: directory.Ready}
}

// Each value that a sound host never sends is rejected when the message is decoded.
func TestInvalidMessagesAreRejected(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	sync := func(f func(q *SyncRequest)) message { q := validSync(); f(q); return q }
	relay := func(f func(c *RelayRequest)) message { c := validRelay(); f(c); return c }
	servers := func(list ...directory.Server) message {
		return &SyncResponse{Servers: &directory.Snapshot{Servers: list}}
	}
	server := func(f func(v *directory.Server)) message { v := validServer("a"); f(&v); return servers(v) }
	cases := map[string]message{
		"no sender":                       sync(func(q *SyncRequest) { q.From.Name = "" }),
		"a sender without an address":     sync(func(q *SyncRequest) { q.From.Peer = "" }),
		"a sender's address with a name":  sync(func(q *SyncRequest) { q.From.Peer = "example:80" }),
		"a long name":                     sync(func(q *SyncRequest) { q.From.Name = long }),
		"a negative wait":                 sync(func(q *SyncRequest) { q.WaitMS = -1 }),
		"a wait without end":              sync(func(q *SyncRequest) { q.WaitMS = 1 << 40 }),
		"a negative count":                sync(func(q *SyncRequest) { q.Report.Keys[0].Count = -5 }),
		"a huge count":                    sync(func(q *SyncRequest) { q.Report.Keys[0].Count = 1 << 40 }),
		"a negative response time":        sync(func(q *SyncRequest) { q.Report.Latencies[0].Millis = -1 }),
		"a refusal of no server":          sync(func(q *SyncRequest) { q.Report.Refused[0].ID = "" }),
		"a leaving server without an id":  sync(func(q *SyncRequest) { q.Report.Leaving[0].ID = "" }),
		"too many leaving servers":        sync(func(q *SyncRequest) { q.Report.Leaving = make([]keyrange.Holder, maxEntries+1) }),
		"a full server without an id":     sync(func(q *SyncRequest) { q.Report.Full[0].Holder.ID = "" }),
		"a full server without a time":    sync(func(q *SyncRequest) { q.Report.Full[0].ForMS = 0 }),
		"a full server of negative time":  sync(func(q *SyncRequest) { q.Report.Full[0].ForMS = -1 }),
		"a full server without an end":    sync(func(q *SyncRequest) { q.Report.Full[0].ForMS = 1 << 62 }),
		"too many full servers":           sync(func(q *SyncRequest) { q.Report.Full = slices.Repeat(q.Report.Full, maxEntries+1) }),
		"a list without a digest":         &SyncResponse{Leaving: &LeavingList{}},
		"a listed server without an id":   &SyncResponse{Leaving: &LeavingList{Digest: 1, Servers: make([]keyrange.Holder, 1)}},
		"a list without an end":           &SyncResponse{Leaving: &LeavingList{Digest: 1, Servers: slices.Repeat([]keyrange.Holder{{ID: "a"}}, maxEntries+1)}},
		"too many keys":                   sync(func(q *SyncRequest) { q.Report.Keys = make([]assigner.KeyLoad, maxEntries+1) }),
		"a relay without an epoch":        relay(func(c *RelayRequest) { c.Epoch = 0 }),
		"a relay without a sender":        relay(func(c *RelayRequest) { c.From.Name = "" }),
		"a relay without a token":         relay(func(c *RelayRequest) { c.Range.Fence = 0 }),
		"a relay of an inverted range":    relay(func(c *RelayRequest) { c.Range.From, c.Range.To = 5, 4 }),
		"a relayed grant without time":    relay(func(c *RelayRequest) { c.HoldMS = 0 }),
		"a relayed grant without end":     relay(func(c *RelayRequest) { c.HoldMS = 1 << 50 }),
		"a relay without a time limit":    relay(func(c *RelayRequest) { c.LimitMS = 0 }),
		"a relay with a negative limit":   relay(func(c *RelayRequest) { c.LimitMS = -1 }),
		"a map of half a range":           &SyncResponse{Map: &Map{Tables: []MapTable{{Ranges: []uint32{1, 2}}}}},
		"an owner that is not listed":     &SyncResponse{Map: &Map{Tables: []MapTable{{Ranges: []uint32{0, 1, 4_000_000_000}}}}},
		"servers out of order":            servers(validServer("b"), validServer("a")),
		"a server listed twice":           servers(validServer("a"), validServer("a")),
		"a server without an id":          server(func(v *directory.Server) { v.Holder.ID = "" }),
		"a server without an address":     server(func(v *directory.Server) { v.Address = "" }),
		"a server of an unknown state":    server(func(v *directory.Server) { v.State = "gone" }),
		"a server of negative size":       server(func(v *directory.Server) { v.Slots = -1 }),
		"a change of another server":      &SyncResponse{Changes: &directory.Delta{Changes: []directory.Change{{ID: "b", Server: &directory.Server{}}}}},
		"a host without an address":       &SyncResponse{Hosts: &HostList{Hosts: []assigner.Host{{Name: "a"}}}},
		"a suspect without an address":    &SyncResponse{Suspects: []assigner.Suspect{{Holder: keyrange.Holder{ID: "a"}}}},
		"a share above one":               &SyncResponse{Admission: &assigner.Admission{Limits: []assigner.AdmissionLimit{{HotKey: assigner.HotKey{Service: "a"}, Share: 2}}}},
		"a share of no service":           &SyncResponse{Admission: &assigner.Admission{Limits: []assigner.AdmissionLimit{{Share: 1}}}},
		"a negative number of rejections": sync(func(q *SyncRequest) { q.Report.Rejected = []assigner.ServerCount{{ID: "a", Count: -1}} }),
		"a result that is not listed":     &RelayResponse{Result: 200},
		"a handover token without an end": &RelayResponse{Handover: long},
	}
	for name, m := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, fault.BadMessage, fault.KindOf(m.validate()))
		})
	}
	for _, m := range []message{validSync(), validRelay(), servers(validServer("a"), validServer("b")), &SyncResponse{}, &SyncResponse{Leaving: &LeavingList{Digest: 1, Servers: []keyrange.Holder{{ID: "a"}}}}, &RelayResponse{}} {
		require.NoError(t, m.validate())
	}
}

// fakeHandler answers with functions of the test.
type fakeHandler struct {
	sync  func(*SyncRequest) (*SyncResponse, error)
	relay func(*RelayRequest) (*RelayResponse, error)
}

func (f *fakeHandler) Sync(_ context.Context, q *SyncRequest) (*SyncResponse, error) {
	return f.sync(q)
}

func (f *fakeHandler) Relay(_ context.Context, c *RelayRequest) (*RelayResponse, error) {
	return f.relay(c)
}

// serve serves h on a loopback address and returns a pool and the collected reports.
func serve(t *testing.T, h Handler) (pool *Pool, addr string, reports func() []error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	var mu sync.Mutex
	var list []error
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = Serve(ctx, lis, h, func(err error) { // ends when the test stops it
			mu.Lock()
			list = append(list, err)
			mu.Unlock()
		})
	}()
	pool = NewPool()
	t.Cleanup(func() { pool.Close(); stop(); <-done })
	return pool, lis.Addr().String(), func() []error {
		mu.Lock()
		defer mu.Unlock()
		return list
	}
}

// An invalid message and a handler that panics end that message only, with one report
// each; the next message is answered.
func TestABadMessageEndsOnlyItself(t *testing.T) {
	h := &fakeHandler{
		sync:  func(q *SyncRequest) (*SyncResponse, error) { return &SyncResponse{Epoch: q.Epoch + 1}, nil },
		relay: func(*RelayRequest) (*RelayResponse, error) { panic("unexpected") },
	}
	pool, addr, reports := serve(t, h)
	bad := validSync()
	bad.WaitMS = -1
	_, err := pool.Sync(t.Context(), addr, bad)
	require.Error(t, err)
	_, err = pool.Relay(t.Context(), addr, validRelay())
	require.Error(t, err)
	a, err := pool.Sync(t.Context(), addr, validSync())
	require.NoError(t, err)
	require.Equal(t, uint64(1), a.Epoch)
	require.Len(t, reports(), 2)
	require.Equal(t, fault.BadMessage, fault.KindOf(reports()[0]))
	require.Equal(t, fault.Internal, fault.KindOf(reports()[1]))
}

// A long message is compressed, and reads back the same. One that expands beyond the limit
// is rejected.
func TestCompressedMessages(t *testing.T) {
	var list []directory.Server
	for i := range 900 {
		list = append(list, validServer(fmt.Sprintf("i-%04d", i)))
	}
	a := &SyncResponse{Compress: true, Epoch: 3, Servers: &directory.Snapshot{Next: 9, Servers: list}}
	data, err := codec{}.Marshal(a)
	require.NoError(t, err)
	plain, err := json.Marshal(a)
	require.NoError(t, err)
	require.Less(t, len(data), len(plain)/4)
	b := &SyncResponse{}
	require.NoError(t, codec{}.Unmarshal(data, b))
	require.Equal(t, a.Servers.Servers, b.Servers.Servers)
	uncompressed, err := codec{}.Marshal(&SyncResponse{Epoch: 3, Servers: a.Servers})
	require.NoError(t, err)
	require.Equal(t, plain, uncompressed, "a host of an earlier version reads it")

	var bomb bytes.Buffer
	bomb.WriteByte(compressed)
	w, err := flate.NewWriter(&bomb, flate.BestCompression)
	require.NoError(t, err)
	_, err = w.Write(make([]byte, 2*maxResponseBytes))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	require.Equal(t, fault.BadMessage, fault.KindOf(codec{}.Unmarshal(bomb.Bytes(), b)))
	require.Equal(t, fault.BadMessage, fault.KindOf(codec{}.Unmarshal([]byte{compressed, 7, 7}, b)))
}

// A message beyond the limit is not buffered, in either direction.
func TestLargeMessagesAreRefused(t *testing.T) {
	random := make([]byte, maxResponseBytes+1) // cannot be compressed
	rng := rand.NewChaCha8([32]byte{})
	_, _ = rng.Read(random) // never fails
	big := fmt.Sprintf("%x", random)
	h := &fakeHandler{sync: func(*SyncRequest) (*SyncResponse, error) { return &SyncResponse{Config: []byte(big)}, nil }}
	pool, addr, _ := serve(t, h)
	_, err := pool.Sync(t.Context(), addr, validSync())
	require.Error(t, err)
	large := validSync()
	large.From.Incarnation = big[:maxRequestBytes+1]
	h.sync = func(*SyncRequest) (*SyncResponse, error) { return &SyncResponse{}, nil }
	_, err = pool.Sync(t.Context(), addr, large)
	require.Error(t, err)
	_, err = pool.Sync(t.Context(), addr, validSync())
	require.NoError(t, err)
}

// An invalid response is told apart from a host that does not answer.
func TestInvalidResponse(t *testing.T) {
	h := &fakeHandler{sync: func(*SyncRequest) (*SyncResponse, error) {
		return &SyncResponse{Suspects: []assigner.Suspect{{}}}, nil
	}}
	pool, addr, _ := serve(t, h)
	_, err := pool.Sync(t.Context(), addr, validSync())
	require.Equal(t, fault.BadMessage, fault.KindOf(err))
}

// Bytes that are not of the protocol do not disturb the connections of others.
func TestBytesOfAnotherProtocol(t *testing.T) {
	h := &fakeHandler{sync: func(*SyncRequest) (*SyncResponse, error) { return &SyncResponse{}, nil }}
	pool, addr, _ := serve(t, h)
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", strings.Repeat("\xff", 1000), "\x00"} {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, err = conn.Write([]byte(text))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	_, err := pool.Sync(t.Context(), addr, validSync())
	require.NoError(t, err)
}

func seed(f *testing.F, messages ...any) {
	for _, m := range messages {
		data, err := json.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"from":{"name":"a","peer":"1.1.1.1:1"},"report":{"keys":[{"s":"x","k":65536,"n":1}]}}`))
	f.Add([]byte(`[]`))
	f.Add([]byte{compressed, 0x2b, 0x8e, 0x05, 0x00})
}

// Whatever bytes arrive, decoding either fails with a typed error or yields values
// within the limits.
func FuzzSyncRequest(f *testing.F) {
	seed(f, validSync())
	f.Fuzz(func(t *testing.T, data []byte) {
		q := &SyncRequest{}
		if err := decode(data, q); err != nil {
			require.Equal(t, fault.BadMessage, fault.KindOf(err))
			return
		}
		require.LessOrEqual(t, len(q.Report.Keys), maxEntries)
		require.LessOrEqual(t, time.Duration(q.WaitMS)*time.Millisecond, maxWait)
		require.LessOrEqual(t, len(q.Report.Leaving), maxEntries)
		require.LessOrEqual(t, len(q.Report.Full), maxEntries)
		for _, v := range q.Report.Full {
			require.Positive(t, v.ForMS)
			require.LessOrEqual(t, time.Duration(v.ForMS)*time.Millisecond, assigner.MaxFull)
		}
		for _, k := range q.Report.Keys {
			require.Positive(t, k.Count)
		}
	})
}

// A decoded response can be applied: its map unpacks, and its directory is in order.
func FuzzSyncResponse(f *testing.F) {
	m := PackMap(&keyrange.Map{Tables: []keyrange.Table{{Service: "s", Ranges: []keyrange.Range{{To: 9, Owner: keyrange.Holder{ID: "a"}}}}}})
	seed(f, &SyncResponse{Epoch: 1, Map: m, Servers: &directory.Snapshot{Servers: []directory.Server{validServer("a")}}},
		&SyncResponse{Changes: &directory.Delta{Changes: []directory.Change{{ID: "a"}}}, Hosts: &HostList{Version: 1}},
		&SyncResponse{Leaving: &LeavingList{Digest: 1, Servers: []keyrange.Holder{{ID: "a", StartedMS: 1}}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		a := &SyncResponse{}
		if err := decode(data, a); err != nil {
			require.Equal(t, fault.BadMessage, fault.KindOf(err))
			return
		}
		if a.Map != nil {
			unpacked := a.Map.Unpack()
			require.NotNil(t, unpacked)
			(&keyrange.Map{Tables: []keyrange.Table{{Service: "s"}}}).Apply(unpacked)
		}
		if a.Servers != nil {
			for _, v := range a.Servers.Servers {
				require.NotNil(t, a.Servers.Find(v.Holder.ID))
			}
		}
		if a.Leaving != nil {
			require.NotZero(t, a.Leaving.Digest)
			require.LessOrEqual(t, len(a.Leaving.Servers), maxEntries)
			directory.Leaving{}.With(&directory.Snapshot{}, a.Leaving.Servers)
		}
		if a.Changes != nil {
			(&directory.Snapshot{}).Fold(a.Changes.Changes, a.Changes.Next)
		}
	})
}

// A decoded relay request names a range, a token and bounded times.
func FuzzRelayRequest(f *testing.F) {
	seed(f, validRelay())
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &RelayRequest{}
		if err := decode(data, c); err != nil {
			require.Equal(t, fault.BadMessage, fault.KindOf(err))
			return
		}
		require.LessOrEqual(t, c.Range.From, c.Range.To)
		require.Positive(t, c.Range.Fence)
		require.LessOrEqual(t, time.Duration(c.LimitMS)*time.Millisecond, maxWait)
	})
}
