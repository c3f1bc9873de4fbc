package engine

import (
	"context"
	"time"

	"yokestall/policy"
)

// UpdateEndpoints takes news of the list of servers. The time of the news is that of the call:
// from Options.DrainGrace after it nothing is sent to a server that drains, is gone or, with a
// whole list, is not on it. False if the cluster has ended.
func (c *Cluster) UpdateEndpoints(kind policy.UpdateKind, entries []policy.Endpoint) bool {
	return c.UpdateEndpointsAt(c.clock.Now(), kind, entries)
}

// UpdateEndpointsAt is UpdateEndpoints for news that was delivered at an earlier time on the clock: what
// became of it in between doesn't add to the time in which sends may still begin.
func (c *Cluster) UpdateEndpointsAt(told time.Duration, kind policy.UpdateKind, entries []policy.Endpoint) bool {
	if kind != policy.UpdateFailed {
		c.tell(told, kind != policy.DeltaUpdate, entries)
	}
	return c.post(event{kind: evMembers, list: kind, entries: entries})
}

func (c *Cluster) tell(now time.Duration, whole bool, entries []policy.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.members
	if whole {
		c.members = make(map[policy.EndpointID]*member, len(entries))
	}
	for _, e := range entries {
		m := old[e.ID]
		if e.State != policy.Ready {
			if m != nil {
				m.bar(now)
			}
			delete(c.members, e.ID)
			continue
		}
		if m == nil {
			m = &member{grace: c.grace}
		}
		c.members[e.ID] = m
	}
	if whole {
		for id, m := range old {
			if c.members[id] == nil {
				m.bar(now)
			}
		}
	}
}

// Snapshot gives what the Balancer knows; the error is that the cluster has ended, or ctx has.
func (c *Cluster) Snapshot(ctx context.Context) (policy.Snapshot, error) {
	got := make(chan policy.Snapshot, 1)
	if !c.inspect(func() { got <- c.balancer.Snapshot(c.clock.Now()) }) {
		return policy.Snapshot{}, ErrRetired
	}
	select {
	case k := <-got:
		return k, nil
	case <-c.gone:
		return policy.Snapshot{}, ErrRetired
	case <-ctx.Done():
		return policy.Snapshot{}, ctx.Err()
	}
}

// Restore has the Balancer take up what another one knew some time ago. It counts for servers
// that UpdateEndpoints has named before.
func (c *Cluster) Restore(k policy.Snapshot, age time.Duration) {
	c.inspect(func() { c.balancer.Restore(c.clock.Now(), k, age) })
}

// SetSlowStartShare sets how much of the node's work to cold servers is this cluster's, from 0 to 1.
func (c *Cluster) SetSlowStartShare(part float64) {
	c.inspect(func() { c.balancer.SetSlowStartShare(part) })
}
