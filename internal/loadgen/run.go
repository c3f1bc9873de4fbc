package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// latenessQuantile is the percentile of the lateness of the generator that Plan.MaxLateness limits.
const latenessQuantile = 99

// Run runs a plan until its end or until ctx ends. When Run returns, all requests have ended.
func Run(ctx context.Context, p Plan) *Report {
	r := &run{
		plan: p, slots: make(chan struct{}, p.MaxInFlight),
		report: newReport(len(p.Streams)), began: time.Now(),
	}
	var streams sync.WaitGroup
	for i := range p.Streams {
		streams.Go(func() { r.runStream(ctx, i) })
	}
	streams.Wait()
	lateness := time.Duration(r.report.Lateness.ValueAtQuantile(latenessQuantile)) * time.Microsecond
	r.report.Invalid = lateness > p.MaxLateness
	return r.report
}

// run is the state of the execution of a plan.
type run struct {
	plan  Plan
	slots chan struct{} // has an element for each request in flight
	began time.Time

	mu     sync.Mutex
	report *Report // mu guards the contents of the report
}

// runStream sends the requests of a stream and returns when all of them have ended.
func (r *run) runStream(ctx context.Context, index int) {
	s := &r.plan.Streams[index]
	rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(index)))
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	at := time.Duration(0)
	for n := 0; ; n++ {
		var ok bool
		if at, ok = s.nextDue(at, r.plan.Duration, rng); !ok {
			return
		}
		due := r.began.Add(at)
		if !waitUntil(ctx, due, timer) {
			return
		}
		lateness := time.Since(due)
		waited, ok := r.acquireSlot(ctx)
		if !ok {
			return
		}
		r.countSent(index, lateness, waited)
		inFlight.Go(func() { r.send(ctx, index, n, due) })
	}
}

// waitUntil waits until the given time. It returns false if ctx ends before.
func waitUntil(ctx context.Context, until time.Time, timer *time.Timer) bool {
	wait := time.Until(until)
	if wait <= 0 {
		return true
	}
	timer.Reset(wait)
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// acquireSlot waits until another request may be in flight. waited reports whether acquireSlot had to wait. ok is false if
// ctx ended before.
func (r *run) acquireSlot(ctx context.Context) (waited, ok bool) {
	select {
	case r.slots <- struct{}{}:
		return false, true
	default:
	}
	select {
	case r.slots <- struct{}{}:
		return true, true
	case <-ctx.Done():
		return true, false
	}
}

// countSent counts a sent request. It records the lateness of the generator unless the request waited for a slot.
func (r *run) countSent(stream int, lateness time.Duration, waited bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests[stream]++
	if !waited {
		record(r.report.Lateness, lateness)
	}
}

// send sends request n of a stream, releases its slot and records its latency.
func (r *run) send(ctx context.Context, stream, n int, due time.Time) {
	sent := time.Now()
	r.plan.Streams[stream].Do(ctx, n, due)
	ended := time.Now()
	<-r.slots
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.report.LatencyFromDue[stream], ended.Sub(due))
	record(r.report.LatencyFromSend[stream], ended.Sub(sent))
}
