package ownership

import (
	"fmt"
	"time"
)

// runWithFaults runs a fleet under faults and changes, up to the first violation.
func runWithFaults(seed uint64, omitted guard) *budgetSim {
	s := newSim(seed, 3+int(seed%4)*9, omitted)
	for range 50 {
		s.runUntil(s.now + time.Duration(s.rng.Int64N(int64(1500*time.Millisecond))))
		s.injectFault(s.nodes[s.rng.IntN(len(s.nodes))])
		if s.violation != "" {
			break
		}
	}
	return s
}

// injectFault injects a random fault of a node or a random change of the fleet.
func (s *budgetSim) injectFault(n *simNode) {
	switch s.rng.IntN(9) {
	case 0:
		s.replaceOwner()
	case 1:
		s.pause(n)
	case 2:
		n.down = true
		s.schedule(time.Duration(s.rng.Int64N(int64(time.Second))), func() { s.start(n) })
	case 3:
		s.addNodes()
	case 4:
		n.extraDelay = time.Duration(s.rng.Int64N(int64(2 * simConfig.ReleaseDuration)))
		s.schedule(4*time.Second, func() { n.extraDelay = 0 })
	default:
		s.moveDemand(n)
	}
}

// pause pauses a node's process. Events for the node are deferred until the pause ends.
func (s *budgetSim) pause(n *simNode) {
	n.pausedUntil = s.now + time.Duration(s.rng.Int64N(int64(4*time.Second)))
	incarnation := n.incarnation
	s.schedule(n.pausedUntil-s.now, func() {
		if n.incarnation == incarnation && !n.down {
			deferred := n.deferred
			n.deferred = nil
			for _, do := range deferred {
				do()
			}
		}
		s.checkBudget()
	})
}

// addNodes applies a version with more nodes. All nodes act on the version before the new nodes start.
func (s *budgetSim) addNodes() {
	for range 1 + s.rng.IntN(3) {
		added := &simNode{name: fmt.Sprint("n", len(s.nodes)), clockRate: 1, demand: 1, down: true}
		s.nodes = append(s.nodes, added)
	}
	s.ownShares = append(s.ownShares, 1/float64(len(s.nodes)))
	s.epoch++
	for _, n := range s.nodes {
		if n.epoch = s.epoch; n.incarnation == 0 {
			s.start(n)
		}
	}
}

// moveDemand sets a demand of 1 at all nodes other than n, and a larger one at n.
func (s *budgetSim) moveDemand(n *simNode) {
	for _, other := range s.nodes {
		other.demand = 1
	}
	n.demand = 1 + 10*float64(len(s.nodes))*s.rng.Float64()
}
