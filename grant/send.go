package grant

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/lacewingsaddle/lacewingsaddle/ownership"
)

// grantPath is the URL path at which backend servers accept grants.
const grantPath = "/-/grants"

const maxAnswerBytes = 4 << 10

// renewalBody is a message that renews the grant of an epoch.
type renewalBody struct {
	Service string `json:"service"`
	Epoch   uint64 `json:"epoch"`
	TTLMS   int64  `json:"ttl_ms"`
	// Boot and EndMS say when the grant ends by the server's own clock.
	Boot  string `json:"boot,omitempty"`
	EndMS int64  `json:"end_ms,omitempty"`
}

// fullBody is a message that replaces the server's grant.
type fullBody struct {
	renewalBody
	Shards []ShardToken `json:"shards"`
	Keys   []KeyToken   `json:"keys"`
}

// answerBody is the answer to a grant. Error is empty when the grant was accepted;
// Boot is empty when the server does not report its clock.
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
	full := fullBody{renewalBody: renewal, Shards: m.content.shards, Keys: m.content.keys}
	// An empty list, unlike a missing one, marks a full grant.
	if full.Shards == nil {
		full.Shards = []ShardToken{}
	}
	if full.Keys == nil {
		full.Keys = []KeyToken{}
	}
	return json.Marshal(full)
}

// send sends m to the server. It returns the outcome, and the server's clock if the
// answer reported it.
func (k *Keeper) send(ctx context.Context, service, address string, m message) (reply, *clock) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	body, err := encode(service, m)
	if err != nil {
		return noReply, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+grantPath, bytes.NewReader(body))
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return noReply, nil
	}
	_ = json.Unmarshal(data, &answer) // an answer without JSON is classified by its status
	r := replyOf(resp.StatusCode, answer.Error)
	if answer.Boot == "" {
		return r, nil
	}
	return r, &clock{boot: answer.Boot, millis: answer.ClockMS, at: k.source.Now()}
}

func replyOf(status int, reason string) reply {
	switch {
	case status == http.StatusOK:
		return accepted
	case status == http.StatusConflict && reason == "stale-epoch":
		return staleEpoch
	case status == http.StatusPreconditionFailed:
		return unknownEpoch
	}
	return refused
}

var _ ownership.OutstandingTracker = (*Keeper)(nil)
