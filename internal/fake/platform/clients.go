package platform

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// failurePause is how long a client waits after a request without an answer, so that the load stays steady.
const failurePause = 5 * time.Millisecond

// Clients send one request after another, each on a connection that it reuses. A client whose connection ended while
// it sent a request sends it once more on a new one, as the platform's clients do. The counters are safe to read while
// they run.
type Clients struct {
	Served, Rejected, Failed atomic.Int64
	Resent                   atomic.Int64 // requests that were sent once more

	stop context.CancelFunc
	all  sync.WaitGroup

	mu   sync.Mutex
	lost []string // requests without a complete answer, with the error; guarded by mu
}

// Drive starts a number of clients that pause after each answer. They end with ctx.
func Drive(ctx context.Context, addr string, clients int, pause time.Duration) *Clients {
	ctx, stop := context.WithCancel(ctx)
	c := &Clients{stop: stop}
	for i := range clients {
		c.all.Go(func() { c.run(ctx, addr, i, pause) })
	}
	return c
}

// run is the client with an index.
func (c *Clients) run(ctx context.Context, addr string, index int, pause time.Duration) {
	one := client{addr: addr}
	defer one.close()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("c%d-%d", index, n)
		status, resent, err := one.send(id)
		c.record(id, status, resent, err)
		if err != nil {
			time.Sleep(failurePause)
		}
		time.Sleep(pause)
	}
}

// Stop ends the clients, each after the answer to its request, and returns the requests that were lost.
func (c *Clients) Stop() (lost []string) {
	c.stop()
	return c.Wait()
}

// Wait waits until all clients have ended and returns the requests that were lost.
func (c *Clients) Wait() (lost []string) {
	c.all.Wait()
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
