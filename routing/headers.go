package routing

import (
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Header names. HeaderOutcome is set on every answer to a caller and holds a
// fault.Outcome.
const (
	HeaderOutcome    = "Lacewingsaddle-Outcome"
	HeaderRequestID  = "Lacewingsaddle-Request-Id"
	HeaderToken      = "Lacewingsaddle-Token"
	HeaderShard      = "Lacewingsaddle-Shard"
	HeaderDeadlineMS = "Lacewingsaddle-Deadline-Ms"
	HeaderServer     = "Lacewingsaddle-Server"
	HeaderNotRun     = "Lacewingsaddle-Not-Run" // set by a backend server that did not run a request, with the reason

	// HeaderOrderID holds the id that a caller gives an order. Orders with the
	// same id are sent once.
	HeaderOrderID = "Idempotency-Key"

	headerKind      = "Lacewingsaddle-Error" // the error kind of a problem body
	headerForwarded = "Forwarded"
	headerPrefix    = "Lacewingsaddle-"
)

// extraHeaders is the capacity reserved for the headers that outgoingHeader adds.
const extraHeaders = 6

// hopByHop reports whether a header is hop-by-hop (RFC 9110, section 7.6.1).
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// endToEnd copies the end-to-end headers of from into a new header. It omits
// hop-by-hop headers, those that Connection names and those with headerPrefix.
// The value slices are shared, so callers must replace them rather than append
// in place.
func endToEnd(from http.Header) http.Header {
	to := make(http.Header, len(from)+extraHeaders)
	for name, values := range from {
		if hopByHop(name) || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		to[name] = values
	}
	dropConnectionOptions(to, from)
	return to
}

// removeHopByHop removes from h, in place, the headers that endToEnd omits.
func removeHopByHop(h http.Header) http.Header {
	dropConnectionOptions(h, h)
	for name := range h {
		if hopByHop(name) || strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
	return h
}

// dropConnectionOptions deletes from to the headers that Connection names in from.
func dropConnectionOptions(to, from http.Header) {
	for _, line := range from["Connection"] {
		for option := range strings.SplitSeq(line, ",") {
			delete(to, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(option)))
		}
	}
}

// appendForwarded adds this hop to the Forwarded header (RFC 7239).
func appendForwarded(to http.Header, in *http.Request) {
	hop := "for=" + forwardedNode(in.RemoteAddr) + ";proto=http"
	if host := in.Host; host != "" && !strings.ContainsAny(host, "\"\\") {
		hop += `;host="` + host + `"`
	}
	old := to[headerForwarded]
	chain := make([]string, 0, len(old)+1)
	to[headerForwarded] = append(append(chain, old...), hop)
}

// forwardedNode returns the node identifier of a remote address (RFC 7239,
// section 6).
func forwardedNode(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return "unknown"
	}
	if strings.Contains(host, ":") {
		return `"[` + host + `]"`
	}
	return host
}

// callerTimeout returns the time left until the caller's deadline, and false when
// the caller gave none or an invalid one.
func callerTimeout(h http.Header) (time.Duration, bool) {
	text := h.Get(HeaderDeadlineMS)
	if text == "" {
		return 0, false
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// retryAfter returns the delay of an answer's Retry-After header, at most
// maxRetryAfter. It is 0 without a header in seconds; dates are ignored.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

const maxRetryAfter = 30 * time.Second
