package testutil

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// latenessInterval is the time between two ticks of Lateness.
const latenessInterval = 5 * time.Millisecond

// Lateness measures from now on how late the machine runs a goroutine that is due. The function that it returns gives
// the largest delay so far. A test whose verdict depends on when something was done checks it before it fails.
func Lateness(t testing.TB) func() time.Duration {
	var worst atomic.Int64
	stop := make(chan struct{})
	var run sync.WaitGroup
	run.Go(func() {
		tick := time.NewTicker(latenessInterval)
		defer tick.Stop()
		for last := time.Now(); ; {
			select {
			case <-stop:
				return
			case <-tick.C:
				now := time.Now()
				worst.Store(max(worst.Load(), int64(now.Sub(last)-latenessInterval)))
				last = now
			}
		}
	})
	t.Cleanup(func() {
		close(stop)
		run.Wait()
	})
	return func() time.Duration { return time.Duration(worst.Load()) }
}
