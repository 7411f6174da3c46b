// Package wait pauses for a while or until a context ends.
package wait

import (
	"context"
	"time"
)

// For pauses for d. It returns false if the context ended first.
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

// Until pauses until a time. It returns false if the context ended first.
func Until(ctx context.Context, at time.Time) bool { return For(ctx, time.Until(at)) }
