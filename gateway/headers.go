package gateway

import (
	"net/http"
	"strings"
)

// Headers are the names of the headers that routing reads and sets.
type Headers struct {
	RequestID string // the caller's id of one attempt
	Deadline  string // milliseconds that the caller waits
	Signature string // proves that a backend server made an answer
	Expected  string // id of the backend server that shall take the request
	NotRun    string // a backend server's word that it did not run the request
	Key       string // key of a sharded service
}

// hopByHop are headers that concern one connection only.
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

// endToEnd copies the headers that are passed on, without those that drop names.
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

// connectionOptions returns the headers that the Connection header names.
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
