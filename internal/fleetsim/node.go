package fleetsim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yokestall/policy"
)

// node hosts a Decider. It is part of its simulation, and uses the simulation's clock, queue and random numbers.
type node struct {
	*simulation
	settings      policy.Settings
	decider       Decider
	deferred      []func() // calls of the decider that its own calls of the host led to
	incarnation   uint64   // starts so far
	down          bool
	requests      map[policy.RequestID]*nodeRequest
	lastRequestID policy.RequestID
	lease         leaseClient
	snapshot      *policy.Snapshot // taken at stoppedAt; nil: none
	stoppedAt     time.Duration
}

// start starts a node, which knows nothing but the endpoint list.
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

// restoreSnapshot restores, in a node that has started, what it had learnt when it was killed.
func (n *node) restoreSnapshot() {
	if d, ok := n.decider.(snapshotter); ok && n.snapshot != nil {
		n.callDecider(func() { d.Restore(n.now, *n.snapshot, n.now-n.stoppedAt) })
	}
}

// kill ends a node. Its clients' connections break; its attempts go on at the servers, and nobody takes their replies.
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

// callDecider calls the decider, and then makes the calls that were deferred meanwhile: a decider is not called from
// within its own call of the host.
func (n *node) callDecider(call func()) {
	call()
	for len(n.deferred) > 0 {
		next := n.deferred[0]
		n.deferred = n.deferred[1:]
		next()
	}
}

// scheduleHere runs a function at a time, unless the node was killed meanwhile, whether or not it has restarted.
func (n *node) scheduleHere(at time.Duration, run func()) {
	incarnation := n.incarnation
	n.schedule(at, func() {
		if n.incarnation == incarnation && !n.down {
			run()
		}
	})
}

// sendEndpointList sends the present endpoint list to all nodes.
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
