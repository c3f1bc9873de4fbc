package testutil

import (
	"testing"
	"time"
)

// WaitTimeout is the maximum time for which a test waits for an event that must occur. It only bounds the time until a failure:
// no test passes because the time has elapsed.
const WaitTimeout = 30 * time.Second

// Wait returns the next value of a channel. The test fails if it receives no value within WaitTimeout. what names the awaited
// event in the failure message.
func Wait[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(WaitTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 2 * time.Millisecond

// Until polls a condition until it holds, for conditions that no event signals. The test fails if the condition doesn't hold
// within WaitTimeout. what names the condition in the failure message.
func Until(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(WaitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}
