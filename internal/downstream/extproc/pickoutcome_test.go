package extproc

import (
	"testing"

	"yokestall/policy"
)

// Only the first outcome of an attempt has an effect. After an outcome was reported, the end of the same stream reports
// another one, possibly when the engine has already received the first: an attempt that was never sent must not turn
// into one that may have run.
func TestOnlyTheFirstOutcomeOfAnAttemptCounts(t *testing.T) {
	t.Parallel()
	r := &pickRequest{attemptPending: true}
	first := &pickedEndpoint{outcome: make(chan policy.Status, 1)}
	r.reportOutcome(first, policy.ConnectFailed)
	if got := <-first.outcome; got != policy.ConnectFailed {
		t.Errorf("the attempt's outcome is %v, want %v", got, policy.ConnectFailed)
	}
	r.attemptPending = true // the next endpoint was named
	r.reportOutcome(first, policy.Reset)
	if r.mayHaveRun {
		t.Error("the request counts as one that may have run, though its attempt was never sent")
	}
	if !r.attemptPending {
		t.Error("the next attempt counts as ended, want it to be pending")
	}
	select {
	case got := <-first.outcome:
		t.Errorf("the attempt got a second outcome %v, want only the first", got)
	default:
	}
}
