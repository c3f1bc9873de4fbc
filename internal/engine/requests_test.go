package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// The final answer of a request is the answer that its exchange returned.
func TestServed(t *testing.T) {
	c := startCluster(t, exchangerFunc(echoExchange), 1, 2)
	a, err := c.Do(t.Context(), c.request(idempotent, testutil.WaitTimeout))
	if err != nil || a.Verdict != Served || a.Value != "x" {
		t.Errorf("got %+v, error %v; want the verdict Served with the value x", a, err)
	}
}

// An exchanger that does not return must not delay the final answer: the deadline ends the attempt, and the answer
// follows at once.
func TestUnresponsiveExchanger(t *testing.T) {
	ended := make(chan struct{}, 3)
	c := startCluster(t, exchangerFunc(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
		call.BeginSend()
		<-call.Context().Done()
		ended <- struct{}{}
		return Result{Status: policy.OK, Answer: "late"}
	}), 1)
	began := time.Now()
	a, err := c.Do(t.Context(), c.request(notIdempotent, 100*time.Millisecond))
	took := time.Since(began)
	if err != nil || a.Verdict == Served || took < 90*time.Millisecond || took > testutil.WaitTimeout {
		t.Errorf("got %+v, error %v after %v; want a verdict other than Served at the deadline, after 100 ms", a, err, took)
	}
	<-ended
}

// A client that disconnects has the attempt of its request stopped.
func TestClientDisconnects(t *testing.T) {
	sent, ended := make(chan struct{}), make(chan struct{})
	c := startCluster(t, exchangerFunc(func(call *Call, _ policy.EndpointID, _ any, _ time.Duration) Result {
		call.BeginSend()
		close(sent)
		<-call.Context().Done()
		close(ended)
		return Result{Status: policy.Reset}
	}), 1)
	ctx, disconnect := context.WithCancel(t.Context())
	go func() { <-sent; disconnect() }()
	if _, err := c.Do(ctx, c.request(idempotent, testutil.WaitTimeout)); !errors.Is(err, ErrClientDisconnected) {
		t.Errorf("got the error %v, want ErrClientDisconnected", err)
	}
	<-ended
}
