package consensus

import (
	"fmt"
	"testing"
	"time"
)

// injectFault injects a random fault: a pause, a kill, a disconnected node, lost inbound messages, a power failure of the
// voters, or the disconnection of about half of the nodes.
func (s *fleetSim) injectFault() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	length := 50*time.Millisecond + time.Duration(s.rng.Int64N(int64(5*time.Second)))
	switch s.rng.IntN(6) {
	case 0: // pause the process
		if n.down || n.pausedUntil > s.now {
			return
		}
		n.pausedUntil = s.now + length
		incarnation := n.incarnation
		s.schedule(length, func() {
			if n.incarnation != incarnation || n.down {
				return
			}
			n.pausedUntil = 0
			s.checkOwners()
			s.checkContradictions(n) // before the node has handled any event
			deferred := n.deferred
			n.deferred = nil
			for _, do := range deferred {
				do()
				s.processReady(n)
			}
		})
	case 1: // kill the process, and restart it on its disk
		if n.down {
			return
		}
		n.down = true
		s.schedule(length/4, func() { s.start(n) })
	case 2:
		n.disconnectedUntil = s.now + length
	case 3:
		n.inboundCutUntil = s.now + length
	case 4: // one node is disconnected, and all other voters lose power
		n.disconnectedUntil = s.now + length
		for _, id := range s.voters {
			if v := s.nodes[id-1]; !v.down && v != n {
				v.down = true
				s.schedule(length/50, func() { s.start(v) })
			}
		}
	case 5: // disconnect each node with a probability of one half
		for _, other := range s.nodes {
			if s.rng.IntN(2) == 0 {
				other.disconnectedUntil = s.now + length
			}
		}
	}
}

// runWithFaults runs a fleet under faults, and then for a while without faults. It stops at the first violation under
// faults.
func runWithFaults(t testing.TB, seed uint64, voters, followers int, omitted guard) *fleetSim {
	s := newSim(t, seed, voters, followers, omitted)
	s.runUntil(2 * time.Second)
	s.networkFaults = true
	for i := range 40 {
		s.publish(fmt.Sprint("v", i), s.rng.IntN(4) > 0)
		for range s.rng.IntN(3) {
			s.injectFault()
		}
		s.runUntil(s.now + time.Duration(s.rng.Int64N(int64(1500*time.Millisecond))))
		if len(s.violations) > 0 {
			return s
		}
	}
	s.networkFaults = false
	s.runUntil(s.now + maxMessageDelay + 5*time.Second)
	return s
}
