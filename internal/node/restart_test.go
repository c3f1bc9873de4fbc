package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yokestall/internal/discovery"
)

// Nine in ten processes that start anew are ready within 10 s, whatever their discovery does then: unavailable in any
// way, with the list that they were started with, or slow to respond, with that list and with none.
func TestRestartedProcessesAreReady(t *testing.T) {
	t.Parallel()
	const processes, bound = 50, 10 * time.Second
	instance := discovery.Instance{InstanceID: "s-0", HostPort: "127.0.0.1:1", Lifecycle: "Ready", Weight: 1}
	for _, mode := range []string{"pushed", "on_request"} {
		for _, maxPollInterval := range []time.Duration{10 * time.Second, time.Minute} {
			for _, tc := range []struct {
				name    string
				outage  *outage
				initial endpointList
			}{
				{"refused", &outage{newCalls: refused}, listOf(1, instance)},
				{"error status", &outage{newCalls: errorStatus}, listOf(1, instance)},
				{"unresponsive", &outage{newCalls: unresponsive}, listOf(1, instance)},
				{"any", &outage{newCalls: anyFault}, listOf(1, instance)},
				{"slow", nil, listOf(1, instance)},
				{"slow, with no list", nil, endpointList{}},
			} {
				t.Run(fmt.Sprint(mode, ", poll interval ", maxPollInterval, ", ", tc.name), func(t *testing.T) {
					t.Parallel()
					late, slowest := 0, time.Duration(0)
					for seed := range uint64(processes) {
						synctest.Test(t, func(t *testing.T) {
							took := timeToReady(t, mode, maxPollInterval, seed, tc.outage, tc.initial)
							slowest = max(slowest, took)
							if took > bound {
								late++
							}
						})
					}
					if late > processes/10 {
						t.Errorf("%d of %d were ready after more than %v, the slowest after %v", late, processes, bound, slowest)
					}
					t.Logf("the slowest was ready after %v", slowest)
				})
			}
		}
	}
}

// timeToReady returns how long a process takes until it is ready; a minute at most.
func timeToReady(
	t *testing.T, mode string, maxPollInterval time.Duration, seed uint64, o *outage, initial endpointList,
) time.Duration {
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	maxResponseTime := 2 * time.Second // calls are queued for so long at a shared discovery,
	if mode == "pushed" {              // but not at an agent
		maxResponseTime = 10 * time.Millisecond
	}
	service := newFaultyDiscovery(seed, maxResponseTime)
	service.outage = o
	_, p := newPollingPolicy(ctx, t, mode, maxPollInterval, seed, service)
	startedAt, ready := time.Now(), make(chan struct{})
	running.Go(func() { p.watcher.run(ctx, initial, sync.OnceFunc(func() { close(ready) })) })
	select {
	case <-ready:
	case <-time.After(time.Minute):
	}
	return time.Since(startedAt)
}
