package fleetsim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yokestall/policy"
)

// node is the host of a Decider. It uses the clock, event queue and random numbers of its simulation.
type node struct {
	*simulation
	settings      policy.Settings
	decider       Decider
	deferred      []func() // calls to the decider that result from its own calls to the host
	incarnation   uint64   // number of starts so far
	down          bool
	requests      map[policy.RequestID]*nodeRequest
	lastRequestID policy.RequestID
	lease         leaseClient
	snapshot      *policy.Snapshot // snapshot taken at stoppedAt, nil if there is none
	stoppedAt     time.Duration
}

// start starts a node with a new decider, which initially knows only the endpoint list.
func (n *node) start() error {
	n.incarnation++
	n.down, n.requests, n.deferred = false, map[policy.RequestID]*nodeRequest{}, nil
	seed := n.seed*1000 + uint64(n.settings.NodeIndex) + (n.incarnation-1)<<32
	decider, err := n.newDecider(n.settings, seed, n)
	if err != nil {
		return err
	}
	n.decider = decider
	n.callDecider(func() { n.decider.UpdateEndpoints(n.now, policy.FullUpdate, n.endpointList()) })
	n.startLeases()
	return nil
}

// restoreSnapshot restores, in a node that has just started, the snapshot that was taken when the node was killed.
func (n *node) restoreSnapshot() {
	if d, ok := n.decider.(snapshotter); ok && n.snapshot != nil {
		n.callDecider(func() { d.Restore(n.now, *n.snapshot, n.now-n.stoppedAt) })
	}
}

// kill ends a node and takes a snapshot. The connections of the clients are lost. The attempts of the node continue at the
// servers, and their replies are discarded.
func (n *node) kill() {
	if d, ok := n.decider.(snapshotter); ok {
		snapshot := d.Snapshot(n.now)
		n.snapshot, n.stoppedAt = &snapshot, n.now
	}
	n.down = true
	byID := func(x, y *nodeRequest) int { return cmp.Compare(x.id, y.id) }
	lost := slices.SortedFunc(maps.Values(n.requests), byID)
	n.requests = nil
	for _, r := range lost {
		r.lost = true
		if !r.answered {
			n.connectionLost(r.client)
		}
	}
}

// callDecider calls the decider and then makes the calls that were deferred in the meantime. Calls are deferred because a
// decider must not be called from within its own call to the host.
func (n *node) callDecider(call func()) {
	call()
	for len(n.deferred) > 0 {
		next := n.deferred[0]
		n.deferred = n.deferred[1:]
		next()
	}
}

// scheduleHere runs a function at the given time, unless the node is killed before, even if it has restarted since.
func (n *node) scheduleHere(at time.Duration, run func()) {
	incarnation := n.incarnation
	n.schedule(at, func() {
		if n.incarnation == incarnation && !n.down {
			run()
		}
	})
}

// sendEndpointList sends the current endpoint list to all nodes that are up.
func (s *simulation) sendEndpointList() {
	entries := s.endpointList()
	for _, m := range s.servers {
		if m.state == policy.Draining && m.drainAnnouncedAt == 0 {
			m.drainAnnouncedAt = s.now
		}
	}
	for _, n := range s.nodes {
		if !n.down {
			n.callDecider(func() { n.decider.UpdateEndpoints(s.now, policy.FullUpdate, entries) })
		}
	}
}
