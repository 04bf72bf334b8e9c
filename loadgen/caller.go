// Package loadgen sends open-loop load to a deployment, drives a fault script
// and audits what callers were told against the backend stand-ins' ledgers.
package loadgen

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/wait"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/routing"
)

const (
	// sendTimeout bounds one request as its caller sees it.
	sendTimeout    = 30 * time.Second
	uploadBytes    = 48 << 10
	maxAnswerBytes = 1 << 20
	maxIdleConns   = 256
)

// Request is one request of a caller. Its path is its own alone, so that runs
// in the ledgers are told apart.
type Request struct {
	Kind profile.RequestKind
	Path string
}

// Result is what the caller got for one sending.
type Result struct {
	Outcome    fault.Outcome
	Retryable  bool // the answer says that the same request may be sent again
	Mismatched bool // the answer belongs to another request
	Refused    bool // the entry host refused the connection
}

// Sender sends a request once to the entry host at addr.
type Sender interface {
	Send(ctx context.Context, addr string, r Request) Result
}

// HTTPSender sends over HTTP. It is safe for concurrent use.
type HTTPSender struct {
	client *http.Client
}

// Dial opens a connection to an entry host.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// NewHTTPSender returns a sender. A nil dial means plain TCP.
func NewHTTPSender(dial Dial) *HTTPSender {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	return &HTTPSender{client: &http.Client{Transport: transport, Timeout: sendTimeout}}
}

// Close closes the idle connections.
func (s *HTTPSender) Close() { s.client.CloseIdleConnections() }

// Send implements Sender. A refused connection is not run; any other end
// without an answer is unknown.
func (s *HTTPSender) Send(ctx context.Context, addr string, r Request) Result {
	req, err := newHTTPRequest(ctx, addr, r)
	if err != nil {
		return Result{Outcome: fault.NotRun}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		if isConnRefused(err) {
			return Result{Outcome: fault.NotRun, Retryable: true, Refused: true}
		}
		return Result{Outcome: fault.Unknown}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Result{Outcome: fault.Unknown}
	}
	out := Result{Outcome: fault.Outcome(resp.Header.Get(routing.HeaderOutcome))}
	out.Retryable = out.Outcome == fault.NotRun && resp.StatusCode == http.StatusServiceUnavailable
	out.Mismatched = out.Outcome == fault.Answered && !strings.HasPrefix(string(answer), req.Method+" "+r.Path+" ")
	return out
}

func newHTTPRequest(ctx context.Context, addr string, r Request) (*http.Request, error) {
	method, body := http.MethodGet, ""
	switch r.Kind {
	case profile.Order:
		method, body = http.MethodPost, r.Path
	case profile.Upload:
		method, body = http.MethodPost, strings.Repeat("u", uploadBytes)
	}
	// The anonymous reader keeps GetBody unset, so that the transport sends once.
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+r.Path, struct{ io.Reader }{strings.NewReader(body)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	if r.Kind == profile.Order {
		req.Header.Set("Idempotency-Key", r.Path)
	}
	return req, nil
}

func isConnRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED)
}

// Resubmit says how a caller sends a request again while it is told that the
// request did not run. Nothing else is ever sent again.
type Resubmit struct {
	Delay  time.Duration `yaml:"delay"`
	Within time.Duration `yaml:"within"` // 0 means never
}

// Submit sends r to hosts that pick chooses and resubmits it as the rule says.
func Submit(ctx context.Context, s Sender, pick func() string, r Request, rule Resubmit) Sample {
	begun := time.Now()
	sample := Sample{Request: r}
	for {
		result := s.Send(ctx, pick(), r)
		sample.Attempts++
		sample.Outcome, sample.Mismatched = result.Outcome, result.Mismatched
		if !result.Retryable || time.Since(begun)+rule.Delay > rule.Within {
			return sample
		}
		if wait.Sleep(ctx, rule.Delay) != nil {
			return sample
		}
	}
}
