package app

import (
	"context"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
)

// sendAllowed returns a function that reports, before each attempt of a request that was routed by a state, whether it
// may still be sent: the node's lease is valid, and no later state has invalidated the class's decisions.
func (a *App) sendAllowed(s *state, class string) func() bool {
	return func() bool {
		current := a.state.Load()
		return current.validFrom[class] <= s.sequence && a.LeaseValid()
	}
}

// leaseCheckedCluster is a cluster whose requests check before each send that it is still allowed.
type leaseCheckedCluster struct {
	ingress.Handler
	sendAllowed func() bool
	retryAfter  time.Duration // for requests whose send is not allowed
}

// Do implements ingress.Handler.
func (c leaseCheckedCluster) Do(ctx context.Context, q *engine.Request) (engine.Answer, error) {
	q.SendAllowed, q.SendRetryAfter = c.sendAllowed, c.retryAfter
	return c.Handler.Do(ctx, q)
}
