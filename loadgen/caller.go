// Package loadgen sends open-loop load to a deployment, runs a fault script and
// audits the outcomes that callers saw against the ledgers of the simulated
// backend servers (stand-ins).
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
	// sendTimeout is the caller's timeout for one attempt of a request.
	sendTimeout    = 30 * time.Second
	uploadBytes    = 48 << 10
	maxAnswerBytes = 1 << 20
	maxIdleConns   = 256
)

// Request is one request of a caller. Its path is unique, so that the audit can
// match it with its executions in the ledgers.
type Request struct {
	Kind profile.RequestKind
	Path string
}

// Result is the result of one attempt to send a request.
type Result struct {
	Outcome    fault.Outcome
	Retryable  bool // the request did not run and may be sent again
	Mismatched bool // the answer belongs to another request
	Refused    bool // the entry host refused the connection
}

// Sender sends a request to the entry host at addr, without retries.
type Sender interface {
	Send(ctx context.Context, addr string, r Request) Result
}

// HTTPSender sends requests over HTTP. It is safe for concurrent use.
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

// Send implements Sender. The outcome is NotRun if the connection was refused, and
// Unknown after any other failure without a complete answer.
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
	// The anonymous struct hides the reader's type, which leaves GetBody unset, so
	// that the transport can't retry the request.
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

// Resubmit configures how a caller resubmits a request that was reported as not
// run. Requests with any other outcome are never resubmitted.
type Resubmit struct {
	Delay  time.Duration `yaml:"delay"`
	Within time.Duration `yaml:"within"` // time limit since the first attempt; 0 means no resubmission
}

// Submit sends r to a host chosen by pick and resubmits it according to rule,
// choosing a host anew for each attempt.
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
