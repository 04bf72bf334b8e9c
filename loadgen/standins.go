package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/standin/keyserver"
)

// adminTimeout is the timeout of one admin call.
const adminTimeout = 30 * time.Second

// HTTPStandins controls the simulated servers and platform over their admin APIs.
type HTTPStandins struct {
	platform string
	servers  map[string]Server
	client   *http.Client
}

// NewHTTPStandins returns a client for the servers and platform of a scenario.
func NewHTTPStandins(s Scenario) *HTTPStandins {
	h := &HTTPStandins{platform: s.Platform, servers: map[string]Server{}, client: &http.Client{Timeout: adminTimeout}}
	for _, service := range s.Services {
		for _, server := range service.Servers {
			h.servers[server.ID] = server
		}
	}
	return h
}

// Apply implements Standins. Errors are of kind PeerUnavailable.
func (h *HTTPStandins) Apply(ctx context.Context, f Fault) error {
	if f.Platform != nil {
		body, err := json.Marshal(f.Platform)
		if err != nil {
			return err
		}
		return h.call(ctx, http.MethodPut, h.platform+"/-/admin/faults", body, nil)
	}
	return h.call(ctx, http.MethodPost, h.servers[f.Server].Admin+"/-/admin/"+f.Action, nil, nil)
}

// Ledger implements Standins. Errors are of kind PeerUnavailable.
func (h *HTTPStandins) Ledger(ctx context.Context, s Server) ([]keyserver.Run, error) {
	var runs []keyserver.Run
	err := h.call(ctx, http.MethodGet, s.Admin+"/-/admin/ledger", nil, &runs)
	return runs, err
}

func (h *HTTPStandins) call(ctx context.Context, method, url string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "build the admin call")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return fault.Wrap(fault.PeerUnavailable, err, "call the stand-in")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fault.Newf(fault.PeerUnavailable, "%s answered with status %d", url, resp.StatusCode)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fault.Wrap(fault.PeerUnavailable, err, "decode the stand-in's answer")
	}
	return nil
}
