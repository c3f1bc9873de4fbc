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

// Nine in ten processes that start anew are ready within 10 s, whatever their discovery does then: away in any way, with
// the list that they were given, or slow to answer, with that list and with none.
func TestRestartedProcessesAreReady(t *testing.T) {
	t.Parallel()
	const processes, rule = 50, 10 * time.Second
	line := discovery.Instance{InstanceID: "s-0", HostPort: "127.0.0.1:1", Lifecycle: "Ready", Weight: 1}
	for _, mode := range []string{"pushed", "on_request"} {
		for _, mustAsk := range []time.Duration{10 * time.Second, time.Minute} {
			for _, tc := range []struct {
				name   string
				outage *outage
				had    known
			}{
				{"refused", &outage{meets: refused}, listOf(1, line)}, {"failing", &outage{meets: failing}, listOf(1, line)},
				{"silent", &outage{meets: mute}, listOf(1, line)}, {"any", &outage{meets: anyOf}, listOf(1, line)},
				{"slow", nil, listOf(1, line)}, {"slow, with no list", nil, known{}},
			} {
				t.Run(fmt.Sprint(mode, ", must ask in ", mustAsk, ", ", tc.name), func(t *testing.T) {
					t.Parallel()
					late, latest := 0, time.Duration(0)
					for seed := range uint64(processes) {
						synctest.Test(t, func(t *testing.T) {
							took := readyAfter(t, mode, mustAsk, seed, tc.outage, tc.had)
							latest = max(latest, took)
							if took > rule {
								late++
							}
						})
					}
					if late > processes/10 {
						t.Errorf("%d of %d were ready after more than %v, the latest after %v", late, processes, rule, latest)
					}
					t.Logf("the latest was ready after %v", latest)
				})
			}
		}
	}
}

// readyAfter gives how long a process takes until it is ready; a minute at most.
func readyAfter(t *testing.T, mode string, mustAsk time.Duration, seed uint64, o *outage, had known) time.Duration {
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	answers := 2 * time.Second // calls wait so long for their turn at discovery,
	if mode == "pushed" {      // but not at an agent
		answers = 10 * time.Millisecond
	}
	service := newAway(seed, answers)
	service.outage = o
	_, m := follower(ctx, t, mode, mustAsk, seed, service)
	began, ready := time.Now(), make(chan struct{})
	running.Go(func() { m.disco.run(ctx, had, sync.OnceFunc(func() { close(ready) })) })
	select {
	case <-ready:
	case <-time.After(time.Minute):
	}
	return time.Since(began)
}
