package engine

import (
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// The grace is the one that the options give, not a constant: a
// deployment may allow less than that.
func TestGraceOfTheOptions(t *testing.T) {
	const grace = 50 * time.Millisecond
	waiting, connected, began := make(chan *Call, 4), make(chan struct{}), make(chan bool, 4)
	c := startWith(t, exchange(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
		waiting <- call
		<-connected
		began <- call.BeginSend()
		return Result{Status: policy.NeverSent}
	}), Options{DrainGrace: grace}, 1)
	go c.Do(t.Context(), c.request(2, testutil.Patience))
	<-waiting
	c.UpdateEndpointsAt(c.clock.Now()-grace-1, policy.DeltaUpdate, []policy.Endpoint{{ID: 1, State: policy.Draining}})
	close(connected)
	if <-began {
		t.Error("a send after the grace")
	}
}

// What the end of the program finds is answered by what is known of it: refused where surely nothing
// has run, also while a connection comes up, which carries nothing then; failed where it may have.
// What comes behind that is refused at once: there is nobody left to answer it later.
func TestAbandonRefusesWhatHasNotRun(t *testing.T) {
	begins, waits, connected, sent := make(chan struct{}, 4), make(chan struct{}, 4), make(chan struct{}), make(chan bool, 4)
	c := start(t, exchange(func(call *Call, _ policy.EndpointID, payload any, _ time.Duration) Result {
		if payload == "waits" {
			waits <- struct{}{}
			<-connected
			sent <- call.BeginSend()
			return Result{Status: policy.NeverSent}
		}
		call.BeginSend()
		begins <- struct{}{}
		<-call.Context().Done()
		return Result{Status: policy.Cancelled}
	}), 1, 2)
	answers := map[string]chan Answer{}
	ask := func(payload string) {
		ch := make(chan Answer, 1)
		answers[payload] = ch
		go func() {
			r := c.request(2, testutil.Patience)
			r.Payload = payload
			a, err := c.Do(t.Context(), r)
			if err != nil {
				t.Errorf("%s: %v", payload, err)
			}
			ch <- a
		}()
	}
	ask("is out")
	testutil.Wait(t, begins, "an attempt")
	ask("waits")
	testutil.Wait(t, waits, "the other attempt")
	c.Abort()
	for payload, want := range map[string]Verdict{"is out": Failed, "waits": Rejected} {
		if a := testutil.Wait(t, answers[payload], payload); a.Verdict != want {
			t.Errorf("%s: verdict %d, want %d", payload, a.Verdict, want)
		}
	}
	ask("comes behind")
	if a := testutil.Wait(t, answers["comes behind"], "the one behind"); a.Verdict != Rejected || a.MayHaveRun {
		t.Errorf("the one behind: %+v", a)
	}
	close(connected)
	if <-sent {
		t.Error("sent after its answer")
	}
	if len(begins) > 0 {
		t.Error("the one behind was sent")
	}
}
