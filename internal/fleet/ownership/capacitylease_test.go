package ownership

import (
	"testing"
	"time"
)

// rateClock is a clock of a rate that showed 0 at the start.
type rateClock float64

func (c rateClock) at(now time.Duration) time.Duration {
	return time.Duration(float64(c) * float64(now))
}

// requestFrom has a holder request from an allocator, without handling the reply yet.
func requestFrom(
	now time.Duration, h *Holder, holderClock rateClock, a *Allocator, ownerClock rateClock, node string, demand float64,
) (LeaseRequest, LeaseReply) {
	request := h.NextRequest(holderClock.at(now), 0.5, demand)
	request.Node, request.Incarnation = node, "1"
	return request, a.Allocate(ownerClock.at(now), request)
}

// A grant ends before the release that it was taken from on any three clocks, and not long before.
func TestGrantEndsBeforeItsRelease(t *testing.T) {
	rates := []rateClock{1 - rateClock(simConfig.MaxClockDrift), 1, 1 + rateClock(simConfig.MaxClockDrift)}
	for i := range 27 {
		testGrantEnd(t, rates[i%3], rates[i/3%3], rates[i/9])
	}
}

func testGrantEnd(t *testing.T, lenderClock, ownerClock, borrowerClock rateClock) {
	t.Helper()
	lender, borrower := NewHolder(-time.Hour, simConfig), NewHolder(-time.Hour, simConfig)
	owner := NewAllocator(1, simConfig)
	for _, now := range []time.Duration{time.Hour, time.Hour + time.Millisecond} { // the owner's nonce, then a release
		_, reply := requestFrom(now, borrower, borrowerClock, owner, ownerClock, "b", 100)
		borrower.HandleReply(borrowerClock.at(now), reply)
		_, reply = requestFrom(now, lender, lenderClock, owner, ownerClock, "l", 1)
		lender.HandleReply(lenderClock.at(now), reply)
	}
	now := time.Hour + 200*time.Millisecond
	request, reply := requestFrom(now, borrower, borrowerClock, owner, ownerClock, "b", 100)
	if reply.Granted < 0.4 || request.Sequence != reply.Sequence ||
		!borrower.HandleReply(borrowerClock.at(now), reply) || borrower.HandleReply(borrowerClock.at(now), reply) {
		t.Fatalf("%+v", reply)
	}
	grantEnd := time.Duration(float64(borrower.granted[0].end) / float64(borrowerClock))
	releaseEnd := time.Duration(float64(lender.released[0].end) / float64(lenderClock))
	if grantEnd > releaseEnd || releaseEnd-grantEnd > simConfig.ReleaseDuration {
		t.Errorf("lender %.1f, owner %.1f, borrower %.1f: the grant ends %v, the release %v",
			lenderClock, ownerClock, borrowerClock, grantEnd-time.Hour, releaseEnd-time.Hour)
	}
	usable := lender.Usable(lenderClock.at(now), lenderClock.at(now), 0.5) +
		borrower.Usable(borrowerClock.at(now), borrowerClock.at(now), 0.5)
	if usable > 1 {
		t.Errorf("%.3f of the budget", usable)
	}
	if borrower.HandleReply(0, LeaseReply{Token: 0}) {
		t.Error("a reply by an earlier token is handled")
	}
}
