package requestlog

import (
	"fmt"

	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// findings returns sentences that describe what the lines show: the outcome first,
// then what led to it.
func findings(x *Explanation, s *subject) []string {
	out := []string{outcome(x)}
	for _, step := range x.Steps {
		if text := stepFinding(step.Event); text != "" {
			out = append(out, text)
		}
	}
	for _, step := range x.Context {
		if text := contextFinding(step, s); text != "" {
			out = append(out, text)
		}
	}
	return out
}

// outcome returns a sentence that says how the request ended.
func outcome(x *Explanation) string {
	for i := len(x.Steps) - 1; i >= 0; i-- {
		switch e := x.Steps[i].Event.(type) {
		case event.RequestAnswered:
			if e.Status < 500 {
				return fmt.Sprintf("The request was answered by %s.", e.Server)
			}
			return fmt.Sprintf("The request ran at %s, which answered that it failed (status %d).", e.Server, e.Status)
		case event.RequestRefused:
			if e.Outcome == fault.NotRun {
				return fmt.Sprintf("The request did not run (status %d).", e.Status)
			}
			return fmt.Sprintf("It is not known whether the request ran (status %d); only the servers that it was sent to can tell.", e.Status)
		case event.CallerLeft:
			return "The caller disconnected before the answer."
		case event.RequestCutOff:
			return "The host's process ended without an answer to the request; only the servers that it was sent to can tell whether it ran."
		case event.AnswerBroken:
			return fmt.Sprintf("The request ran at %s; its answer was broken off.", e.Server)
		}
	}
	return "The log does not hold the request's end: its host stopped, or lines were left out."
}

// causes maps each kind of error that ends a request to a sentence about its cause.
var causes = map[fault.Kind]string{
	fault.NotReady:       "The host had no configuration, no servers or no owners yet, or it was stopping.",
	fault.NoService:      "No route of the configuration in force matches the request.",
	fault.NoKey:          "The service is sharded by key, and the request names none.",
	fault.TooLarge:       "The body is longer than the configuration allows.",
	fault.Moving:         "No owner of the key had accepted its grant within the time that the latency target leaves.",
	fault.NoOwner:        "No backend server of the service was ready.",
	fault.QueueTimeout:   "This host already had as many requests outstanding at the key's owner as are answered in time: the server was overloaded.",
	fault.Overloaded:     "This host's share of the server's connections was fully in use.",
	fault.NotAccepted:    "The server shed the request, or had asked for a pause before it; it was full or about to stop.",
	fault.StaleToken:     "The server did not hold the key: it had moved, or its grant had run out.",
	fault.Refused:        "No process listened at the server's address.",
	fault.DialFailed:     "No connection to the server could be opened: it is unreachable, or its process has ended.",
	fault.AnswerCut:      "The connection to the server ended without a complete answer.",
	fault.SendFailed:     "The connection to the server failed while the request was sent.",
	fault.Timeout:        "The server did not answer before the route's timeout or the caller's deadline.",
	fault.AnswerMismatch: "The answer was not the server's answer to this request.",
	fault.NotSent:        "The request ended before any byte of it was sent.",
}

// stepFinding returns the sentence for a line about the request, "" if it needs none.
func stepFinding(e event.Event) string {
	switch e := e.(type) {
	case event.RequestRefused:
		return causes[e.Kind]
	case event.RetryDenied:
		return fmt.Sprintf("It was not sent again: %s.", e.Reason)
	}
	return ""
}

// contextFinding returns the sentence for a line of the context, "" if it needs none.
func contextFinding(step Step, s *subject) string {
	switch e := step.Event.(type) {
	case event.RangeMoved:
		return fmt.Sprintf("Its key moved from %s to %s under token %d, as recorded in %d.%d: %s.", orNobody(e.Before), e.Owner, e.Fence, e.Epoch, e.Change, e.Why)
	case event.GrantFailed:
		return fmt.Sprintf("%s did not accept the grant of its key: %s.", e.Server, e.Result)
	case event.ServerGone:
		return fmt.Sprintf("%s saw %s leave the list of backend servers.", step.Host, e.ID)
	case event.ServerLeaving:
		return fmt.Sprintf("%s learnt that %s leaves (source: %s).", step.Host, e.Server, e.Source)
	case event.ServerFull:
		return fmt.Sprintf("%s had told %s that it wanted no requests for %.0f ms.", e.Server, e.From, e.ForMS)
	case event.ServerRestarted:
		return fmt.Sprintf("%s saw %s restart.", step.Host, e.ID)
	case event.StandingBegun, event.HeaderUnreadable:
		return fmt.Sprintf("To %s, %s.", step.Host, step.Text)
	case event.RoleChanged:
		if e.Assigner {
			return fmt.Sprintf("%s became the assigner of epoch %d, after %.0f ms without one.", step.Host, e.Epoch, e.SilenceMS)
		}
	case event.StoreLost:
		return fmt.Sprintf("%s lost access to the store.", step.Host)
	case event.StopBegun:
		return fmt.Sprintf("%s was stopping.", step.Host)
	case event.LinesSuppressed:
		return fmt.Sprintf("%s left out %d lines of %q.", step.Host, e.Lines, e.Of)
	}
	return ""
}

func orNobody(server string) string {
	if server == "" {
		return "nobody"
	}
	return server
}
