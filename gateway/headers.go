package gateway

import (
	"net/http"
	"strings"
)

// Headers are the names of the headers that routing reads and sets.
type Headers struct {
	RequestID string // identifies one attempt of the caller
	Deadline  string // milliseconds for which the caller waits
	Signature string // proves that a response comes from a backend server
	Expected  string // id of the backend server that the request is meant for
	NotRun    string // set by a backend server that did not run the request
	Key       string // key of a sharded service
	Leaving   string // set by a backend server that leaves
}

// hopByHop lists the headers that are not forwarded as they are: those that apply
// to one connection, and those that the gateway sets itself.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
}

// endToEnd returns a copy of the headers to forward, without those listed in drop.
func endToEnd(in http.Header, drop ...string) http.Header {
	named := connectionOptions(in)
	out := make(http.Header, len(in))
	for name, values := range in {
		if hopByHop[name] || named[name] {
			continue
		}
		out[name] = values
	}
	for _, name := range drop {
		delete(out, http.CanonicalHeaderKey(name))
	}
	return out
}

// connectionOptions returns the header names listed in the Connection header.
func connectionOptions(in http.Header) map[string]bool {
	var out map[string]bool
	for _, line := range in["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if out == nil {
				out = map[string]bool{}
			}
			out[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}
