package fleetsim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yokestall/policy"
)

const tenth = 100 * time.Millisecond

// front is the node that a client comes to: one that is up; nil: there is none.
func (s *sim) front() *node {
	if s.day.FirstNodeShare > 0 && s.rng.Float64() < s.day.FirstNodeShare && !s.nodes[0].down {
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
	n.starts++
	n.down, n.tries, n.after = false, map[policy.RequestID]*try{}, nil
	if n.decider, err = n.with(n.set, (n.seed*1000+uint64(n.set.NodeIndex))+(n.starts-1)<<32, n); err != nil {
		return err
	}
	n.tell(func() { n.decider.UpdateEndpoints(n.now, policy.FullUpdate, n.list()) })
	n.startLending()
	return nil
}

// knowing is a Decider that hands on what it knows; *policy.Balancer is one.
type knowing interface {
	Snapshot(now time.Duration) policy.Snapshot
	Restore(now time.Duration, k policy.Snapshot, age time.Duration)
}

var _ knowing = (*policy.Balancer)(nil)

// inherit has a node that has started take up what it knew when it died.
func (n *node) inherit() {
	if d, ok := n.decider.(knowing); ok && n.knew != nil {
		n.tell(func() { d.Restore(n.now, *n.knew, n.now-n.diedAt) })
	}
}

// die ends a node: its clients see their connections break; what it has out at servers runs on, unheard.
func (n *node) die() {
	if d, ok := n.decider.(knowing); ok {
		k := d.Snapshot(n.now)
		n.knew, n.diedAt = &k, n.now
	}
	n.down = true
	lost := slices.SortedFunc(maps.Values(n.tries), func(x, y *try) int { return cmp.Compare(x.id, y.id) })
	n.tries = nil
	for _, t := range lost {
		t.lost = true
		if !t.answered {
			n.unanswered(t.call)
		}
	}
}

// unanswered is a client whose try ended with no answer.
func (s *sim) unanswered(k *call) {
	if k.done {
		return
	}
	if k.left > 0 && s.day.Classes[k.class].Idempotency != policy.NotIdempotent {
		s.again(k, 0)
		return
	}
	k.done = true
	s.result.Classes[k.class].Failed++
}

// again has a client try once more, after its own wait, or a longer one that it was told and heeds.
func (s *sim) again(k *call, told time.Duration) {
	c := &s.day.Clients
	k.left--
	wait := c.Backoff
	if s.rng.Float64() < c.HonorRetryAfter {
		wait = max(wait, told)
	}
	at := s.now + wait
	if c.AlignTo > 0 {
		at = (at + c.AlignTo - 1).Truncate(c.AlignTo)
	}
	s.post(event{at: at + s.delay(), kind: evTry, call: k})
}
