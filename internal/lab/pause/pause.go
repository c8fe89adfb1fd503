// Package pause lets the lab wait for a time or the end of a context.
package pause

import (
	"context"
	"time"
)

// For returns nil after d, or the context's error if ctx ends first.
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
