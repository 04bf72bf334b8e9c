package grant

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

// path is where backend servers take grants.
const path = "/-/grants"

const maxAnswer = 4 << 10

// renewalBody renews the grant of an epoch.
type renewalBody struct {
	Service string `json:"service"`
	Epoch   uint64 `json:"epoch"`
	TTLMS   int64  `json:"ttl_ms"`
	// Boot and EndMS say when the grant ends by the server's own clock.
	Boot  string `json:"boot,omitempty"`
	EndMS int64  `json:"end_ms,omitempty"`
}

// wholeBody replaces the server's grant.
type wholeBody struct {
	renewalBody
	Shards []ShardToken `json:"shards"`
	Keys   []KeyToken   `json:"keys"`
}

// answerBody is the answer to a grant. Error is empty when it was taken; Boot is
// empty when the server tells no clock.
type answerBody struct {
	Error   string `json:"error"`
	Boot    string `json:"boot"`
	ClockMS int64  `json:"clock_ms"`
}

func encode(service string, m message) ([]byte, error) {
	renewal := renewalBody{Service: service, Epoch: m.epoch, TTLMS: m.ttl.Milliseconds(), Boot: m.boot, EndMS: m.end}
	if m.content == nil {
		return json.Marshal(renewal)
	}
	whole := wholeBody{renewalBody: renewal, Shards: m.content.shards, Keys: m.content.keys}
	// An empty list tells a whole body from a renewal.
	if whole.Shards == nil {
		whole.Shards = []ShardToken{}
	}
	if whole.Keys == nil {
		whole.Keys = []KeyToken{}
	}
	return json.Marshal(whole)
}

// send carries m to the server. It returns how that ended, and the server's clock if
// the answer told it.
func (k *Keeper) send(ctx context.Context, service, address string, m message) (reply, *clock) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	body, err := encode(service, m)
	if err != nil {
		return noReply, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return noReply, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := k.transport.RoundTrip(req)
	if err != nil {
		return noReply, nil
	}
	defer resp.Body.Close()
	var answer answerBody
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return noReply, nil
	}
	_ = json.Unmarshal(data, &answer) // an answer without JSON is told by its status
	r := replyOf(resp.StatusCode, answer.Error)
	if answer.Boot == "" {
		return r, nil
	}
	return r, &clock{boot: answer.Boot, millis: answer.ClockMS, at: k.source.Now()}
}

func replyOf(status int, reason string) reply {
	switch {
	case status == http.StatusOK:
		return taken
	case status == http.StatusConflict && reason == "stale-epoch":
		return staleEpoch
	case status == http.StatusPreconditionFailed:
		return unknownEpoch
	}
	return refused
}

var _ ownership.OutstandingTracker = (*Keeper)(nil)
