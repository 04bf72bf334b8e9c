package peer

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"storj.io/drpc"

	"github.com/lacewingsaddle/lacewingsaddle/claim"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/peer/peerpb"
)

// maxDrainedChunks bounds the chunks read of a request after its answer.
const maxDrainedChunks = 32

// ClaimHandler answers peers' claims.
type ClaimHandler interface {
	Claim(now time.Time, r claim.Request) claim.Verdict
	Settle(s claim.Settlement)
}

// RequestService returns the registration of the service that passes forwarded requests
// to h and claims to claims. A nil claims refuses every claim.
func RequestService(h http.Handler, claims ClaimHandler) Registration {
	handler := &requestServer{handler: h, claims: claims, slots: make(chan struct{}, maxPeerForwards)}
	return func(mux drpc.Mux) error {
		return peerpb.DRPCRegisterRequests(mux, handler)
	}
}

type requestServer struct {
	handler http.Handler
	claims  ClaimHandler
	slots   chan struct{}
}

// Forward serves one forwarded request. When the handler aborts its answer, the
// stream fails without an end chunk.
func (s *requestServer) Forward(stream peerpb.DRPCRequests_ForwardStream) (err error) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return fault.New(fault.Overloaded, "too many concurrent forwarded requests from peers")
	}
	first, err := stream.Recv()
	if err != nil {
		return fault.Wrap(fault.BadMessage, err, "receive the head of a forwarded request")
	}
	in, err := requestFromWire(stream.Context(), first.GetHead(), stream.Recv)
	if err != nil {
		return err
	}
	w := &streamWriter{send: stream.Send, header: http.Header{}}
	defer func() {
		if p := recover(); p != nil {
			err = fault.New(fault.AnswerCut, "the handler aborted the answer")
		}
	}()
	s.handler.ServeHTTP(w, in)
	if err := w.end(); err != nil {
		return err
	}
	return drainRequest(stream.Recv)
}

// drainRequest reads what the handler left unread of the request: unread messages
// would block the connection for later requests. A request of more than
// maxDrainedChunks further chunks ends with an error, which closes its stream.
func drainRequest(recv func() (*peerpb.ForwardChunk, error)) error {
	for range maxDrainedChunks {
		if _, err := recv(); err != nil {
			return nil
		}
	}
	return fault.New(fault.TooLarge, "too much of the request body is unread after its answer")
}

func requestFromWire(ctx context.Context, head *peerpb.ForwardHead, recv func() (*peerpb.ForwardChunk, error)) (*http.Request, error) {
	if head == nil {
		return nil, fault.New(fault.BadMessage, "a forwarded request has no head")
	}
	in, err := http.NewRequestWithContext(ctx, head.GetMethod(), head.GetUri(), &chunkReader{recv: recv})
	if err != nil {
		return nil, fault.Wrap(fault.BadMessage, err, "a forwarded request is malformed")
	}
	in.Header = headerFromWire(head.GetHeaders())
	in.Host = head.GetHost()
	in.RemoteAddr = head.GetRemote()
	in.RequestURI = head.GetUri()
	in.ContentLength = head.GetLength()
	if in.ContentLength == 0 {
		in.Body = http.NoBody
	}
	return in, nil
}

// streamWriter is the http.ResponseWriter of a forwarded request.
type streamWriter struct {
	send     func(*peerpb.ForwardChunk) error
	header   http.Header
	headSent bool
	err      error
}

// Header implements http.ResponseWriter.
func (w *streamWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *streamWriter) WriteHeader(status int) {
	if w.headSent {
		return
	}
	w.headSent = true
	length := int64(unknownLength)
	if n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil {
		length = n
	}
	w.err = w.send(&peerpb.ForwardChunk{Head: &peerpb.ForwardHead{
		Version: MessageVersion,
		Status:  int32(status),
		Length:  length,
		Headers: headerToWire(w.header),
	}})
}

// Write implements http.ResponseWriter.
func (w *streamWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	for sent := 0; sent < len(p); {
		if w.err != nil {
			return sent, w.err
		}
		part := p[sent:min(len(p), sent+chunkBytes)]
		w.err = w.send(&peerpb.ForwardChunk{Data: part})
		sent += len(part)
	}
	return len(p), w.err
}

func (w *streamWriter) end() error {
	w.WriteHeader(http.StatusOK)
	if w.err != nil {
		return w.err
	}
	return w.send(&peerpb.ForwardChunk{End: true})
}

var _ io.Writer = (*streamWriter)(nil)

// Claim answers a peer's claim.
func (s *requestServer) Claim(_ context.Context, in *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	if s.claims == nil {
		return nil, fault.New(fault.NoClaim, "this host keeps no claims")
	}
	return verdictToWire(s.claims.Claim(time.Now(), claimFromWire(in))), nil
}

// Settle passes on how a peer's claimed order ended.
func (s *requestServer) Settle(_ context.Context, in *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	if s.claims != nil {
		s.claims.Settle(settlementFromWire(in))
	}
	return &peerpb.SettleReply{Version: MessageVersion}, nil
}
