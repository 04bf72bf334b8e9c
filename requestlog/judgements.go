package requestlog

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/event"
)

// Judgement is what a host judges a backend server to be: leaving or full.
type Judgement struct {
	Host      string    `json:"host"`
	Server    string    `json:"server"`
	StartedMS int64     `json:"born"` // start of the server's process, in Unix milliseconds
	Standing  string    `json:"standing"`
	Source    string    `json:"source"` // answer or directory
	Since     time.Time `json:"since"`
	// Until is the end that was known when the judgement began; later answers may have
	// moved it.
	Until string `json:"until"`
}

// judgementKey identifies a judgement. A host has at most one of each kind on one start of
// a server.
type judgementKey struct {
	host, server, standing string
	born                   int64
}

// Judgements returns the judgements that are in force at the end of the logs, ordered by
// server and host. A host that was restarted has none from before. The error is of kind
// BadSettings when a log cannot be read.
func Judgements(logs []Log) ([]Judgement, error) {
	var lines []event.Line
	err := scan(logs, func(text []byte) {
		if bytes.Contains(text, []byte(`"request":"`)) {
			return
		}
		if l, err := event.Parse(text); err == nil { // other lines say nothing about servers
			lines = append(lines, l)
		}
	})
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(lines, func(a, b event.Line) int { return a.Time.Compare(b.Time) })
	inForce := map[judgementKey]Judgement{}
	for _, l := range lines {
		applyLine(inForce, l)
	}
	out := make([]Judgement, 0, len(inForce))
	for _, j := range inForce {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b Judgement) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Host, b.Host), cmp.Compare(a.StartedMS, b.StartedMS), cmp.Compare(a.Standing, b.Standing))
	})
	return out, nil
}

// applyLine applies one log line to the judgements in force.
func applyLine(inForce map[judgementKey]Judgement, l event.Line) {
	switch e := l.Event.(type) {
	case event.HostStarted:
		for k := range inForce {
			if k.host == l.Host {
				delete(inForce, k)
			}
		}
	case event.StandingBegun:
		inForce[judgementKey{l.Host, e.Server, e.Standing, e.StartedMS}] = Judgement{
			Host: l.Host, Server: e.Server, StartedMS: e.StartedMS, Standing: e.Standing, Source: e.Source, Since: l.Time, Until: e.Until,
		}
	case event.StandingEnded:
		delete(inForce, judgementKey{l.Host, e.Server, e.Standing, e.StartedMS})
	}
}
