// Package hostlink carries messages between entry hosts over drpc. A host reports its
// load to the assigner and requests what is newer than the state it has. The assigner
// holds the request until it has updates to return or the requested wait is over.
package hostlink

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// Names of the RPC methods.
const (
	syncMethod  = "/lacewingsaddle.hostlink.Hosts/Sync"
	relayMethod = "/lacewingsaddle.hostlink.Hosts/Relay"
)

// dialTimeout bounds the time to open a connection to another host.
const dialTimeout = 400 * time.Millisecond

// SyncRequest describes the state that a host has, and carries its report.
type SyncRequest struct {
	From  assigner.Host    `json:"from"`
	Epoch uint64           `json:"epoch"`
	Map   keyrange.Version `json:"map"`
	// Servers is the version of the known directory, the zero version if none is
	// known.
	Servers directory.Version `json:"servers"`
	Config  uint64            `json:"config"` // version of the known configuration
	Hosts   uint64            `json:"hosts"`  // version of the known list of hosts
	// Admission is the version of the known limits on admission.
	Admission  keyrange.Version `json:"admission"`
	Report     assigner.Report  `json:"report"`
	ProbeRound uint64           `json:"asked"` // last known probe round
	// Leaving is the digest of the last received list of leaving servers; 0 is sent by
	// hosts of earlier versions, which do not read that list.
	Leaving uint64 `json:"leaving,omitempty"`
	// Compressed tells that this host reads compressed responses, which hosts of
	// earlier versions do not.
	Compressed bool `json:"compressed,omitempty"`
	// WaitMS is how long the response may be delayed while there are no updates, in
	// milliseconds.
	WaitMS int `json:"wait"`
}

// SyncResponse holds what the responding host has that is newer. It is not changed once
// it has been sent, and may be sent to several hosts.
type SyncResponse struct {
	// Compress is set if the requesting host reads compressed messages.
	Compress bool `json:"-"`
	encoded  encoded

	Epoch    uint64        `json:"epoch"`
	Assigner assigner.Host `json:"assigner"` // as known to the responding host
	Leads    bool          `json:"leads"`    // the responding host is the assigner and may act as such
	// Abandoned requests a takeover: the assigner is stopping or has lost the store.
	Abandoned bool                `json:"abandoned,omitempty"`
	Map       *Map                `json:"map,omitempty"`
	Servers   *directory.Snapshot `json:"servers,omitempty"`
	// Changes replaces Servers if the changes to the requester's directory are enough.
	Changes    *directory.Delta    `json:"changes,omitempty"`
	Hosts      *HostList           `json:"hosts,omitempty"`
	Admission  *assigner.Admission `json:"admission,omitempty"`
	Leaving    *LeavingList        `json:"leaving,omitempty"`
	Config     []byte              `json:"config,omitempty"` // as stored
	Suspects   []assigner.Suspect  `json:"suspects,omitempty"`
	ProbeRound uint64              `json:"asked,omitempty"`
}

// HostList holds the entry hosts that registered after the requested version, and the
// version of the list that includes them.
type HostList struct {
	Version uint64          `json:"version"`
	Hosts   []assigner.Host `json:"hosts"`
}

// LeavingList holds the listed servers that have answered that they leave. It is also
// sent by a host that does not lead, so that hosts learn it while no host can.
type LeavingList struct {
	Digest  uint64            `json:"digest"` // of the list
	Servers []keyrange.Holder `json:"servers,omitempty"`
}

// RelayRequest asks another host to make a grant or release, because the assigner
// cannot reach the server.
type RelayRequest struct {
	From     assigner.Host  `json:"from"`  // the assigner
	Epoch    uint64         `json:"epoch"` // the epoch under which it acts
	Address  string         `json:"address"`
	Range    keyrange.Range `json:"range"`
	Release  bool           `json:"release"`
	HoldMS   int64          `json:"hold_ms,omitempty"`
	Handover string         `json:"handover,omitempty"`
	LimitMS  int64          `json:"limit_ms"` // time limit of the call
}

// RelayResponse is the result of the relayed call.
type RelayResponse struct {
	Result   assigner.CallResult `json:"result"`
	Handover string              `json:"handover,omitempty"`
}

