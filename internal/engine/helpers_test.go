package engine

import (
	"context"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// The indices of the classes in the result of settings.
const (
	idempotent = iota
	idempotentByKey
	notIdempotent
)

func settings() policy.Settings {
	s := policy.DefaultSettings()
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

// exchangerFunc is a function that implements Exchanger.
type exchangerFunc func(call *Call, endpoint policy.EndpointID, payload any, timeRemaining time.Duration) Result

func (f exchangerFunc) Exchange(
	call *Call, endpoint policy.EndpointID, payload any, timeRemaining time.Duration,
) Result {
	return f(call, endpoint, payload, timeRemaining)
}

// echoExchange is an exchange that succeeds at once, with the payload as its answer.
func echoExchange(call *Call, _ policy.EndpointID, payload any, _ time.Duration) Result {
	if !call.BeginSend() {
		return Result{Status: policy.NeverSent}
	}
	return Result{Status: policy.OK, Answer: payload}
}

// startCluster returns a cluster whose endpoints are ready. The cluster ends with the test.
func startCluster(t testing.TB, ex Exchanger, endpoints ...policy.EndpointID) *Cluster {
	t.Helper()
	return startClusterWith(t, ex, Options{}, endpoints...)
}

func startClusterWith(t testing.TB, ex Exchanger, o Options, endpoints ...policy.EndpointID) *Cluster {
	t.Helper()
	o.Seed, o.Clock = 1, NewClock()
	c, err := New(context.Background(), settings(), ex, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.cancel(); <-c.Ended() })
	c.UpdateEndpoints(policy.FullUpdate, readyEndpoints(endpoints...))
	return c
}

func readyEndpoints(endpoints ...policy.EndpointID) (entries []policy.Endpoint) {
	for _, id := range endpoints {
		entries = append(entries, policy.Endpoint{ID: id, State: policy.Ready, Weight: 1})
	}
	return entries
}

// endpointIDs returns the ids 1 to n.
func endpointIDs(n int) (ids []policy.EndpointID) {
	for i := range n {
		ids = append(ids, policy.EndpointID(i+1))
	}
	return ids
}

// request returns a request of a class, with a deadline that is timeRemaining from now.
func (c *Cluster) request(class int, timeRemaining time.Duration) *Request {
	return &Request{Class: class, Deadline: c.clock.Now() + timeRemaining, Payload: "x"}
}
