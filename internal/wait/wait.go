// Package wait sleeps for a duration or until a time, and stops early when a context
// ends.
package wait

import (
	"context"
	"time"
)

// For sleeps for d. It returns false if ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until sleeps until at. It returns false if ctx ended first.
func Until(ctx context.Context, at time.Time) bool { return For(ctx, time.Until(at)) }
