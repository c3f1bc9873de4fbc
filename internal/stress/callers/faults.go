package callers

import (
	"context"
	"sync"
	"time"
)

const (
	// drainPeriod is the time for which each server drains. It is longer than maxDrainDelay, so that the rig can detect
	// a request that is sent to a draining server.
	drainPeriod = 700 * time.Millisecond

	// Durations of the phases of a crash: the server is down, then fails its requests, then serves requests normally
	// before the next server crashes.
	downPeriod    = 100 * time.Millisecond
	failingPeriod = 50 * time.Millisecond
	servingPeriod = 150 * time.Millisecond
)

// injectFaults starts the goroutines that make servers drain, crash and restart until ctx ends.
func (r *rig) injectFaults(ctx context.Context, background *sync.WaitGroup) {
	background.Go(func() { r.drainInTurn(ctx) })
	background.Go(func() { r.crashInTurn(ctx) })
}

// drainInTurn makes the first drainingServers servers drain, one at a time.
func (r *rig) drainInTurn(ctx context.Context) {
	for i := 0; ; i = (i + 1) % drainingServers {
		previous := (i + drainingServers - 1) % drainingServers
		r.setDrainingSince(previous, time.Time{})
		if err := r.app.Apply(r.snapshot(i)); err != nil {
			r.report("load balancer rejected a version: %v", err)
		}
		r.setDrainingSince(i, time.Now())
		if !sleep(ctx, drainPeriod) {
			return
		}
	}
}

// setDrainingSince records the time at which the load balancer was notified that a server is draining. A zero time
// records that the server is no longer draining.
func (r *rig) setDrainingSince(server int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainingSince[server] = at
}

// crashInTurn makes the servers that do not drain crash and restart, one at a time.
func (r *rig) crashInTurn(ctx context.Context) {
	for i := 0; ; i = (i + 1) % crashingServers {
		server := r.servers[drainingServers+i]
		server.Down()
		if !sleep(ctx, downPeriod) {
			return
		}
		if err := server.Up(); err != nil {
			r.report("server %s failed to restart: %v", server.Name, err)
			return
		}
		server.SetFailing(true)
		if !sleep(ctx, failingPeriod) {
			return
		}
		server.SetFailing(false)
		if !sleep(ctx, servingPeriod) {
			return
		}
	}
}

// sleep waits for the duration d and returns true, or returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
