// Package client is a client of an entry host's admin API. The command line and
// embedding programs use it.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/command"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/query"
	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

const (
	requestTimeout = 30 * time.Second
	maxAnswerBytes = 64 << 20
)

// Client is a client of one entry host. It is safe for concurrent use. Its errors
// are *fault.Error with the kind that the host returned. A request that cannot
// connect and a read without an answer are of kind PeerUnavailable, a write
// without an answer is of kind InDoubt.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client of the admin API at base, such as http://10.1.0.5:7003.
// A nil transport means http.DefaultTransport.
func New(base, token string, transport http.RoundTripper) *Client {
	return &Client{
		base:  strings.TrimRight(base, "/"),
		token: token,
		http:  &http.Client{Transport: transport, Timeout: requestTimeout, CheckRedirect: noRedirect},
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func get[T any](ctx context.Context, c *Client, path string, q url.Values) (T, error) {
	var out T
	if len(q) > 0 {
		path += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return out, fault.Wrap(fault.BadRequest, err, "build the request")
	}
	return do[T](c, req, fault.PeerUnavailable)
}

// do sends req and decodes the answer. noAnswerKind is the kind of the error when
// the answer was lost or cannot be decoded.
func do[T any](c *Client, req *http.Request, noAnswerKind fault.Kind) (T, error) {
	var out T
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return out, transportError(err, noAnswerKind)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return out, fault.Wrap(noAnswerKind, err, "the answer ended early")
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), fault.ProblemType) || resp.StatusCode >= http.StatusMultipleChoices {
		p := Problem{Status: resp.StatusCode}
		_ = json.Unmarshal(body, &p)
		return out, p.Err()
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return out, fault.Wrap(noAnswerKind, err, "the answer could not be decoded")
	}
	return out, nil
}

// transportError distinguishes a connection that could not be opened from a lost
// answer.
func transportError(err error, noAnswerKind fault.Kind) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.Wrap(fault.PeerUnavailable, err, "the connection to the admin API could not be opened")
	}
	return fault.Wrap(noAnswerKind, err, "the admin API did not answer")
}

