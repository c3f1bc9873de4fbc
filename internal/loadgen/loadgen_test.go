package loadgen

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// A server that stalls for the second half of two seconds shows in the 99th percentile as its clients would see it: of
// the half that is due in the stall, waits are spread evenly from 0 to 1 s, so the 99th percentile of all is 0.98 s.
// With few connections a closed loop would hide nearly all of it.
func TestStallShows(t *testing.T) {
	began := time.Now()
	end := began.Add(2 * time.Second)
	r := Run(t.Context(), Plan{
		Duration: 2 * time.Second, MaxInFlight: 4, MaxLateness: time.Second, Seed: 1,
		Streams: []Stream{{Rate: 500, EvenlySpaced: true, Do: func(context.Context, int, time.Time) {
			if now := time.Now(); now.After(began.Add(time.Second)) && now.Before(end) {
				time.Sleep(end.Sub(now)) // the stall
			}
		}}},
	})
	due, sent := r.LatencyFromDue[0].ValueAtQuantile(99), r.LatencyFromSend[0].ValueAtQuantile(98)
	if due < 900_000 || sent > due/2 {
		t.Errorf("p99 from due %d us; p98 from sending %d us", due, sent)
	}
	if n := r.Requests[0]; n < 990 || n > 1000 {
		t.Errorf("%d sent, 1000 due", n)
	}
}

// A run in which the generator itself was starved is invalid; one in which it only waits for the server is not.
func TestInvalid(t *testing.T) {
	plan := Plan{
		Duration: 300 * time.Millisecond, MaxInFlight: 64, MaxLateness: 5 * time.Millisecond, Seed: 1,
		Streams: []Stream{{Rate: 500, Do: func(context.Context, int, time.Time) {}}},
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var stop atomic.Bool
	for range 8 {
		go func() {
			for stopped := false; !stopped; { // keeps a thread busy
				stopped = stop.Load()
			}
		}()
	}
	r := Run(t.Context(), plan)
	stop.Store(true)
	if !r.Invalid {
		t.Errorf("starved of its core and not invalid: late by %d us at p99", r.Lateness.ValueAtQuantile(99))
	}
	plan.MaxInFlight, plan.MaxLateness = 1, testutil.WaitTimeout
	plan.Streams[0].Do = func(context.Context, int, time.Time) { time.Sleep(20 * time.Millisecond) } // the server's
	if r := Run(t.Context(), plan); r.Invalid || r.LatencyFromDue[0].ValueAtQuantile(50) < 20_000 {
		t.Errorf("invalid %v, p50 %d us", r.Invalid, r.LatencyFromDue[0].ValueAtQuantile(50))
	}
}
