package ownership

import (
	"testing"
	"time"
)

// rateClock is the rate of a clock that shows 0 at true time 0.
type rateClock float64

func (c rateClock) at(now time.Duration) time.Duration {
	return time.Duration(float64(c) * float64(now))
}

// requestFrom sends a holder's next request to an allocator and returns the request and the reply. The holder has not
// handled the reply yet.
func requestFrom(
	now time.Duration, h *Holder, holderClock rateClock, a *Allocator, ownerClock rateClock, node string, demand float64,
) (LeaseRequest, LeaseReply) {
	request := h.NextRequest(holderClock.at(now), 0.5, demand)
	request.Node, request.Incarnation = node, "1"
	return request, a.Allocate(ownerClock.at(now), request)
}

// On any three allowed clocks, a grant ends before the release that it was taken from, but not more than a
// ReleaseDuration before.
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
	for _, now := range []time.Duration{time.Hour, time.Hour + time.Millisecond} { // fetch the owner's nonce, then release
		_, reply := requestFrom(now, borrower, borrowerClock, owner, ownerClock, "b", 100)
		borrower.HandleReply(borrowerClock.at(now), reply)
		_, reply = requestFrom(now, lender, lenderClock, owner, ownerClock, "l", 1)
		lender.HandleReply(lenderClock.at(now), reply)
	}
	now := time.Hour + 200*time.Millisecond
	request, reply := requestFrom(now, borrower, borrowerClock, owner, ownerClock, "b", 100)
	if reply.Granted < 0.4 || request.Sequence != reply.Sequence ||
		!borrower.HandleReply(borrowerClock.at(now), reply) || borrower.HandleReply(borrowerClock.at(now), reply) {
		t.Fatalf("reply %+v; want a grant of at least 0.4, a matching sequence, and that it is handled only once", reply)
	}
	grantEnd := time.Duration(float64(borrower.granted[0].end) / float64(borrowerClock))
	releaseEnd := time.Duration(float64(lender.released[0].end) / float64(lenderClock))
	if grantEnd > releaseEnd || releaseEnd-grantEnd > simConfig.ReleaseDuration {
		t.Errorf("clock rates: lender %.1f, owner %.1f, borrower %.1f: grant ends at %v, want shortly before the release at %v",
			lenderClock, ownerClock, borrowerClock, grantEnd-time.Hour, releaseEnd-time.Hour)
	}
	usable := lender.Usable(lenderClock.at(now), lenderClock.at(now), 0.5) +
		borrower.Usable(borrowerClock.at(now), borrowerClock.at(now), 0.5)
	if usable > 1 {
		t.Errorf("lender and borrower may use %.3f of the budget, want at most 1", usable)
	}
	if borrower.HandleReply(0, LeaseReply{Token: 0}) {
		t.Error("reply with an earlier token is handled, want it ignored")
	}
}
