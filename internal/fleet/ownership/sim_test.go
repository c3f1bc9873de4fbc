package ownership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// guard is a check of the protocol that a simulation can omit, to show that the simulation finds the violation that the
// check prevents.
type guard string

const (
	noGuard             guard = ""
	deductBeforeReply   guard = "deduct a release when it is requested, not when it is answered"
	releaseFromEcho     guard = "count a release from the moment that its request echoes, not from its arrival"
	grantFromRequest    guard = "count a grant from its request, not from its arrival"
	clockDriftMargin    guard = "allow for clock drift"
	duplicateCheck      guard = "ignore a request that arrives again"
	releaseBeforeStarts guard = "assume after a start that all of the own share was released before"
)

var simConfig = LeaseConfig{ReleaseDuration: 2 * time.Second, MaxClockDrift: 0.1}

// budgetSim simulates a fleet with capacity leases in one goroutine, in virtual time: clocks that drift, a network that
// drops, delays and duplicates messages, nodes that are paused and restarted, owners that go on although they are
// replaced, and versions that change the number of nodes. All random numbers come from the seed, so that a run can be
// repeated.
type budgetSim struct {
	rng       *rand.Rand
	omitted   guard
	config    LeaseConfig
	now       time.Duration
	queue     eventQueue
	lastOrder int // order of the event that was scheduled last
	nodes     []*simNode
	owners    []*simOwner // ascending by token
	ownShares []float64   // share of each node without any lease, by epoch
	epoch     uint64      // epoch of the nodes' version

	violation    string  // first violation; empty: none
	granted      float64 // sum of all grants in replies that arrived, in budgets
	largestShare float64 // largest share that a node could use, as a multiple of its own share
}

// newSim starts a fleet that omits a guard; noGuard omits none.
func newSim(seed uint64, nodes int, omitted guard) *budgetSim {
	s := &budgetSim{
		rng:       rand.New(rand.NewPCG(40, seed)),
		omitted:   omitted,
		config:    simConfig,
		ownShares: []float64{1 / float64(nodes)},
	}
	if omitted == clockDriftMargin {
		s.config.MaxClockDrift = 0
	}
	for i := range nodes {
		n := &simNode{
			name:        fmt.Sprint("n", i),
			clockRate:   1 + simConfig.MaxClockDrift*float64(s.rng.IntN(3)-1),
			clockOffset: time.Duration(s.rng.Int64N(int64(time.Hour))),
			demand:      1,
		}
		s.nodes = append(s.nodes, n)
		s.start(n)
	}
	s.replaceOwner()
	return s
}

// replaceOwner makes a random node the owner, with a higher token. Earlier owners go on replying.
func (s *budgetSim) replaceOwner() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	s.owners = append(s.owners, &simOwner{n, NewAllocator(uint64(len(s.owners)+1), s.config)})
}

// schedule calls do after a time.
func (s *budgetSim) schedule(in time.Duration, do func()) {
	s.lastOrder++
	heap.Push(&s.queue, simEvent{s.now + in, s.lastOrder, do})
}

// runUntil runs all events up to a time, or up to the first violation.
func (s *budgetSim) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end && s.violation == "" {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// checkBudget checks that the shares that all nodes may use at this moment do not exceed the budget. Nodes that are down
// or paused use nothing.
func (s *budgetSim) checkBudget() {
	sum := 0.0
	for _, n := range s.nodes {
		if n.down || n.pausedUntil > s.now {
			continue
		}
		usable := n.holder.Usable(n.clock(s.now), n.clock(s.now), s.ownShares[n.epoch])
		s.largestShare = max(s.largestShare, usable/s.ownShares[n.epoch])
		sum += usable
	}
	if sum > 1+1e-9 && s.violation == "" {
		s.violation = fmt.Sprintf("%v: nodes may use %.6f of the budget, at most 1 is allowed", s.now, sum)
	}
}
