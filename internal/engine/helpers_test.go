package engine

import (
	"context"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// The classes of settings.
const (
	idempotent = iota
	idempotentByKey
	notIdempotent
)

func settings() policy.Settings {
	s := policy.Defaults()
	s.Classes = []policy.Class{
		{Idempotency: policy.Idempotent},
		{Idempotency: policy.IdempotentByKey, DedupScope: policy.ScopeAll, DedupWindow: 20 * time.Second},
		{Idempotency: policy.NotIdempotent},
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		c.Deadline, c.LatencyObjective, c.PriorityWeight = 8*time.Second, 6*time.Second, 1
	}
	s.Limits = policy.Limits{MaxAttempts: 3, AllowHedging: true, AllowCancel: true, MaxRetryAfter: time.Second}
	return s
}

// exchange is an Exchanger made of a function.
type exchange func(call *Call, endpoint policy.EndpointID, payload any, timeRemaining time.Duration) Result

func (f exchange) Exchange(
	call *Call, endpoint policy.EndpointID, payload any, timeRemaining time.Duration,
) Result {
	return f(call, endpoint, payload, timeRemaining)
}

// served is an exchange that succeeds at once.
func served(call *Call, _ policy.EndpointID, payload any, _ time.Duration) Result {
	if !call.BeginSend() {
		return Result{Status: policy.NeverSent}
	}
	return Result{Status: policy.OK, Answer: payload}
}

// start returns a cluster with these endpoints, which are ready. It ends with the test.
func start(t testing.TB, ex Exchanger, endpoints ...policy.EndpointID) *Cluster {
	t.Helper()
	return startWith(t, ex, Options{}, endpoints...)
}

func startWith(t testing.TB, ex Exchanger, o Options, endpoints ...policy.EndpointID) *Cluster {
	t.Helper()
	o.Seed, o.Clock = 1, NewClock()
	c, err := New(context.Background(), settings(), ex, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.cancel(); <-c.Ended() })
	c.UpdateEndpoints(policy.FullUpdate, ready(endpoints...))
	return c
}

func ready(endpoints ...policy.EndpointID) (entries []policy.Endpoint) {
	for _, id := range endpoints {
		entries = append(entries, policy.Endpoint{ID: id, State: policy.Ready, Weight: 1})
	}
	return entries
}

// endpointIDs returns the first n ids.
func endpointIDs(n int) (ids []policy.EndpointID) {
	for i := range n {
		ids = append(ids, policy.EndpointID(i+1))
	}
	return ids
}

// request returns a request of the class whose deadline is timeRemaining from now.
func (c *Cluster) request(class int, timeRemaining time.Duration) *Request {
	return &Request{Class: class, Deadline: c.clock.Now() + timeRemaining, Payload: "x"}
}
