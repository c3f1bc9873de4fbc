package testutil

import (
	"testing"
	"time"
)

// WaitTimeout is how long a test waits for what must happen. It ends a failure; it is
// never a pace, and no test passes by waiting it out.
const WaitTimeout = 30 * time.Second

// Wait gives the next value of a channel.
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

// Until waits for a condition that no event tells of.
func Until(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}
