package discovery

import (
	"testing"
	"time"
)

// Guards against a poll that is reported as failed while one of its calls is still in flight, and against a hedged call
// before it is due.
func TestPollEndsWithLastCall(t *testing.T) {
	t.Parallel()
	poll, _ := PushedTiming(time.Second).StartPoll(0)
	if poll.StartHedge(poll.NextHedge()-1) || !poll.StartHedge(poll.NextHedge()) {
		t.Error("StartHedge is true before NextHedge or false at NextHedge, want a hedged call just when it is due")
	}
	if poll.CallFailed() || !poll.CallFailed() {
		t.Error("CallFailed reports the first of two failures as the last or the second as not the last")
	}
}
