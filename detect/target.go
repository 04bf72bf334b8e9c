package detect

import "time"

// Key identifies one backend server of one service.
type Key struct {
	Service string
	Server  string
}

// Target is a backend server to watch.
type Target struct {
	Key
	Address       string        // IP and port
	Path          string        // of the health endpoint
	Interval      time.Duration // time between probes of a server without traffic
	Timeout       time.Duration // of one probe
	FailoverAfter time.Duration // silence after which the server is judged lost
}

// Judgement is the state of a server as one observer sees it.
type Judgement int

// The judgements.
const (
	Fine     Judgement = iota
	Doubtful           // contacts fail or are late, but not yet for FailoverAfter
	Lost               // no answer for FailoverAfter
	Gone               // its host refuses connections: the process has ended
)

var judgementNames = [...]string{Fine: "fine", Doubtful: "doubtful", Lost: "lost", Gone: "gone"}

// String returns the judgement as it is shown to people.
func (j Judgement) String() string { return judgementNames[j] }

// IsLost reports whether the server's shards must be given to other owners.
func (j Judgement) IsLost() bool { return j == Lost || j == Gone }

// Change is a new judgement of one server.
type Change struct {
	Key
	From, To Judgement
	Cause    string // for people
}
