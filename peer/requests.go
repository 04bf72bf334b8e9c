package peer

import (
	"context"
	"io"
	"net/http"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/lacewingsaddle/lacewingsaddle/claim"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/peer/peerpb"
)

const (
	chunkBytes = 32 << 10
	// requestConnIdle is how long a pooled connection may be idle: after that it may
	// be dead without notice and is not reused.
	requestConnIdle = 3 * time.Second
	connsPerPeer    = 16
	requestConns    = 256
	maxForwards     = 512 // concurrent forwards that this host sends
	maxPeerForwards = 512 // concurrent forwards that this host accepts from peers
	unknownLength   = -1
)

// ForwardRequest is a caller's request to be forwarded to a peer.
type ForwardRequest struct {
	Method string
	URI    string
	Host   string
	Remote string // the caller's address
	Header http.Header
	Length int64     // of Body; -1 when unknown
	Body   io.Reader // nil when there is none
}

// ForwardAnswer is a peer's answer. Body ends with io.EOF only when it is complete.
type ForwardAnswer struct {
	Status int
	Header http.Header
	Length int64
	Body   io.ReadCloser
}

// RequestClient sends callers' requests and claims to peers, over connections
// separate from those of Client. It is safe for concurrent use.
type RequestClient struct {
	dial  Dialer
	pool  *drpcpool.Pool[string, drpcpool.Conn]
	slots chan struct{}
}

// NewRequestClient returns a client. A nil dial means plain TCP.
func NewRequestClient(dial Dialer) *RequestClient {
	if dial == nil {
		dial = dialTCP
	}
	return &RequestClient{
		dial: dial,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  requestConnIdle,
			Capacity:    requestConns,
			KeyCapacity: connsPerPeer,
		}),
		slots: make(chan struct{}, maxForwards),
	}
}

// Close closes every pooled connection.
func (c *RequestClient) Close() { _ = c.pool.Close() }

func (c *RequestClient) connect(ctx context.Context, addr string) (drpcpool.Conn, error) {
	raw, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(raw), nil
}

// Forward sends r through the peer at addr. Errors of kind PeerUnavailable and
// Overloaded mean that the peer did not get the request; after any other error
// the request may have been executed. The caller closes the answer's body.
func (c *RequestClient) Forward(ctx context.Context, addr string, r ForwardRequest) (*ForwardAnswer, error) {
	select {
	case c.slots <- struct{}{}:
	default:
		return nil, fault.New(fault.Overloaded, "too many concurrent forwarded requests to peers")
	}
	ctx, cancel := context.WithCancel(ctx)
	release := func() {
		cancel()
		<-c.slots
	}
	answer, err := c.forward(ctx, addr, r, release)
	if err != nil {
		release()
	}
	return answer, err
}

func (c *RequestClient) forward(ctx context.Context, addr string, r ForwardRequest, release func()) (*ForwardAnswer, error) {
	conn := c.pool.Get(ctx, addr, c.connect)
	stream, err := peerpb.NewDRPCRequestsClient(conn).Forward(ctx)
	if err != nil {
		return nil, fault.Wrap(fault.PeerUnavailable, err, "connect to "+addr)
	}
	// From here on the peer may have received the request.
	if err := stream.Send(&peerpb.ForwardChunk{Head: headOf(r)}); err != nil {
		return nil, forwardFailed(ctx, err)
	}
	go sendBody(stream, r.Body)
	first, err := stream.Recv()
	if err != nil {
		return nil, forwardFailed(ctx, err)
	}
	head := first.GetHead()
	if head == nil {
		return nil, fault.New(fault.AnswerMismatch, "the peer's answer has no head")
	}
	return &ForwardAnswer{
		Status: int(head.GetStatus()),
		Header: headerFromWire(head.GetHeaders()),
		Length: head.GetLength(),
		Body:   &chunkReader{recv: stream.Recv, release: release},
	}, nil
}

func headOf(r ForwardRequest) *peerpb.ForwardHead {
	return &peerpb.ForwardHead{
		Version: MessageVersion,
		Method:  r.Method,
		Uri:     r.URI,
		Host:    r.Host,
		Remote:  r.Remote,
		Length:  r.Length,
		Headers: headerToWire(r.Header),
	}
}

func forwardFailed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fault.Wrap(fault.Timeout, err, "the peer did not answer in time")
	}
	return fault.Wrap(fault.SendFailed, err, "the connection to the peer failed")
}

// chunkSender is the sending half of a forward stream.
type chunkSender interface {
	Send(*peerpb.ForwardChunk) error
	CloseSend() error
}

// sendBody sends body and then an end chunk. When reading body fails, the end
// chunk is left out, so that the receiver sees that the body is truncated.
func sendBody(to chunkSender, body io.Reader) {
	if body != nil {
		buf := make([]byte, chunkBytes)
		for {
			n, err := body.Read(buf)
			if n > 0 && to.Send(&peerpb.ForwardChunk{Data: buf[:n]}) != nil {
				return
			}
			if err == io.EOF {
				break
			}
			if err != nil {
				_ = to.CloseSend()
				return
			}
		}
	}
	_ = to.Send(&peerpb.ForwardChunk{End: true})
	_ = to.CloseSend()
}

// chunkReader reads a body from chunks up to the end chunk.
type chunkReader struct {
	recv    func() (*peerpb.ForwardChunk, error)
	release func()
	rest    []byte
	end     bool
}

// Read implements io.Reader.
func (r *chunkReader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.end {
			return 0, io.EOF
		}
		chunk, err := r.recv()
		if err != nil {
			return 0, fault.Wrap(fault.AnswerCut, err, "the stream from the peer ended before the end of the body")
		}
		r.rest, r.end = chunk.GetData(), chunk.GetEnd()
		if r.end {
			// The connection is reusable only once the stream has ended on both sides.
			_, _ = r.recv()
		}
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// Close implements io.Closer.
func (r *chunkReader) Close() error {
	if r.release != nil {
		r.release()
		r.release = nil
	}
	return nil
}

// Claim implements claim.Transport. Errors are of kind PeerUnavailable.
func (c *RequestClient) Claim(ctx context.Context, addr string, r claim.Request) (claim.Verdict, error) {
	conn := c.pool.Get(ctx, addr, c.connect)
	out, err := peerpb.NewDRPCRequestsClient(conn).Claim(ctx, claimToWire(r))
	if err != nil {
		return claim.Verdict{}, fault.Wrap(fault.PeerUnavailable, err, "claim at "+addr)
	}
	return verdictFromWire(out), nil
}

// Settle implements claim.Transport. Errors are of kind PeerUnavailable.
func (c *RequestClient) Settle(ctx context.Context, addr string, s claim.Settlement) error {
	conn := c.pool.Get(ctx, addr, c.connect)
	if _, err := peerpb.NewDRPCRequestsClient(conn).Settle(ctx, settlementToWire(s)); err != nil {
		return fault.Wrap(fault.PeerUnavailable, err, "settle at "+addr)
	}
	return nil
}
