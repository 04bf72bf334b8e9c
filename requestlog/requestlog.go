// Package requestlog explains the outcome of one request from the logs of several
// hosts. It collects the lines about the request and those about the servers and the
// key that it involved, and derives findings from them.
package requestlog

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/event"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// contextBefore is how long before the request lines about servers and keys are
	// considered. It is longer than it takes to grant a lost server's keys to new
	// owners.
	contextBefore = 6 * time.Second
	// standingBefore is how long before the request a backend server may have said that
	// it leaves or is full.
	standingBefore = 10 * time.Minute
	// contextAfter is how long after the request such lines are still considered.
	contextAfter = time.Second
	// maxLineBytes is the maximum length of a line, in bytes. A log with a longer line
	// cannot be read.
	maxLineBytes = 1 << 20
)

// Log is the log of one or more hosts. It is opened and read twice.
type Log interface {
	Open() (io.ReadCloser, error)
}

// Step is one line of an explanation.
type Step struct {
	Time    time.Time   `json:"time"`
	Host    string      `json:"host"`
	Message string      `json:"message"`
	Text    string      `json:"text"`
	Event   event.Event `json:"event"`
}

// Explanation is what the logs say of one request.
type Explanation struct {
	Request string `json:"request"`
	// Steps are the lines that name the request. Context holds the lines about its
	// key, servers and hosts. Both are ordered by time; hosts' clocks may differ.
	Steps   []Step `json:"steps"`
	Context []Step `json:"context"`
	// Findings are sentences that state the outcome and what led to it.
	Findings []string `json:"findings"`
	// Unread is the number of lines that could not be parsed.
	Unread int `json:"unread"`
}

// Explain reads the logs and explains the request with the given id. The error is of
// kind NotFound when no line names the request, and of kind BadSettings when a log
// cannot be read.
func Explain(id string, logs []Log) (*Explanation, error) {
	x := &Explanation{Request: id}
	marker := []byte(`"request":"` + id + `"`)
	err := scan(logs, func(text []byte) {
		if bytes.Contains(text, marker) {
			x.addStep(text)
		}
	})
	if err != nil {
		return nil, err
	}
	if len(x.Steps) == 0 {
		return nil, fault.Newf(fault.NotFound, "no log line names the request %q", id)
	}
	byTime(x.Steps)
	subject := subjectOf(x.Steps)
	err = scan(logs, func(text []byte) {
		if !bytes.Contains(text, []byte(`"request":"`)) {
			x.addContext(subject, text)
		}
	})
	if err != nil {
		return nil, err
	}
	byTime(x.Context)
	x.Findings = findings(x, subject)
	return x, nil
}

func scan(logs []Log, each func(text []byte)) error {
	for _, l := range logs {
		if err := scanOne(l, each); err != nil {
			return err
		}
	}
	return nil
}

func scanOne(l Log, each func(text []byte)) error {
	r, err := l.Open()
	if err != nil {
		return fault.Wrap(fault.BadSettings, err, "open a log")
	}
	defer r.Close()
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		each(s.Bytes())
	}
	if err := s.Err(); err != nil {
		return fault.Wrap(fault.BadSettings, err, "read a log")
	}
	return nil
}

func (x *Explanation) addStep(text []byte) {
	line, err := event.Parse(text)
	if err != nil {
		x.Unread++
		return
	}
	x.Steps = append(x.Steps, stepOf(line))
}

func (x *Explanation) addContext(s *subject, text []byte) {
	line, err := event.Parse(text)
	if err != nil {
		if fault.KindOf(err) != fault.NotFound { // a line of another program
			x.Unread++
		}
		return
	}
	if line.Time.Before(s.first.Add(-beforeOf(line.Event))) || line.Time.After(s.last.Add(contextAfter)) {
		return
	}
	if s.concerns(line) {
		x.Context = append(x.Context, stepOf(line))
	}
}

// beforeOf returns how long before the request a line is considered.
func beforeOf(e event.Event) time.Duration {
	switch e.(type) {
	case event.StandingBegun, event.StandingEnded:
		return standingBefore
	}
	return contextBefore
}

func stepOf(l event.Line) Step {
	return Step{Time: l.Time, Host: l.Host, Message: event.Message(l.Event), Text: l.Event.Text(), Event: l.Event}
}

func byTime(steps []Step) {
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
}
