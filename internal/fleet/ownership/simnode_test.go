package ownership

import (
	"fmt"
	"time"
)

// simNode is a node of the simulation.
type simNode struct {
	name        string
	incarnation int
	clockRate   float64
	clockOffset time.Duration
	holder      *Holder
	demand      float64       // requests per second
	pausedUntil time.Duration // in true time
	extraDelay  time.Duration // of all messages to and from the node
	down        bool
	deferred    []func() // events that came during the pause
	epoch       uint64   // epoch of the node's version
}

// simOwner is a node that is, or was, the owner, with the allocator of its token.
type simOwner struct {
	node      *simNode
	allocator *Allocator
}

// clock returns what the node's clock shows at a true time.
func (n *simNode) clock(now time.Duration) time.Duration {
	return n.clockOffset + time.Duration(float64(now)*n.clockRate)
}

// start starts a node's process.
func (s *budgetSim) start(n *simNode) {
	n.incarnation++
	n.down, n.pausedUntil, n.deferred = false, 0, nil
	n.holder = NewHolder(n.clock(s.now), s.config)
	if s.omitted == releaseBeforeStarts {
		n.holder.released = nil
	}
	s.scheduleRequest(n)
}

// scheduleOn calls do on a node after a time, or at the end of the node's pause if it is paused then. If the node's
// process has ended by then, do is not called.
func (s *budgetSim) scheduleOn(n *simNode, in time.Duration, do func()) {
	incarnation := n.incarnation
	s.schedule(in, func() {
		switch {
		case n.down || n.incarnation != incarnation:
		case n.pausedUntil > s.now:
			n.deferred = append(n.deferred, do)
		default:
			do()
		}
		s.checkBudget()
	})
}

// scheduleRequest makes a node send its requests regularly, from the next RenewInterval on.
func (s *budgetSim) scheduleRequest(n *simNode) {
	interval := time.Duration(float64(s.config.RenewInterval()) / n.clockRate)
	s.scheduleOn(n, interval, func() {
		s.sendRequest(n)
		s.scheduleRequest(n)
	})
}

// sendRequest sends a node's next request to an owner, and the reply back.
func (s *budgetSim) sendRequest(n *simNode) {
	request := n.holder.NextRequest(n.clock(s.now), s.ownShares[n.epoch], n.demand)
	request.Node, request.Incarnation = n.name, fmt.Sprint(n.incarnation)
	if s.omitted == deductBeforeReply && request.Released > 0 {
		n.holder.released = n.holder.released[:len(n.holder.released)-1]
	}
	owner := s.owners[len(s.owners)-1]
	if s.rng.IntN(4) == 0 { // the node may still know an earlier owner
		owner = s.owners[s.rng.IntN(len(s.owners))]
	}
	s.send(n, owner.node, func() {
		reply := s.allocate(owner, request)
		s.send(owner.node, n, func() { s.handleReply(n, request, reply) })
	})
}

// allocate makes an owner handle a request that has arrived.
func (s *budgetSim) allocate(owner *simOwner, request LeaseRequest) LeaseReply {
	now := owner.node.clock(s.now)
	if s.omitted == releaseFromEcho {
		request.Echo.At = now
	}
	if s.omitted == duplicateCheck {
		if known := owner.allocator.nodes[request.Node]; known != nil {
			known.sequence = 0
		}
	}
	return owner.allocator.Allocate(now, request)
}

// handleReply makes a node handle the reply to a request.
func (s *budgetSim) handleReply(n *simNode, request LeaseRequest, reply LeaseReply) {
	now := n.clock(s.now)
	if s.omitted == grantFromRequest {
		if _, outstanding := n.holder.requestedAt[reply.Sequence]; outstanding {
			n.holder.requestedAt[reply.Sequence] = now
		}
	}
	if n.holder.HandleReply(now, reply) && s.omitted == deductBeforeReply && request.Released > 0 {
		end := now + s.config.onFastestClock(s.config.ReleaseDuration)
		n.holder.released = append(n.holder.released, capacityLease{request.Released, end})
	}
	s.granted += reply.Granted
}

// send delivers a message after a delay, or twice, late, or not at all.
func (s *budgetSim) send(from, to *simNode, do func()) {
	in := time.Duration(s.rng.Int64N(int64(10*time.Millisecond))) + max(from.extraDelay, to.extraDelay)
	switch s.rng.IntN(20) {
	case 0:
		return
	case 1:
		s.scheduleOn(to, in+time.Duration(s.rng.Int64N(int64(10*time.Second))), do)
	case 2:
		s.scheduleOn(to, in+time.Duration(s.rng.Int64N(int64(300*time.Millisecond))), do)
	case 3:
		in += time.Duration(s.rng.Int64N(int64(3 * time.Second)))
	}
	s.scheduleOn(to, in, do)
}
