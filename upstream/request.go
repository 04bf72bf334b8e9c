package upstream

import (
	"io"
	"net/http"
	"slices"
	"time"
)

// Field is one header line.
type Field struct{ Name, Value string }

// Request is a request to a backend server.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header // without hop-by-hop headers
	Extra  []Field     // set by the router
	// ID is compared with the response's IDHeader, to match it to the request.
	ID       string
	IDHeader string
	Body     []byte
	Rest     io.Reader // follows Body; nil if Body is complete. Its errors are *fault.Error
	Length   int64     // of Body and Rest together; -1 means chunked
	Once     bool      // may run at most once
	Keyed    bool      // the server owns the key of the request
	Retry    bool      // a byte of it was sent before, to this or another server
	// Attempts is shared by all requests that are sent with the same ID.
	Attempts *Attempts
	Deadline time.Time
}

// Attempts records the connections on which a request was sent. A retry with the same
// ID is sent on another connection: there a second copy of the response to an earlier
// attempt cannot be taken for its own.
type Attempts struct{ conns []*conn }

// used reports whether the request was sent on a connection. a may be nil.
func (a *Attempts) used(c *conn) bool { return a != nil && slices.Contains(a.conns, c) }

// add records that the request is sent on a connection. a may be nil.
func (a *Attempts) add(c *conn) {
	if a != nil {
		a.conns = append(a.conns, c)
	}
}
