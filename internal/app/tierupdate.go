package app

import (
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/engine"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// tierUpdate is the difference between two configurations of a tier, in the forms that the sender and the pool, the
// engine, and the streams need.
type tierUpdate struct {
	clock     engine.Clock
	addresses []h1client.Endpoint // changed and removed endpoints, for the sender and the pool
	endpoints []policy.Endpoint   // changed and removed endpoints, for the engine
	draining  []policy.EndpointID // endpoints that drain or were removed, for the streams
}

// update applies a new configuration of the tier, which was delivered at a time on the clock.
func (t *tier) update(clock engine.Clock, deliveredAt time.Duration, c *cluster.Config, streams *streams) {
	d := cluster.Diff(t.current, c)
	t.current = c
	if d.Empty() {
		return
	}
	u := tierUpdate{clock: clock}
	u.addDifference(&d)
	t.sender.update(u.addresses)
	t.pool.UpdateEndpoints(false, u.addresses)
	t.engine.UpdateEndpointsAt(deliveredAt, policy.DeltaUpdate, u.endpoints)
	streams.drain(deliveredAt, u.draining) // must follow the engine's update: see streams.limit
}

// addDifference adds the changes of a difference. Removals come before additions, since an endpoint that was restarted at
// the same address is removed and added under the same key.
func (u *tierUpdate) addDifference(d *cluster.Difference) {
	for i := range d.Removed {
		u.remove(&d.Removed[i])
	}
	for i := range d.Replaced {
		u.remove(&d.Replaced[i].Old)
		u.put(&d.Replaced[i].New)
	}
	for i := range d.Added {
		u.put(&d.Added[i])
	}
	for i := range d.Changed {
		u.put(&d.Changed[i].New)
	}
	for i := range d.Draining {
		u.put(&d.Draining[i])
	}
}

// put adds the current form of an endpoint.
func (u *tierUpdate) put(e *cluster.Endpoint) {
	id := policy.EndpointID(e.Key())
	u.addresses = append(u.addresses, h1client.Endpoint{ID: id, Address: e.Address, Incarnation: float64(e.StartedMs)})
	endpoint := policy.Endpoint{ID: id, Zone: zoneNumber(e.Zone), Cell: e.Cell, State: policy.Ready, Weight: e.Weight}
	if !e.Serves() {
		endpoint.State = policy.Draining
		u.draining = append(u.draining, id)
	}
	if e.StartedMs > 0 {
		endpoint.StartedAt = u.clock.At(time.UnixMilli(e.StartedMs))
	}
	u.endpoints = append(u.endpoints, endpoint)
}

func (u *tierUpdate) remove(e *cluster.Endpoint) {
	id := policy.EndpointID(e.Key())
	u.addresses = append(u.addresses, h1client.Endpoint{ID: id, Removed: true})
	u.endpoints = append(u.endpoints, policy.Endpoint{ID: id, State: policy.Removed})
	u.draining = append(u.draining, id)
}

// endpoints returns the IDs of all endpoints of the tier.
func (t *tier) endpoints() (list []policy.EndpointID) {
	if t.current != nil {
		for i := range t.current.Endpoints {
			list = append(list, policy.EndpointID(t.current.Endpoints[i].Key()))
		}
	}
	return list
}
