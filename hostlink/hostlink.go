// Package hostlink carries messages between entry hosts over drpc. A host asks
// the assigner for what is newer than it knows and tells its load; the question
// waits at the assigner until there is something to tell or its time is over.
package hostlink

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/lacewingsaddle/lacewingsaddle/assigner"
	"github.com/lacewingsaddle/lacewingsaddle/directory"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/keyrange"
)

// Names of the methods.
const (
	syncMethod  = "/lacewingsaddle.hostlink.Hosts/Sync"
	relayMethod = "/lacewingsaddle.hostlink.Hosts/Relay"
)

// dialTimeout bounds opening a connection to another host.
const dialTimeout = 400 * time.Millisecond

// Question is what a host knows and saw.
type Question struct {
	From    assigner.Host    `json:"from"`
	Epoch   uint64           `json:"epoch"`
	Map     keyrange.Version `json:"map"`
	Servers uint64           `json:"servers"` // Snapshot.Changed of the known directory
	Config  uint64           `json:"config"`  // version of the known configuration
	Report  assigner.Report  `json:"report"`
	Asked   uint64           `json:"asked"` // number of the last question about suspects
	// Wait is how long the answer may wait for news, in milliseconds.
	Wait int `json:"wait"`
}

// Answer is what the asked host knows better.
type Answer struct {
	Epoch    uint64        `json:"epoch"`
	Assigner assigner.Host `json:"assigner"` // as the asked host knows it
	Leads    bool          `json:"leads"`    // the asked host is the assigner and may act
	// Abandoned asks others to take over: the assigner stops or has lost the store.
	Abandoned bool                `json:"abandoned,omitempty"`
	Map       *keyrange.Map       `json:"map,omitempty"`
	Servers   *directory.Snapshot `json:"servers,omitempty"`
	Config    []byte              `json:"config,omitempty"` // as the store keeps it
	Suspects  []assigner.Suspect  `json:"suspects,omitempty"`
	Asked     uint64              `json:"asked,omitempty"`
}

// Call is a grant or a release that another host makes, because the assigner
// cannot reach the server.
type Call struct {
	Address  string         `json:"address"`
	Range    keyrange.Range `json:"range"`
	Release  bool           `json:"release"`
	HoldMS   int64          `json:"hold_ms,omitempty"`
	Handover string         `json:"handover,omitempty"`
	LimitMS  int64          `json:"limit_ms"` // how long it may take
}

// CallAnswer is how it ended.
type CallAnswer struct {
	Result   assigner.CallResult `json:"result"`
	Handover string              `json:"handover,omitempty"`
}

// Handler answers questions.
type Handler interface {
	Sync(ctx context.Context, q *Question) (*Answer, error)
	Relay(ctx context.Context, c *Call) (*CallAnswer, error)
}

// codec writes messages as JSON.
type codec struct{}

// Marshal implements drpc.Encoding.
func (codec) Marshal(msg drpc.Message) ([]byte, error) { return json.Marshal(msg) }

// Unmarshal implements drpc.Encoding.
func (codec) Unmarshal(buf []byte, msg drpc.Message) error { return json.Unmarshal(buf, msg) }

// description registers Handler with a drpc mux.
type description struct{}

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 2 }

// Method implements drpc.Description.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		receive := func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
			return srv.(Handler).Sync(ctx, in1.(*Question))
		}
		return syncMethod, codec{}, receive, Handler.Sync, true
	case 1:
		receive := func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
			return srv.(Handler).Relay(ctx, in1.(*Call))
		}
		return relayMethod, codec{}, receive, Handler.Relay, true
	}
	return "", nil, nil, nil, false
}

// Serve answers questions on a listener until ctx ends.
func Serve(ctx context.Context, lis net.Listener, h Handler) error {
	mux := drpcmux.New()
	if err := mux.Register(h, description{}); err != nil {
		return fault.Wrap(fault.Internal, err, "register the host link")
	}
	return drpcserver.New(mux).Serve(ctx, lis)
}

// Client asks one host at a time. It keeps the connection to the last one.
type Client struct {
	mu   sync.Mutex
	addr string
	conn *drpcconn.Conn
}

// Sync asks the host at addr. After an error the connection is dropped.
func (c *Client) Sync(ctx context.Context, addr string, q *Question) (*Answer, error) {
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return nil, fault.Wrap(fault.PeerUnavailable, err, "connect to an entry host")
	}
	out := &Answer{}
	if err := conn.Invoke(ctx, syncMethod, codec{}, q, out); err != nil {
		c.drop(conn)
		return nil, fault.Wrap(fault.PeerUnavailable, err, "ask an entry host")
	}
	return out, nil
}

// Relay asks the host at addr to call a backend server.
func (c *Client) Relay(ctx context.Context, addr string, call *Call) (*CallAnswer, error) {
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return nil, fault.Wrap(fault.PeerUnavailable, err, "connect to an entry host")
	}
	out := &CallAnswer{}
	if err := conn.Invoke(ctx, relayMethod, codec{}, call, out); err != nil {
		c.drop(conn)
		return nil, fault.Wrap(fault.PeerUnavailable, err, "ask an entry host to call a backend server")
	}
	return out, nil
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close() // no call is outstanding
		c.conn = nil
	}
}

func (c *Client) connect(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.addr == addr {
		select {
		case <-c.conn.Closed():
		default:
			return c.conn, nil
		}
	}
	if c.conn != nil {
		_ = c.conn.Close() // it failed or leads to another host
		c.conn = nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c.conn, c.addr = drpcconn.New(raw), addr
	return c.conn, nil
}

func (c *Client) drop(conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		_ = conn.Close() // the error of the call has been reported
		c.conn = nil
	}
}
