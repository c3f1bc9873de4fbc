package fleetsim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yokestall/policy"
)

const tenth = 100 * time.Millisecond

// pickNode is the node that a client comes to: one that is up; nil: there is none.
func (s *simulation) pickNode() *node {
	if s.scenario.FirstNodeShare > 0 && s.rng.Float64() < s.scenario.FirstNodeShare && !s.nodes[0].down {
		return s.nodes[0]
	}
	from := s.rng.IntN(len(s.nodes))
	for i := range s.nodes {
		if n := s.nodes[(from+i)%len(s.nodes)]; !n.down {
			return n
		}
	}
	return nil
}

// start starts a node, which knows the list and nothing more.
func (n *node) start() (err error) {
	n.incarnation++
	n.down, n.requests, n.deferred = false, map[policy.RequestID]*nodeRequest{}, nil
	if n.decider, err = n.newDecider(n.settings, (n.seed*1000+uint64(n.settings.NodeIndex))+(n.incarnation-1)<<32, n); err != nil {
		return err
	}
	n.callDecider(func() { n.decider.UpdateEndpoints(n.now, policy.FullUpdate, n.endpointList()) })
	n.startLeases()
	return nil
}

// snapshotter is a Decider that hands on what it knows; *policy.Balancer is one.
type snapshotter interface {
	Snapshot(now time.Duration) policy.Snapshot
	Restore(now time.Duration, k policy.Snapshot, age time.Duration)
}

var _ snapshotter = (*policy.Balancer)(nil)

// restoreSnapshot has a node that has started take up what it knew when it died.
func (n *node) restoreSnapshot() {
	if d, ok := n.decider.(snapshotter); ok && n.snapshot != nil {
		n.callDecider(func() { d.Restore(n.now, *n.snapshot, n.now-n.stoppedAt) })
	}
}

// kill ends a node: its clients see their connections break; what it has out at servers runs on, unheard.
func (n *node) kill() {
	if d, ok := n.decider.(snapshotter); ok {
		k := d.Snapshot(n.now)
		n.snapshot, n.stoppedAt = &k, n.now
	}
	n.down = true
	lost := slices.SortedFunc(maps.Values(n.requests), func(x, y *nodeRequest) int { return cmp.Compare(x.id, y.id) })
	n.requests = nil
	for _, t := range lost {
		t.lost = true
		if !t.answered {
			n.connectionLost(t.client)
		}
	}
}

// connectionLost is a client whose try ended with no answer.
func (s *simulation) connectionLost(k *clientRequest) {
	if k.finished {
		return
	}
	if k.retriesLeft > 0 && s.scenario.Classes[k.class].Idempotency != policy.NotIdempotent {
		s.scheduleRetry(k, 0)
		return
	}
	k.finished = true
	s.result.Classes[k.class].Failed++
}

// scheduleRetry has a client try once more, after its own wait, or a longer one that it was told and heeds.
func (s *simulation) scheduleRetry(k *clientRequest, told time.Duration) {
	c := &s.scenario.Clients
	k.retriesLeft--
	wait := c.Backoff
	if s.rng.Float64() < c.HonorRetryAfter {
		wait = max(wait, told)
	}
	at := s.now + wait
	if c.AlignTo > 0 {
		at = (at + c.AlignTo - 1).Truncate(c.AlignTo)
	}
	s.post(event{at: at + s.delay(), kind: evTry, client: k})
}
