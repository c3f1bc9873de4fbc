package testutil

import (
	"testing"
	"time"
)

// WaitTimeout is how long a test waits for what must happen. It bounds the time of a failure: no test passes by
// waiting it out.
const WaitTimeout = 30 * time.Second

// Wait returns the next value of a channel. The test fails if none comes within WaitTimeout.
func Wait[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(WaitTimeout):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 2 * time.Millisecond

// Until polls a condition that no event announces. The test fails if it does not hold within WaitTimeout.
func Until(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(WaitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}
