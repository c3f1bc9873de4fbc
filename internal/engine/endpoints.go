package engine

import (
	"time"

	"yokestall/policy"
)

// UpdateEndpoints applies an endpoint update that is delivered now. It returns false if the cluster has ended. No send to
// an endpoint that drains, was removed or is missing in a full update begins later than Options.DrainSendGrace from now.
func (c *Cluster) UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint) bool {
	return c.UpdateEndpointsAt(c.clock.Now(), kind, endpoints)
}

// UpdateEndpointsAt is UpdateEndpoints for an update that was delivered earlier. Options.DrainSendGrace counts from
// delivered, a time on the Clock.
func (c *Cluster) UpdateEndpointsAt(
	delivered time.Duration, kind policy.UpdateKind, endpoints []policy.Endpoint,
) bool {
	if kind != policy.UpdateFailed {
		c.updateDrains(delivered, kind != policy.DeltaUpdate, endpoints)
	}
	return c.post(endpointsUpdated{kind, endpoints})
}

// updateDrains starts the drain of the endpoints that are no longer ready and adds the endpoints that became ready. It
// runs before the update is posted to the loop, so that a long queue of events does not delay a drain.
func (c *Cluster) updateDrains(at time.Duration, full bool, endpoints []policy.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.endpoints
	if full {
		c.endpoints = make(map[policy.EndpointID]*endpointDrain, len(endpoints))
	}
	for _, e := range endpoints {
		d := before[e.ID]
		if e.State != policy.Ready {
			if d != nil {
				d.start(at)
			}
			delete(c.endpoints, e.ID)
			continue
		}
		if d == nil {
			d = &endpointDrain{grace: c.drainGrace}
		}
		c.endpoints[e.ID] = d
	}
	if full {
		for id, d := range before {
			if c.endpoints[id] == nil {
				d.start(at)
			}
		}
	}
}

// drainOf returns the drain state of a ready endpoint, or nil if the endpoint is not ready or not known.
func (c *Cluster) drainOf(id policy.EndpointID) *endpointDrain {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.endpoints[id]
}
