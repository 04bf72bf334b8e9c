package routing

import (
	"net/http"
	"time"
)

// Limits on callers' connections and requests.
const (
	readHeaderTimeout  = 5 * time.Second
	callerIdleTimeout  = 60 * time.Second
	maxCallerHeader    = 64 << 10
	maxStreamsPerConn  = 256
	http2PingTimeout   = 5 * time.Second
	http2PingAfterIdle = 15 * time.Second
	http2WriteTimeout  = 30 * time.Second
	maxHTTP2FrameBytes = 64 << 10
)

// NewServer returns the HTTP server for callers: HTTP/1.1 and HTTP/2 without
// TLS, with limits on header size, slow callers and streams per connection.
// Malformed requests, among them those with two lengths, never reach h.
func NewServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxCallerHeader,
		Protocols:         protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreamsPerConn,
			MaxReadFrameSize:     maxHTTP2FrameBytes,
			SendPingTimeout:      http2PingAfterIdle,
			PingTimeout:          http2PingTimeout,
			WriteByteTimeout:     http2WriteTimeout,
		},
	}
}
