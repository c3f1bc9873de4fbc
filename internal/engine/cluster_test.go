package engine

import (
	"errors"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// Settings that the Balancer refuses give an error.
func TestInvalidSettings(t *testing.T) {
	if _, err := New(t.Context(), policy.Settings{}, nil, Options{}); err == nil {
		t.Error("no error")
	}
}

// A retired cluster finishes its open requests, takes no new ones, and ends.
func TestRetire(t *testing.T) {
	sent, release := make(chan struct{}), make(chan struct{})
	c := start(t, exchange(func(call *Call, e policy.EndpointID, p any, timeRemaining time.Duration) Result {
		res := served(call, e, p, timeRemaining)
		close(sent)
		<-release
		return res
	}), 1)
	answered := make(chan Answer, 1)
	go func() {
		a, _ := c.Do(t.Context(), c.request(idempotent, testutil.WaitTimeout))
		answered <- a
	}()
	<-sent
	c.Retire()
	if _, err := c.Do(t.Context(), c.request(idempotent, testutil.WaitTimeout)); !errors.Is(err, ErrRetired) {
		t.Errorf("a new request gets %v", err)
	}
	select {
	case <-c.Ended():
		t.Error("ended with a request open")
	default:
	}
	close(release)
	if a := <-answered; a.Verdict != Served {
		t.Errorf("the open one got %+v", a)
	}
	<-c.Ended()
}

// A retired cluster without open requests ends at once.
func TestRetireIdle(t *testing.T) {
	c := start(t, exchange(served), 1)
	c.Retire()
	<-c.Ended()
	if _, err := c.Do(t.Context(), c.request(idempotent, testutil.WaitTimeout)); !errors.Is(err, ErrRetired) {
		t.Errorf("error %v", err)
	}
}

// Abort fails a request whose attempt was sent.
func TestAbortWithAnAttemptInFlight(t *testing.T) {
	sent := make(chan struct{}, 3)
	c := start(t, exchange(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
		call.BeginSend()
		sent <- struct{}{}
		<-call.Context().Done()
		return Result{Status: policy.Reset}
	}), 1)
	go func() { <-sent; c.Abort() }()
	if a, err := c.Do(t.Context(), c.request(idempotent, testutil.WaitTimeout)); err != nil || a.Verdict != Failed {
		t.Errorf("%+v, %v", a, err)
	}
}

// Abort rejects a request that surely has not run, also while its connection is established, which carries nothing
// then, and fails one that may have run. Later requests are rejected at once.
func TestAbortRejectsWhatHasNotRun(t *testing.T) {
	inFlight, connecting := make(chan struct{}, 4), make(chan struct{}, 4)
	connected, sentLate := make(chan struct{}), make(chan bool, 4)
	c := start(t, exchange(func(call *Call, _ policy.EndpointID, payload any, _ time.Duration) Result {
		if payload == "connecting" {
			connecting <- struct{}{}
			<-connected
			sentLate <- call.BeginSend()
			return Result{Status: policy.NeverSent}
		}
		call.BeginSend()
		inFlight <- struct{}{}
		<-call.Context().Done()
		return Result{Status: policy.Cancelled}
	}), 1, 2)
	answers := map[string]chan Answer{}
	submit := func(payload string) {
		ch := make(chan Answer, 1)
		answers[payload] = ch
		go func() {
			r := c.request(notIdempotent, testutil.WaitTimeout)
			r.Payload = payload
			a, err := c.Do(t.Context(), r)
			if err != nil {
				t.Errorf("%s: %v", payload, err)
			}
			ch <- a
		}()
	}
	submit("in flight")
	testutil.Wait(t, inFlight, "an attempt")
	submit("connecting")
	testutil.Wait(t, connecting, "the other attempt")
	c.Abort()
	for payload, want := range map[string]Verdict{"in flight": Failed, "connecting": Rejected} {
		if a := testutil.Wait(t, answers[payload], payload); a.Verdict != want {
			t.Errorf("%s: verdict %d, want %d", payload, a.Verdict, want)
		}
	}
	submit("after Abort")
	if a := testutil.Wait(t, answers["after Abort"], "the request after Abort"); a.Verdict != Rejected || a.MayHaveRun {
		t.Errorf("after Abort: %+v", a)
	}
	close(connected)
	if <-sentLate {
		t.Error("sent after its answer")
	}
	if len(inFlight) > 0 {
		t.Error("the request after Abort was sent")
	}
}

// A cluster that ends with an attempt in flight must not report ErrRetired, which promises that nothing was sent: the
// client would retry a request that is not idempotent.
func TestEndWithAnAttemptInFlight(t *testing.T) {
	sent := make(chan struct{})
	c := start(t, exchange(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
		call.BeginSend()
		close(sent)
		<-call.Context().Done()
		return Result{Status: policy.Reset}
	}), 1)
	go func() { <-sent; c.cancel() }()
	if a, err := c.Do(t.Context(), c.request(notIdempotent, testutil.WaitTimeout)); err != nil || a.Verdict != Failed {
		t.Errorf("%+v, %v", a, err)
	}
}
