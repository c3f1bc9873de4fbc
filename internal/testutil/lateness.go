package testutil

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// latenessInterval is the time between two ticks of the goroutine of Lateness.
const latenessInterval = 5 * time.Millisecond

// Lateness starts to measure how late the machine runs a goroutine that is due. The returned function gives the largest delay
// since the start. A test that fails if an event is late should check this delay first, because the event may be
// late only because the machine was.
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