// Handler answers the requests of other hosts.
type Handler interface {
	Sync(ctx context.Context, q *SyncRequest) (*SyncResponse, error)
	Relay(ctx context.Context, c *RelayRequest) (*RelayResponse, error)
}

// description registers Handler with a drpc mux.
type description struct{ report func(error) }

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 2 }

// Method implements drpc.Description.
func (d description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		receive := func(srv any, ctx context.Context, in1, _ any) (out drpc.Message, err error) {
			defer d.contain(&err)
			return srv.(Handler).Sync(ctx, in1.(*SyncRequest))
		}
		return syncMethod, codec(d), receive, Handler.Sync, true
	case 1:
		receive := func(srv any, ctx context.Context, in1, _ any) (out drpc.Message, err error) {
			defer d.contain(&err)
			return srv.(Handler).Relay(ctx, in1.(*RelayRequest))
		}
		return relayMethod, codec(d), receive, Handler.Relay, true
	}
	return "", nil, nil, nil, false
}

// contain turns a handler's panic into the error of its message, so that one message
// does not end the process.
func (d description) contain(err *error) {
	if v := recover(); v != nil {
		*err = fault.Newf(fault.Internal, "panic while a message was handled: %v", v)
		d.report(*err)
	}
}

// Serve answers requests on a listener until ctx ends. It calls report with each
// message that is invalid or whose handler panicked.
func Serve(ctx context.Context, lis net.Listener, h Handler, report func(error)) error {
	mux := drpcmux.New()
	if err := mux.Register(h, description{report}); err != nil {
		return fault.Wrap(fault.Internal, err, "register the host link")
	}
	options := drpcserver.Options{Manager: managerOptions(maxRequestBytes)}
	return drpcserver.NewWithOptions(mux, options).Serve(ctx, lis)
}

// managerOptions bounds the size of a received message.
func managerOptions(bytes int) drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: bytes}}
}

// maxIdleConns bounds the idle connections to one host.
const maxIdleConns = 2

// Pool keeps connections to other hosts open. A connection carries one call at a time.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*drpcconn.Conn
}

// NewPool returns a pool without connections.
func NewPool() *Pool { return &Pool{idle: map[string][]*drpcconn.Conn{}} }

// Sync requests what the host at addr has that is newer. An error of kind BadMessage means
// that its response is invalid.
func (p *Pool) Sync(ctx context.Context, addr string, q *SyncRequest) (*SyncResponse, error) {
	out := &SyncResponse{}
	if err := p.invoke(ctx, addr, syncMethod, q, out); err != nil {
		return nil, err
	}
	return out, nil
}

// Relay asks the host at addr to call a backend server. An error of kind DialFailed
// means that the request was not sent.
func (p *Pool) Relay(ctx context.Context, addr string, call *RelayRequest) (*RelayResponse, error) {
	out := &RelayResponse{}
	if err := p.invoke(ctx, addr, relayMethod, call, out); err != nil {
		return nil, err
	}
	return out, nil
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		for _, c := range list {
			_ = c.Close() // no call uses it
		}
		delete(p.idle, addr)
	}
}

func (p *Pool) invoke(ctx context.Context, addr, method string, in, out drpc.Message) error {
	conn, err := p.conn(ctx, addr)
	if err != nil {
		return fault.Wrap(fault.DialFailed, err, "connect to an entry host")
	}
	if err := conn.Invoke(ctx, method, codec{}, in, out); err != nil {
		_ = conn.Close() // the caller gets the error of the call
		if fault.KindOf(err) == fault.BadMessage {
			return err
		}
		return fault.Wrap(fault.PeerUnavailable, err, "call an entry host")
	}
	p.putIdle(addr, conn)
	return nil
}

func (p *Pool) conn(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	for {
		c := p.popIdle(addr)
		if c == nil {
			break
		}
		select {
		case <-c.Closed():
		default:
			return c, nil
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions(maxResponseBytes)}), nil
}

func (p *Pool) popIdle(addr string) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) putIdle(addr string, c *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= maxIdleConns {
		_ = c.Close() // the pool is full
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}
