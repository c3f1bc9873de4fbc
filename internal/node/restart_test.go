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

// Of ten restarted processes nine are ready within 10 s. That holds if the discovery service is unavailable in any way and
// the process has an initial list, and if the service is slow and the process has an initial list or none.
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
						t.Errorf("%d of %d processes took over %v to be ready, the slowest %v", late, processes, bound, slowest)
					}
					t.Logf("the slowest process was ready after %v", slowest)
				})
			}
		}
	}
}

// timeToReady returns how long a process takes until it is ready, or a minute if the process is not ready by then.
func timeToReady(
	t *testing.T, mode string, maxPollInterval time.Duration, seed uint64, o *outage, initial endpointList,
) time.Duration {
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	maxResponseTime := 2 * time.Second // a shared discovery service queues calls for up to 2 s
	if mode == "pushed" {              // an agent does not queue calls
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
