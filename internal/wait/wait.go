// Package wait provides a sleep that ends early with a context.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d. If ctx ends first, it returns the error of ctx.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
