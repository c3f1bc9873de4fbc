package engine

import (
	"errors"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// New returns an error for settings that policy.New rejects.
func TestInvalidSettings(t *testing.T) {
	if _, err := New(t.Context(), policy.Settings{}, nil, Options{}); err == nil {
		t.Error("New returned no error for empty settings")
	}
}

// A retired cluster completes its open requests, takes no new requests, and then ends.
func TestRetire(t *testing.T) {
	sent, release := make(chan struct{}), make(chan struct{})
	c := startCluster(t, exchangerFunc(func(call *Call, e policy.EndpointID, p any, timeRemaining time.Duration) Result {
		res := echoExchange(call, e, p, timeRemaining)
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
		t.Errorf("a request after Retire got the error %v, want ErrRetired", err)
	}
	select {
	case <-c.Ended():
		t.Error("the cluster ended while a request was open")
	default:
	}
	close(release)
	if a := <-answered; a.Verdict != Served {
		t.Errorf("the open request got %+v, want the verdict Served", a)
	}
	<-c.Ended()
}

// A retired cluster without open requests ends at once.
func TestRetireIdle(t *testing.T) {
	c := startCluster(t, exchangerFunc(echoExchange), 1)
	c.Retire()
	<-c.Ended()
	if _, err := c.Do(t.Context(), c.request(idempotent, testutil.WaitTimeout)); !errors.Is(err, ErrRetired) {
		t.Errorf("a request after Retire got the error %v, want ErrRetired", err)
	}
}

// Abort fails a request whose attempt was sent.
func TestAbortWithAnAttemptInFlight(t *testing.T) {
	sent := make(chan struct{}, 3)
	c := startCluster(t, exchangerFunc(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
		call.BeginSend()
		sent <- struct{}{}
		<-call.Context().Done()
		return Result{Status: policy.Reset}
	}), 1)
	go func() { <-sent; c.Abort() }()
	if a, err := c.Do(t.Context(), c.request(idempotent, testutil.WaitTimeout)); err != nil || a.Verdict != Failed {
		t.Errorf("got %+v, error %v; want the verdict Failed", a, err)
	}
}

// Abort rejects a request that has certainly not run and fails a request that may have run. A request whose attempt is
// still connecting has not run, and the attempt must not be sent once its connection is established. Requests after Abort
// are rejected at once.
func TestAbortRejectsWhatHasNotRun(t *testing.T) {
	inFlight, connecting := make(chan struct{}, 4), make(chan struct{}, 4)
	connected, sentLate := make(chan struct{}), make(chan bool, 4)
	c := startCluster(t, exchangerFunc(func(call *Call, _ policy.EndpointID, payload any, _ time.Duration) Result {
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
				t.Errorf("%s: Do returned the error %v", payload, err)
			}
			ch <- a
		}()
	}
	submit("in flight")
	testutil.Wait(t, inFlight, "the first request's attempt to be sent")
	submit("connecting")
	testutil.Wait(t, connecting, "the second request's attempt to connect")
	c.Abort()
	for payload, want := range map[string]Verdict{"in flight": Failed, "connecting": Rejected} {
		if a := testutil.Wait(t, answers[payload], payload); a.Verdict != want {
			t.Errorf("%s: got verdict %d, want %d", payload, a.Verdict, want)
		}
	}
	submit("after Abort")
	if a := testutil.Wait(t, answers["after Abort"], "the request after Abort"); a.Verdict != Rejected || a.MayHaveRun {
		t.Errorf("the request after Abort got %+v, want the verdict Rejected without MayHaveRun", a)
	}
	close(connected)
	if <-sentLate {
		t.Error("BeginSend of the connecting attempt returned true after the final answer, want false")
	}
	if len(inFlight) > 0 {
		t.Error("the request after Abort was sent")
	}
}

// A cluster that ends with an attempt in flight must not return ErrRetired, which means that nothing was sent, nor an
// answer without MayHaveRun (docs/incidents/0002): the client would retry a request that is not idempotent and may have
// run.
func TestEndWithAnAttemptInFlight(t *testing.T) {
	sent := make(chan struct{})
	c := startCluster(t, exchangerFunc(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
		call.BeginSend()
		close(sent)
		<-call.Context().Done()
		return Result{Status: policy.Reset}
	}), 1)
	go func() { <-sent; c.cancel() }()
	a, err := c.Do(t.Context(), c.request(notIdempotent, testutil.WaitTimeout))
	if err != nil || a.Verdict != Failed || !a.MayHaveRun {
		t.Errorf("got %+v, error %v; want the verdict Failed and MayHaveRun", a, err)
	}
}
