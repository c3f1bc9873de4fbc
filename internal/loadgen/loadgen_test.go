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

// A stall of the server in the second half of a run of 2 s must show in the 99th percentile of the latency. Half of the
// requests are due during the stall, and their waits are spread evenly from 0 to 1 s, so the 99th percentile of all
// requests is 0.98 s. With few requests in flight, a closed loop would hide nearly all of the stall.
func TestStallShows(t *testing.T) {
	began := time.Now()
	end := began.Add(2 * time.Second)
	r := Run(t.Context(), Plan{
		Duration: 2 * time.Second, MaxInFlight: 4, MaxLateness: time.Second, Seed: 1,
		Streams: []Stream{{Rate: 500, EvenlySpaced: true, Do: func(context.Context, int, time.Time) {
			if now := time.Now(); now.After(began.Add(time.Second)) && now.Before(end) {
				time.Sleep(end.Sub(now)) // The server stalls until the end of the run.
			}
		}}},
	})
	due, sent := r.LatencyFromDue[0].ValueAtQuantile(99), r.LatencyFromSend[0].ValueAtQuantile(98)
	if due < 900_000 || sent > due/2 {
		t.Errorf("got p99 of %d us from the due time, want at least 900000; got p98 of %d us from sending, want at most half of the p99",
			due, sent)
	}
	if n := r.Requests[0]; n < 990 || n > 1000 {
		t.Errorf("got %d requests sent, want 990 to 1000", n)
	}
}

// A run must be invalid if the generator itself was late because it got too little CPU time. A run in which the generator
// only waits for a slow server must be valid.
func TestInvalid(t *testing.T) {
	plan := Plan{
		Duration: 300 * time.Millisecond, MaxInFlight: 64, MaxLateness: 5 * time.Millisecond, Seed: 1,
		Streams: []Stream{{Rate: 500, Do: func(context.Context, int, time.Time) {}}},
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var stop atomic.Bool
	for range 8 {
		go func() {
			for stopped := false; !stopped; { // competes for the only CPU of the process
				stopped = stop.Load()
			}
		}()
	}
	r := Run(t.Context(), plan)
	stop.Store(true)
	if !r.Invalid {
		t.Errorf("run is valid although the generator got too little CPU time: p99 of the lateness is %d us",
			r.Lateness.ValueAtQuantile(99))
	}
	plan.MaxInFlight, plan.MaxLateness = 1, testutil.WaitTimeout
	plan.Streams[0].Do = func(context.Context, int, time.Time) { time.Sleep(20 * time.Millisecond) } // latency of the server
	if r := Run(t.Context(), plan); r.Invalid || r.LatencyFromDue[0].ValueAtQuantile(50) < 20_000 {
		t.Errorf("with a slow server, got invalid %v and p50 %d us, want a valid run and at least 20000 us",
			r.Invalid, r.LatencyFromDue[0].ValueAtQuantile(50))
	}
}
