// Package detect is the failure detector of an entry host: it decides from requests
// and health probes whether a backend server is lost.
//
// Detector holds the rules and reads no clock: the caller passes the time. Monitor
// runs a Detector, sends its probes and reports the changes.
package detect

import "time"

// Result is how one contact with a backend server ended.
type Result int

// The results of a contact.
const (
	Answered    Result = iota // the server answered
	Refused                   // the server's host refused the connection
	Unreachable               // no connection could be opened
	Silent                    // no answer in time
	Broken                    // the connection failed before the answer was complete
)

// Observation is one contact with a backend server.
type Observation struct {
	Service string
	Server  string
	Result  Result
	Probe   bool // a health probe rather than a caller's request
	Latency time.Duration
}

// Observer receives observations. Implementations must be safe for concurrent use.
type Observer interface {
	Observe(o Observation)
}
