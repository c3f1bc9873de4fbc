package engine

import (
	"fmt"
	"testing"
	"time"

	"yokestall/internal/testutil"
	"yokestall/policy"
)

// nullHost is a policy.Host that only records the last request that was sent.
type nullHost struct{ sent policy.RequestID }

func (h *nullHost) Send(id policy.RequestID, _ policy.EndpointID, _ time.Duration) { h.sent = id }
func (h *nullHost) Cancel(policy.RequestID, int)                                   {}
func (h *nullHost) Reject(policy.RequestID, time.Duration)                         {}
func (h *nullHost) Fail(policy.RequestID)                                          {}
func (h *nullHost) SetTimer(time.Duration, uint64)                                 {}
func (h *nullHost) RequestPoll()                                                   {}

// BenchmarkRequest compares the Balancer alone with the engine around the Balancer. The engine runs with requests in
// sequence, and with 16 parallel goroutines per CPU.
func BenchmarkRequest(b *testing.B) {
	for _, endpoints := range []int{10, 100} {
		b.Run(fmt.Sprintf("policy/endpoints=%d", endpoints), func(b *testing.B) {
			h := &nullHost{}
			p, err := policy.New(settings(), 1, h)
			if err != nil {
				b.Fatal(err)
			}
			now := clockOffset
			p.UpdateEndpoints(now, policy.FullUpdate, readyEndpoints(endpointIDs(endpoints)...))
			b.ReportAllocs()
			id := policy.RequestID(0)
			for b.Loop() {
				id++
				now += 100 * time.Microsecond
				p.Request(now, policy.Request{ID: id, TimeRemaining: time.Second})
				p.Outcome(now+50*time.Microsecond, policy.Outcome{
					ID: id, Endpoint: 1, Status: policy.OK, RequestDone: true, Latency: 50 * time.Microsecond,
				})
			}
			if h.sent == 0 {
				b.Error("the Balancer sent no request")
			}
		})
		for _, at := range []int{1, 16} {
			b.Run(fmt.Sprintf("engine/endpoints=%d/at=%d", endpoints, at), func(b *testing.B) {
				c := startCluster(b, exchangerFunc(echoExchange), endpointIDs(endpoints)...)
				b.ReportAllocs()
				b.SetParallelism(at)
				if at == 1 {
					for b.Loop() {
						if a, err := c.Do(b.Context(), c.request(idempotent, testutil.WaitTimeout)); err != nil || a.Verdict != Served {
							b.Fatalf("got %+v, error %v; want the verdict Served", a, err)
						}
					}
					return
				}
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						c.Do(b.Context(), c.request(idempotent, testutil.WaitTimeout))
					}
				})
			})
		}
	}
}
