package tlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// MaxBatchBytes bounds the body of the answer to one read.
	MaxBatchBytes = 64 << 20
	// appendTimeout bounds one append. Without an answer by then, it is unknown
	// whether the append took effect.
	appendTimeout = 10 * time.Second
	// readSlack is added to a long poll's wait to give the timeout of the read.
	readSlack = 2 * time.Second
	// hostsTimeout bounds one read of the host list.
	hostsTimeout = 2 * time.Second
)

// WireRecord is a record in the log service's JSON encoding.
type WireRecord struct {
	Offset Offset    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// WireBatch is the answer to a read.
type WireBatch struct {
	Records []WireRecord `json:"records"`
	First   Offset       `json:"first"`
	Next    Offset       `json:"next"`
}

// WireAppended is the answer to an append.
type WireAppended struct {
	Offset Offset `json:"offset"`
}

// WireHosts is the answer to a read of the host list.
type WireHosts struct {
	Hosts []Host `json:"hosts"`
}

// Client is a client of the platform's HTTP API. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var (
	_ Log      = (*Client)(nil)
	_ HostList = (*Client)(nil)
)

// NewClient returns a client for the service at base, such as http://127.0.0.1:7000.
// A nil transport means a new http.Transport.
func NewClient(base string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 4}
	}
	return &Client{base: base, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (c *Client) recordsURL(stream string) string {
	return c.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	// Hiding the reader's type leaves GetBody unset, so that the transport never
	// resends an append.
	body := struct{ io.Reader }{bytes.NewReader(data)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(stream), body)
	if err != nil {
		return 0, fault.Wrap(fault.LogUnavailable, err, "build append request")
	}
	req.ContentLength = int64(len(data))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, appendError(err)
	}
	defer drain(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		var out WireAppended
		if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
			return 0, fault.Wrap(fault.InDoubt, err, "decode append answer")
		}
		return out.Offset, nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, fault.Newf(fault.LogUnavailable, "append refused with status %d", resp.StatusCode)
	default:
		return 0, fault.Newf(fault.InDoubt, "append answered with status %d", resp.StatusCode)
	}
}

// appendError returns LogUnavailable when the connection was refused, and InDoubt
// otherwise, since the service may have received the append.
func appendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED) {
		return fault.Wrap(fault.LogUnavailable, err, "connect to the log service")
	}
	return fault.Wrap(fault.InDoubt, err, "append to the log")
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from Offset, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var out WireBatch
	status, err := c.getJSON(ctx, c.recordsURL(stream)+"?"+query.Encode(), &out)
	if err != nil {
		return Batch{}, err
	}
	batch := Batch{First: out.First, Next: out.Next}
	if status == http.StatusGone {
		return batch, fault.Newf(fault.LogGap, "offset %d is no longer kept; the oldest is %d", from, out.First)
	}
	for _, r := range out.Records {
		batch.Records = append(batch.Records, Record(r))
	}
	return batch, nil
}

// Hosts implements HostList.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, hostsTimeout)
	defer cancel()
	var out WireHosts
	_, err := c.getJSON(ctx, c.base+"/v1/hosts", &out)
	return out.Hosts, err
}

// getJSON decodes the body of status 200 or 410 into out.
func (c *Client) getJSON(ctx context.Context, url string, out any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, fault.Wrap(fault.LogUnavailable, err, "build read request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, fault.Wrap(fault.LogUnavailable, err, "read from the platform")
	}
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return 0, fault.Newf(fault.LogUnavailable, "read answered with status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, MaxBatchBytes)).Decode(out)
	if err != nil {
		return 0, fault.Wrap(fault.LogUnavailable, err, "decode the platform's answer")
	}
	return resp.StatusCode, nil
}

func drain(body io.ReadCloser) {
	const limit = 64 << 10
	_, _ = io.Copy(io.Discard, io.LimitReader(body, limit))
	_ = body.Close()
}

// OwnershipStream returns the name of a cell's ownership stream.
func OwnershipStream(cell string) string { return fmt.Sprintf("ownership.%s", cell) }

// ProfileStream is the name of the stream of profiles and services.
const ProfileStream = "profiles"
