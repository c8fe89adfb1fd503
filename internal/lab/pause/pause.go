// Package pause provides a sleep that a context can cancel.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns nil, or returns the context's error if ctx ends
// first.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
