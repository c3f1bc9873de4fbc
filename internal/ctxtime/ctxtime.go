// Package ctxtime provides waits that end with a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for the duration d and returns nil, or returns ctx's error as soon as ctx ends.
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
