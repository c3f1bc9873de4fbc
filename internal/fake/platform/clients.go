package platform

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// failurePause is how long a client waits after a request without a complete response, so that fast failures do not
// raise the load.
const failurePause = 5 * time.Millisecond

// Clients is a group of clients, each of which sends one request after another on a connection that it reuses. A request
// that fails on a reused connection is sent once more on a new one, as the platform's clients do. The counters may be
// read while the clients run.
type Clients struct {
	Served, Rejected, Failed atomic.Int64 // numbers of responses with status 200, with 503 and with others
	Resent                   atomic.Int64 // number of requests that were sent once more

	stop    context.CancelFunc
	running sync.WaitGroup

	mu   sync.Mutex
	lost []string // ID and error of each request without a complete response; guarded by mu
}

// Drive starts the given number of clients, which pause after each request. The clients end when ctx does.
func Drive(ctx context.Context, addr string, clients int, pause time.Duration) *Clients {
	ctx, stop := context.WithCancel(ctx)
	c := &Clients{stop: stop}
	for i := range clients {
		c.running.Go(func() { c.run(ctx, addr, i, pause) })
	}
	return c
}

// run runs the client with the given index until ctx ends.
func (c *Clients) run(ctx context.Context, addr string, index int, pause time.Duration) {
	cl := client{addr: addr}
	defer cl.close()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("c%d-%d", index, n)
		status, resent, err := cl.send(id)
		c.record(id, status, resent, err)
		if err != nil {
			time.Sleep(failurePause)
		}
		time.Sleep(pause)
	}
}

// Stop ends the clients, each after its request in flight, and returns the ID and error of each request that got no
// complete response.
func (c *Clients) Stop() (lost []string) {
	c.stop()
	return c.Wait()
}

// Wait waits until all clients have ended, and returns the ID and error of each request that got no complete response.
func (c *Clients) Wait() (lost []string) {
	c.running.Wait()
	c.stop()
	return c.lost
}

// record counts a request by its outcome.
func (c *Clients) record(id string, status int, resent bool, err error) {
	if resent {
		c.Resent.Add(1)
	}
	switch {
	case err != nil:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lost = append(c.lost, fmt.Sprintf("%s: %v", id, err))
	case status == http.StatusOK:
		c.Served.Add(1)
	case status == http.StatusServiceUnavailable:
		c.Rejected.Add(1)
	default:
		c.Failed.Add(1)
	}
}
