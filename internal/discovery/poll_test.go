package discovery

import (
	"testing"
	"time"
)

// A poll ends with its last call.
func TestPollEndsWithLastCall(t *testing.T) {
	t.Parallel()
	poll, _ := PushedTiming(time.Second).StartPoll(0)
	if poll.StartHedge(poll.NextHedge()-1) || !poll.StartHedge(poll.NextHedge()) {
		t.Error("a hedged call at another time than it was due")
	}
	if poll.CallFailed() || !poll.CallFailed() {
		t.Error("ended with another call than the last one")
	}
}
