package routing

import (
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Headers of the project. The Lacewingsaddle-Outcome header of an answer holds
// a fault.Outcome; the others go to backend servers.
const (
	HeaderOutcome    = "Lacewingsaddle-Outcome"
	HeaderRequestID  = "Lacewingsaddle-Request-Id"
	HeaderToken      = "Lacewingsaddle-Token"
	HeaderShard      = "Lacewingsaddle-Shard"
	HeaderDeadlineMS = "Lacewingsaddle-Deadline-Ms"
	HeaderServer     = "Lacewingsaddle-Server"
	HeaderNotRun     = "Lacewingsaddle-Not-Run" // a backend server's word that it did not run a request

	// HeaderOrderID is the caller's id of an order, for duplicate claims.
	HeaderOrderID = "Idempotency-Key"

	headerKind      = "Lacewingsaddle-Error" // the error kind of a problem body
	headerForwarded = "Forwarded"
	headerPrefix    = "Lacewingsaddle-"
)

// extraHeaders is the room kept for the headers that a request gains.
const extraHeaders = 6

// hopByHop reports whether a header ends at this hop (RFC 9110, section 7.6.1).
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// endToEnd copies the end-to-end headers of from into a new header. Hop-by-hop
// headers, those that Connection names and the project's own are left out. The
// value slices are shared, so callers replace them and never append in place.
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

// removeHopByHop removes in place what endToEnd leaves out.
func removeHopByHop(h http.Header) http.Header {
	dropConnectionOptions(h, h)
	for name := range h {
		if hopByHop(name) || strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
	return h
}

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

// callerTimeout returns the time that the caller still gives the request.
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

// retryAfter returns the delay that an answer's Retry-After asks for in
// seconds, at most maxRetryAfter; 0 means none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

const maxRetryAfter = 30 * time.Second
