package edge

import (
	"context"
	"net/http"
	"time"
)

const (
	// quietTime is how long no request must be active before the server counts as quiet.
	quietTime = 100 * time.Millisecond
	// minShutdown is the least time that a shutdown has, also at the end of the grace
	// period.
	minShutdown = 100 * time.Millisecond
)

// shutdown stops a server within a time limit. The error tells that connections were left
// open.
//
// http.Server.Shutdown closes a connection without an answer if a request arrives on it
// meanwhile, on one that was just accepted, say. So the idle connections are closed
// first, and the server goes on answering until it is quiet.
func shutdown(s *http.Server, active func() int64, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), max(limit, minShutdown))
	defer cancel()
	s.SetKeepAlivesEnabled(false)
	waitUntilQuiet(ctx, active)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(ctx) }()
	waitUntilQuiet(ctx, active) // a request may have arrived before the shutdown
	cancel()
	return <-done
}

// waitUntilQuiet waits until no request has been active for quietTime, or ctx ends.
func waitUntilQuiet(ctx context.Context, active func() int64) {
	t := time.NewTicker(stopPollInterval)
	defer t.Stop()
	for since := time.Now(); time.Since(since) < quietTime; {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if active() > 0 {
			since = time.Now()
		}
	}
}
