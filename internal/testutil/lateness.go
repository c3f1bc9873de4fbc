package testutil

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Lateness measures how late the machine is from now on: the function that it gives says by how much the latest of all
// ticks was. A test whose verdict rests on when something was done asks it before it blames the program.
func Lateness(t testing.TB) func() time.Duration {
	const every = 5 * time.Millisecond
	var worst atomic.Int64
	stop := make(chan struct{})
	var run sync.WaitGroup
	run.Go(func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for last := time.Now(); ; {
			select {
			case <-stop:
				return
			case <-tick.C:
				now := time.Now()
				worst.Store(max(worst.Load(), int64(now.Sub(last)-every)))
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
