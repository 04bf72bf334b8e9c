package event

import "fmt"

// StandingBegun records that this host judges a backend server to be leaving or full,
// and sends it fewer requests or none.
type StandingBegun struct {
	Server    string `json:"server"`
	StartedMS int64  `json:"born"`     // start of the server's process, in Unix milliseconds
	Standing  string `json:"standing"` // leaving or full
	Source    string `json:"source"`   // answer or directory
	// Until is the end of a full server's pause, or the time from which a leaving server
	// is not sent requests for its keys either.
	Until string `json:"until"`
}

// Text implements Event.
func (e StandingBegun) Text() string {
	if e.Standing == "full" {
		return fmt.Sprintf("%s is full by its %s and is sent nothing until %s", e.Server, e.Source, e.Until)
	}
	return fmt.Sprintf("%s leaves by its %s and is sent only requests for its keys until %s", e.Server, e.sourceText(), e.Until)
}

func (e StandingBegun) sourceText() string {
	if e.Source == "directory" {
		return "entry"
	}
	return e.Source
}

// StandingEnded records the end of a judgement: a full server's pause is over, or a
// leaving server is gone or listed as ready again.
type StandingEnded struct {
	Server    string  `json:"server"`
	StartedMS int64   `json:"born"`
	Standing  string  `json:"standing"`
	Source    string  `json:"source"`
	Until     string  `json:"until"`
	AfterMS   float64 `json:"after_ms"` // since the judgement began
}

// Text implements Event.
func (e StandingEnded) Text() string {
	return fmt.Sprintf("%s is no longer %s, after %.0f ms", e.Server, e.Standing, e.AfterMS)
}

// HeaderUnreadable records that a header of a backend server's answer is unreadable and
// counts as absent. It is logged once for each server.
type HeaderUnreadable struct {
	Server    string `json:"server"`
	StartedMS int64  `json:"born"`
	Header    string `json:"header"`
	Error     string `json:"error"`
}

// Text implements Event.
func (e HeaderUnreadable) Text() string {
	return fmt.Sprintf("the header %s of %s is unreadable: %s", e.Header, e.Server, e.Error)
}
