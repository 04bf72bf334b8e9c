package peer

import (
	"net/http"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/claim"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/peer/peerpb"
)

func headerToWire(h http.Header) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &peerpb.Header{Name: name, Values: values})
	}
	return out
}

func headerFromWire(headers []*peerpb.Header) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		name := http.CanonicalHeaderKey(h.GetName())
		out[name] = append(out[name], h.GetValues()...)
	}
	return out
}

func claimToWire(r claim.Request) *peerpb.ClaimRequest {
	return &peerpb.ClaimRequest{
		Version:     MessageVersion,
		Service:     r.Service,
		Order:       r.Order,
		Fingerprint: r.Fingerprint,
		Attempt:     r.Attempt,
		RunningMs:   uint32(r.MaxRunTime.Milliseconds()),
		WindowMs:    uint64(r.Window.Milliseconds()),
	}
}

func claimFromWire(m *peerpb.ClaimRequest) claim.Request {
	return claim.Request{
		ID:          claim.ID{Service: m.GetService(), Order: m.GetOrder()},
		Fingerprint: m.GetFingerprint(),
		Attempt:     m.GetAttempt(),
		MaxRunTime:  time.Duration(m.GetRunningMs()) * time.Millisecond,
		Window:      time.Duration(m.GetWindowMs()) * time.Millisecond,
	}
}

var wireStates = map[claim.State]peerpb.ClaimState{
	claim.Granted:    peerpb.ClaimState_CLAIM_STATE_GRANTED,
	claim.InProgress: peerpb.ClaimState_CLAIM_STATE_IN_PROGRESS,
	claim.Unknown:    peerpb.ClaimState_CLAIM_STATE_UNKNOWN,
	claim.Answered:   peerpb.ClaimState_CLAIM_STATE_ANSWERED,
	claim.Mismatch:   peerpb.ClaimState_CLAIM_STATE_MISMATCH,
	claim.Full:       peerpb.ClaimState_CLAIM_STATE_FULL,
}

func verdictToWire(v claim.Verdict) *peerpb.ClaimReply {
	return &peerpb.ClaimReply{
		Version: MessageVersion,
		State:   wireStates[v.State],
		Answer:  answerToWire(v.Answer),
	}
}

// verdictFromWire decodes a verdict. An unknown state, from a later version, counts
// as Full, so that the claim is not granted.
func verdictFromWire(m *peerpb.ClaimReply) claim.Verdict {
	v := claim.Verdict{State: claim.Full, Answer: answerFromWire(m.GetAnswer())}
	for state, wire := range wireStates {
		if wire == m.GetState() {
			v.State = state
		}
	}
	return v
}

func answerToWire(a *claim.Answer) *peerpb.StoredAnswer {
	if a == nil {
		return nil
	}
	return &peerpb.StoredAnswer{Status: int32(a.Status), Headers: headerToWire(a.Header), Body: a.Body}
}

func answerFromWire(m *peerpb.StoredAnswer) *claim.Answer {
	if m == nil {
		return nil
	}
	return &claim.Answer{Status: int(m.GetStatus()), Header: headerFromWire(m.GetHeaders()), Body: m.GetBody()}
}

func settlementToWire(s claim.Settlement) *peerpb.SettleRequest {
	return &peerpb.SettleRequest{
		Version: MessageVersion,
		Service: s.Service,
		Order:   s.Order,
		Attempt: s.Attempt,
		Outcome: string(s.Outcome),
		Answer:  answerToWire(s.Answer),
	}
}

func settlementFromWire(m *peerpb.SettleRequest) claim.Settlement {
	return claim.Settlement{
		ID:      claim.ID{Service: m.GetService(), Order: m.GetOrder()},
		Attempt: m.GetAttempt(),
		Outcome: fault.Outcome(m.GetOutcome()),
		Answer:  answerFromWire(m.GetAnswer()),
	}
}
