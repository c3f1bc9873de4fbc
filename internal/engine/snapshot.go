package engine

import (
	"context"
	"time"

	"yokestall/policy"
)

// Snapshot returns the learned state of the Balancer. It returns ErrRetired if the cluster has ended, or the error of ctx
// if that ends first.
func (c *Cluster) Snapshot(ctx context.Context) (policy.Snapshot, error) {
	taken := make(chan policy.Snapshot, 1)
	if !c.runOnLoop(func() { taken <- c.balancer.Snapshot(c.clock.Now()) }) {
		return policy.Snapshot{}, ErrRetired
	}
	select {
	case s := <-taken:
		return s, nil
	case <-c.ended:
		return policy.Snapshot{}, ErrRetired
	case <-ctx.Done():
		return policy.Snapshot{}, ctx.Err()
	}
}

// Restore gives the Balancer the learned state of another Balancer. age is the time since that snapshot was taken. The
// state applies only to endpoints that an earlier UpdateEndpoints has named.
func (c *Cluster) Restore(s policy.Snapshot, age time.Duration) {
	c.runOnLoop(func() { c.balancer.Restore(c.clock.Now(), s, age) })
}

// SetSlowStartShare sets this cluster's share, from 0 to 1, of the node's slow-start budgets, which limit the requests to
// endpoints that are warming up.
func (c *Cluster) SetSlowStartShare(share float64) {
	c.runOnLoop(func() { c.balancer.SetSlowStartShare(share) })
}
