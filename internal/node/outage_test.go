package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// outageCase is a kind of discovery and the range of its outages' lengths.
type outageCase struct {
	mode            string
	maxPollInterval time.Duration // the policy's backoff grows to a quarter of this
	shortest        time.Duration // shortest outage
	longest         time.Duration // longest outage
	maxResponseTime time.Duration
	seeds           uint64 // number of runs, each with a seed of its own
}

// By the protocol, after a failed, refused or abandoned call a change counts as known to the node 6 s after the discovery
// service had it and could be reached, however long the service was unavailable and however calls failed meanwhile. The node
// must have acted on the change by then, apart from the part of the drain grace that is left to requests on their way. If
// lists are pushed, a change counts as known at once when the agent has it.
func TestChangeAfterOutage(t *testing.T) {
	t.Parallel()
	for _, tc := range []outageCase{
		{"pushed", 10 * time.Second, time.Millisecond, 4 * time.Second, 10 * time.Millisecond, 15}, // the backoff is short
		{"on_request", 10 * time.Second, time.Millisecond, shortOutage, 300 * time.Millisecond, 60},
		{"on_request", 10 * time.Second, 2 * time.Second, 90 * time.Second, time.Second, 60}, // the service queues calls
		{"on_request", time.Minute, 2 * time.Second, 90 * time.Second, time.Second, 60},
	} {
		for _, o := range []outage{
			{"refused", refused, refused},
			{"refused, open calls unresponsive", refused, unresponsive},
			{"error status", errorStatus, errorStatus},
			{"error status, open calls reset", errorStatus, refused},
			{"unresponsive", unresponsive, unresponsive},
			{"unresponsive, open calls reset", unresponsive, refused},
			{"any", anyFault, anyFault},
		} {
			name := fmt.Sprint(tc.mode, ", poll interval ", tc.maxPollInterval, ", for ", tc.longest, " at most, ", o.name)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				slowest := time.Duration(0)
				for seed := range tc.seeds {
					synctest.Test(t, func(t *testing.T) { slowest = max(slowest, changeAfterOutage(t, tc, &o, seed)) })
				}
				t.Logf("the slowest change was known after %v", slowest)
			})
		}
	}
}

// changeAfterOutage simulates one outage. It returns the time until the policy received the change, counted from the end of
// the outage or from the change, whichever came later.
func changeAfterOutage(t *testing.T, tc outageCase, o *outage, seed uint64) time.Duration {
	rng := rand.New(rand.NewPCG(seed, 48))
	randomBetween := func(from, to time.Duration) time.Duration {
		return from + time.Duration(rng.Int64N(int64(to-from)))
	}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	service := newFaultyDiscovery(seed, tc.maxResponseTime)
	cfg, p := newPollingPolicy(ctx, t, tc.mode, tc.maxPollInterval, seed, service)
	ready := make(chan struct{})
	running.Go(func() { p.watcher.run(ctx, endpointList{}, sync.OnceFunc(func() { close(ready) })) })
	<-ready
	time.Sleep(randomBetween(time.Second, 20*time.Second)) // the outage may start in the middle of a long poll
	if rng.IntN(2) == 0 {                                  // the outage starts just after the start of a long poll
		service.change(func() { service.generation++ })
		time.Sleep(tc.maxResponseTime + minPollInterval + time.Millisecond)
	}
	service.change(func() { service.outage = o })
	time.Sleep(randomBetween(tc.shortest, tc.longest))
	if tc.longest > shortOutage && rng.IntN(4) > 0 { // the outage ends just after the start of a call, which may be unresponsive
		service.awaitCalls(1 + rng.IntN(3))
		time.Sleep(time.Millisecond)
	}
	changeDelay := time.Duration(0) // the change comes at the end of the outage, or some time after it
	if rng.IntN(4) == 0 {
		changeDelay = randomBetween(0, 8*time.Second)
	}
	service.change(func() { service.outage = nil })
	time.Sleep(changeDelay)
	service.change(func() { service.generation, service.draining = service.generation+1, true })
	took := p.awaitDrain(t, seed)
	bound := 6 * time.Second
	if !cfg.Policy.PollEndpoints {
		bound = 0
	}
	if bound += cfg.DrainGrace - cfg.DrainGrace/drainSendGraceDivisor; took > bound {
		t.Fatalf("seed %d: change known %v after discovery had it and could be reached, want at most %v", seed, took, bound)
	}
	return took
}
