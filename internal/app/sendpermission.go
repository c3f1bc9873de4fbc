package app

import (
	"context"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
)

// sendAllowed returns a function that reports whether an attempt of a request that was routed by state s may still be
// sent: the node's lease is valid, and s is not older than the current state's validFrom for the class.
func (a *App) sendAllowed(s *state, class string) func() bool {
	return func() bool {
		current := a.state.Load()
		return current.validFrom[class] <= s.sequence && a.LeaseValid()
	}
}

// leaseCheckedCluster is a cluster that checks before each send of a request that the send is still allowed.
type leaseCheckedCluster struct {
	ingress.Handler
	sendAllowed func() bool
	retryAfter  time.Duration // Retry-After of requests whose send is not allowed
}

// Do implements ingress.Handler.
func (c leaseCheckedCluster) Do(ctx context.Context, q *engine.Request) (engine.Answer, error) {
	q.SendAllowed, q.SendRetryAfter = c.sendAllowed, c.retryAfter
	return c.Handler.Do(ctx, q)
}
