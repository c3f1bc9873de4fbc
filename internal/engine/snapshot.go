package engine

import (
	"context"
	"time"

	"yokestall/policy"
)

// Snapshot returns what the Balancer has learnt. The error is ErrRetired if the cluster has ended, or that of ctx.
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

// Restore gives the Balancer what another one had learnt, age ago. It applies to the endpoints that UpdateEndpoints
// named before.
func (c *Cluster) Restore(s policy.Snapshot, age time.Duration) {
	c.runOnLoop(func() { c.balancer.Restore(c.clock.Now(), s, age) })
}

// SetSlowStartShare sets which share of the node's requests to endpoints that warm up is this cluster's, from 0 to 1.
func (c *Cluster) SetSlowStartShare(share float64) {
	c.runOnLoop(func() { c.balancer.SetSlowStartShare(share) })
}
