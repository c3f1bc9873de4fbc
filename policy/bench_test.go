package policy

import (
	"fmt"
	"testing"
	"time"
)

// benchHost is a Host that only records the last attempt and the time of the last timer.
type benchHost struct {
	id       RequestID
	sweepAt  time.Duration
	endpoint EndpointID
}

func (h *benchHost) Send(id RequestID, endpoint EndpointID, _ time.Duration) {
	h.id, h.endpoint = id, endpoint
}
func (h *benchHost) Cancel(RequestID, int)               {}
func (h *benchHost) Reject(RequestID, time.Duration)     {}
func (h *benchHost) Fail(RequestID)                      {}
func (h *benchHost) SetTimer(at time.Duration, _ uint64) { h.sweepAt = at }
func (h *benchHost) RequestPoll()                        {}

func benchBalancer(b *testing.B, endpoints, nodes int) (*Balancer, *benchHost) {
	b.Helper()
	set := testSettings()
	set.NodeCount = nodes
	h := &benchHost{}
	p, err := New(set, 1, h)
	if err != nil {
		b.Fatal(err)
	}
	entries := ready(1, endpoints)
	for i := range entries {
		entries[i].StartedAt = time.Hour - time.Duration(i)*time.Second // the most recently started endpoints are warming
	}
	p.UpdateEndpoints(time.Hour, FullUpdate, entries)
	return p, h
}

// BenchmarkRequest measures the time to handle one request and its answer.
func BenchmarkRequest(b *testing.B) {
	for _, endpoints := range []int{10, 100} {
		for _, nodes := range []int{1, 80} {
			b.Run(fmt.Sprintf("endpoints=%d/nodes=%d", endpoints, nodes), func(b *testing.B) {
				p, h := benchBalancer(b, endpoints, nodes)
				now, id := time.Hour, RequestID(0)
				b.ReportAllocs()
				for b.Loop() {
					id++
					if now += 100 * time.Microsecond; now >= h.sweepAt {
						p.Timer(now, 0)
					}
					p.Request(now, Request{ID: id, Class: int(id % 3), TimeRemaining: time.Second})
					p.Outcome(now+50*time.Microsecond, Outcome{
						ID: id, Endpoint: h.endpoint, Status: OK, RequestDone: true, Latency: 20 * time.Millisecond,
					})
				}
			})
		}
	}
}

// BenchmarkSweep measures a sweep over requests in flight and a long queue, as under overload.
func BenchmarkSweep(b *testing.B) {
	p, _ := benchBalancer(b, 20, 1)
	now := time.Hour
	for id := range RequestID(400) {
		p.Request(now, Request{ID: id, Class: int(id % 3), TimeRemaining: 2 * time.Second})
	}
	b.ReportAllocs()
	for b.Loop() {
		now++
		p.Timer(now, 0)
		p.sweep(now)
	}
}
