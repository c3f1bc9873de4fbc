package callers

import (
	"context"
	"sync"
	"time"
)

const (
	// drainPeriod is longer than maxDrainDelay, so that a request to a server that drains shows.
	drainPeriod = 700 * time.Millisecond

	// A server is down, then fails its requests, then serves before the next one crashes.
	downPeriod    = 100 * time.Millisecond
	failingPeriod = 50 * time.Millisecond
	servingPeriod = 150 * time.Millisecond
)

// injectFaults makes servers drain, crash and return until ctx ends.
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
			r.report("a version is not taken: %v", err)
		}
		r.setDrainingSince(i, time.Now())
		if !pause(ctx, drainPeriod) {
			return
		}
	}
}

// setDrainingSince records when the load balancer was notified that a server drains; zero: it no longer does.
func (r *rig) setDrainingSince(server int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainingSince[server] = at
}

// crashInTurn makes the servers after those that drain crash and return, one at a time.
func (r *rig) crashInTurn(ctx context.Context) {
	for i := 0; ; i = (i + 1) % crashingServers {
		server := r.servers[drainingServers+i]
		server.Down()
		if !pause(ctx, downPeriod) {
			return
		}
		if err := server.Up(); err != nil {
			r.report("%s does not come back: %v", server.Name, err)
			return
		}
		server.SetFailing(true)
		if !pause(ctx, failingPeriod) {
			return
		}
		server.SetFailing(false)
		if !pause(ctx, servingPeriod) {
			return
		}
	}
}

// pause waits for a duration and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
