package extproc

import (
	"testing"

	"yokestall/policy"
)

// The end of a stream follows the outcome that was reported on it, and may come after the engine's attempt has taken
// that outcome: an attempt that was not sent must not become one that may have run.
func TestOnlyTheFirstOutcomeOfAnAttemptCounts(t *testing.T) {
	t.Parallel()
	r := &pickRequest{attemptPending: true}
	first := &pickedEndpoint{outcome: make(chan policy.Status, 1)}
	r.reportOutcome(first, policy.ConnectFailed)
	if got := <-first.outcome; got != policy.ConnectFailed {
		t.Errorf("the attempt's outcome: %v", got)
	}
	r.attemptPending = true // the next endpoint is named
	r.reportOutcome(first, policy.Reset)
	if r.mayHaveRun {
		t.Error("the request may have run, though its attempt was not sent")
	}
	if !r.attemptPending {
		t.Error("the next attempt counts as ended")
	}
	select {
	case got := <-first.outcome:
		t.Errorf("a second outcome: %v", got)
	default:
	}
}
