// Package ctxtime waits for a duration under a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep returns nil after d, or ctx's error as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