// post sends a write. When it gets no answer, the error is of kind InDoubt and
// names the write's id.
func post[T any](ctx context.Context, c *Client, path, id string, body any) (T, error) {
	var zero T
	data, err := json.Marshal(body)
	if err != nil {
		return zero, fault.Wrap(fault.BadRequest, err, "encode the request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return zero, fault.Wrap(fault.BadRequest, err, "build the request")
	}
	req.GetBody = nil // a write is sent once
	req.Header.Set("Content-Type", "application/json")
	out, err := do[T](c, req, fault.InDoubt)
	var e *fault.Error
	if errors.As(err, &e) && e.Kind == fault.InDoubt && !strings.Contains(e.Detail, id) {
		return out, fault.Wrap(fault.InDoubt, err, "the change may have taken effect; see: lacewingsaddle audit --id "+id)
	}
	return out, err
}

func (c *Client) write(ctx context.Context, path string, meta *command.Metadata, body any) (command.Result, error) {
	return post[command.Result](ctx, c, path, meta.ID, body)
}

// ensureID sets the id of a write before it is sent, so that the caller knows it
// even when the answer is lost.
func ensureID(meta *command.Metadata) *command.Metadata {
	if meta.ID == "" {
		meta.ID = command.NewID()
	}
	return meta
}

// Publish publishes a document; see command.Service.Publish.
func (c *Client) Publish(ctx context.Context, w command.Publish) (command.Result, error) {
	meta := ensureID(&w.Metadata)
	return c.write(ctx, "/v1/publish", meta, w)
}

// Rollback returns to an earlier version; see command.Service.Rollback.
func (c *Client) Rollback(ctx context.Context, w command.Rollback) (command.Result, error) {
	meta := ensureID(&w.Metadata)
	return c.write(ctx, "/v1/rollback", meta, w)
}

// Move moves one shard; see command.Service.Move.
func (c *Client) Move(ctx context.Context, w command.Move) (command.Result, error) {
	meta := ensureID(&w.Metadata)
	return c.write(ctx, "/v1/move", meta, w)
}

// Pin pins a key; see command.Service.Pin.
func (c *Client) Pin(ctx context.Context, w command.Pin) (command.Result, error) {
	meta := ensureID(&w.Metadata)
	return c.write(ctx, "/v1/pin", meta, w)
}

// Unpin unpins a key; see command.Service.Unpin.
func (c *Client) Unpin(ctx context.Context, w command.Unpin) (command.Result, error) {
	meta := ensureID(&w.Metadata)
	return c.write(ctx, "/v1/unpin", meta, w)
}

// Drain drains a backend server; see command.Service.Drain.
func (c *Client) Drain(ctx context.Context, w command.Drain) (command.Result, error) {
	meta := ensureID(&w.Metadata)
	return c.write(ctx, "/v1/drain", meta, w)
}

// Undrain ends a drain; see command.Service.Undrain.
func (c *Client) Undrain(ctx context.Context, w command.Drain) (command.Result, error) {
	meta := ensureID(&w.Metadata)
	return c.write(ctx, "/v1/undrain", meta, w)
}

// Forget removes members that are permanently lost; see command.Service.Forget.
func (c *Client) Forget(ctx context.Context, w command.Forget) (command.Result, error) {
	meta := ensureID(&w.Metadata)
	return c.write(ctx, "/v1/forget", meta, w)
}

// Progress returns the state of a change.
func (c *Client) Progress(ctx context.Context, stream string, offset tlog.Offset) (command.Progress, error) {
	path := "/v1/progress/" + url.PathEscape(stream) + "/" + formatOffset(offset)
	return get[command.Progress](ctx, c, path, nil)
}

// Await waits until a change is in effect; see command.Service.Await.
func (c *Client) Await(ctx context.Context, r command.Result, report func(command.Progress)) (command.Progress, error) {
	return command.AwaitWith(ctx, r, c.Progress, report)
}

// Status returns the host's view of the deployment.
func (c *Client) Status(ctx context.Context) (query.Status, error) {
	return get[query.Status](ctx, c, "/v1/status", nil)
}

// Hosts lists the members.
func (c *Client) Hosts(ctx context.Context) ([]query.HostInfo, error) {
	return get[[]query.HostInfo](ctx, c, "/v1/hosts", nil)
}

// Servers lists the backend servers of a service, or of all services when it is
// empty.
func (c *Client) Servers(ctx context.Context, service string) ([]query.ServerInfo, error) {
	return get[[]query.ServerInfo](ctx, c, "/v1/servers", queryValues("service", service))
}

// Owners lists the routes of a service, or only that of key when it is not empty.
func (c *Client) Owners(ctx context.Context, service, key string) ([]query.Owner, error) {
	return get[[]query.Owner](ctx, c, "/v1/owners/"+url.PathEscape(service), queryValues("key", key))
}

// Explain returns the destination of a key's requests and the reasons for it.
func (c *Client) Explain(ctx context.Context, service, key string) (query.Explanation, error) {
	return get[query.Explanation](ctx, c, "/v1/explain/"+url.PathEscape(service), queryValues("key", key))
}

// Request returns the steps that the host recorded for a recent request.
func (c *Client) Request(ctx context.Context, id string) (query.RequestSteps, error) {
	return get[query.RequestSteps](ctx, c, "/v1/requests/"+url.PathEscape(id), nil)
}

// Documents lists the published profiles and services.
func (c *Client) Documents(ctx context.Context) ([]query.DocumentInfo, error) {
	return get[[]query.DocumentInfo](ctx, c, "/v1/documents", nil)
}

func documentPath(kind profile.DocumentKind, name string) string {
	return "/v1/documents/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// Document returns a version of a document; 0 means the current one.
func (c *Client) Document(ctx context.Context, kind profile.DocumentKind, name string, version tlog.Offset) (query.Document, error) {
	return get[query.Document](ctx, c, documentPath(kind, name), queryValues("version", formatOffset(version)))
}

// History returns the versions of a document that the log still holds.
func (c *Client) History(ctx context.Context, kind profile.DocumentKind, name string) ([]query.Document, error) {
	return get[[]query.Document](ctx, c, documentPath(kind, name)+"/history", nil)
}

// Diff compares two versions of a document.
func (c *Client) Diff(ctx context.Context, kind profile.DocumentKind, name string, from, to tlog.Offset) (query.Diff, error) {
	q := queryValues("from", formatOffset(from), "to", formatOffset(to))
	return get[query.Diff](ctx, c, documentPath(kind, name)+"/diff", q)
}

// Audit returns one part of the audit entries that match f; see query.AuditFilter.
func (c *Client) Audit(ctx context.Context, f query.AuditFilter) (query.Audit, error) {
	q := queryValues("who", f.Who, "subject", f.Subject, "id", f.ID,
		"after_profiles", formatOffset(f.AfterProfiles), "after_ownership", formatOffset(f.AfterOwnership))
	if !f.Since.IsZero() {
		q.Set("since", f.Since.UTC().Format(time.RFC3339))
	}
	return get[query.Audit](ctx, c, "/v1/audit", q)
}

func formatOffset(o tlog.Offset) string { return strconv.FormatUint(uint64(o), 10) }

// queryValues builds a query from alternating names and values. It omits empty
// values.
func queryValues(pairs ...string) url.Values {
	q := url.Values{}
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			q.Set(pairs[i], pairs[i+1])
		}
	}
	return q
}
