package policy_test

import (
	"fmt"
	"time"

	"yokestall/policy"
)

// printer is a Host that prints the actions of its Balancer, except timers, and records the time of the
// last timer.
type printer struct{ timerAt time.Duration }

func (p *printer) Send(id policy.RequestID, _ policy.EndpointID, _ time.Duration) {
	fmt.Println("send request", id)
}
func (p *printer) Cancel(id policy.RequestID, attempt int) { fmt.Println("cancel", id, attempt) }
func (p *printer) Reject(id policy.RequestID, after time.Duration) {
	fmt.Println("reject request", id, "retry after", after > 0)
}
func (p *printer) Fail(id policy.RequestID)            { fmt.Println("fail request", id) }
func (p *printer) SetTimer(at time.Duration, _ uint64) { p.timerAt = at }
func (p *printer) RequestPoll()                        { fmt.Println("poll the endpoint list") }

// A request is answered, one is retried at another endpoint and answered, and one is rejected because no
// endpoint is left.
func Example() {
	settings := policy.DefaultSettings()
	settings.Classes = []policy.Class{{
		Deadline: 2 * time.Second, LatencyObjective: 500 * time.Millisecond,
		PriorityWeight: 1, Idempotency: policy.Idempotent,
	}}
	settings.Limits.MaxAttempts = 3
	settings.Limits.MaxRetryAfter = time.Second
	host := &printer{}
	b, err := policy.New(settings, 1, host)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second // a time of any monotonic clock
	b.UpdateEndpoints(now, policy.FullUpdate, []policy.Endpoint{
		{ID: 1, State: policy.Ready, Weight: 1},
		{ID: 2, State: policy.Ready, Weight: 1},
	})

	b.Request(now, policy.Request{ID: 1, TimeRemaining: 2 * time.Second})
	now += 20 * time.Millisecond
	b.Outcome(now, policy.Outcome{ID: 1, Status: policy.OK, RequestDone: true, Latency: 20 * time.Millisecond})

	b.Request(now, policy.Request{ID: 2, TimeRemaining: 2 * time.Second})
	b.Outcome(now, policy.Outcome{ID: 2, Status: policy.ErrorResponse, Latency: time.Millisecond})
	for range 10 { // fire timers until the backoff of the retry has ended
		now = max(now, host.timerAt)
		b.Timer(now, 0)
	}
	b.Outcome(now, policy.Outcome{
		ID: 2, Attempt: 1, Status: policy.OK, RequestDone: true, Latency: 20 * time.Millisecond,
	})

	b.UpdateEndpoints(now, policy.FullUpdate, nil) // no endpoint is left
	b.Request(now, policy.Request{ID: 3, TimeRemaining: 2 * time.Second})

	// Output:
	// send request 1
	// send request 2
	// send request 2
	// reject request 3 retry after true
}
