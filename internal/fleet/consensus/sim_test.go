package consensus

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"yokestall/internal/fake/fleet"
)

// guard is a check of the protocol that a simulation can omit, to show that the simulation finds the violation that the
// check prevents.
type guard string

const (
	noGuard           guard = ""
	leaseCheck        guard = "check the lease before acting"
	leaseCheckAtUse   guard = "check the lease at each use, not by a timer"
	leaseExpiryWait   guard = "activate a version only after earlier leases have expired"
	quietPeriod       guard = "acknowledge nothing for a lease's duration after a voter's start"
	clockDriftMargin  guard = "allow for clock drift"
	leaseFromRequest  guard = "count a lease from its request, not from its grant"
	confirmAfterApply guard = "confirm a version only once it is applied"
	leaseQuorum       guard = "require grants of a quorum"
	ownerLeaseCheck   guard = "check an owner's lease before it acts"
	ownershipEndWait  guard = "transfer a task only after its former owner has ended"
	linearizableRead  guard = "confirm a read with a quorum"
	readIncarnation   guard = "tell the reads of a voter's incarnations apart"
)

// maxMessageDelay is the longest delay of a message that is still delivered.
const maxMessageDelay = 12 * time.Second

// fleetSim simulates a fleet in one goroutine, in virtual time: voters, followers and publishers, with clocks that drift,
// a network that drops, delays and duplicates messages, and processes that are paused, killed and restarted on their
// disks. All random numbers come from the seed, so that a run can be repeated.
type fleetSim struct {
	t             testing.TB
	rng           *rand.Rand
	omitted       guard
	leaseConfig   LeaseConfig
	now           time.Duration
	queue         eventQueue
	lastOrder     int // order of the event that was scheduled last
	nodes         []*simNode
	voters        []uint64
	networkFaults bool

	violations        []string
	acked             map[string]uint64        // number of each version that a voter has applied, by the version's ID
	pendingAt         map[uint64]time.Duration // time at which each version became pending; -1: it has become active
	longestActivation time.Duration            // longest time for which a version that became active was pending
	highestTokens     map[string]uint64        // highest token that an owner has acted by, by task
	highestApplied    uint64                   // index of the last entry that any voter has applied

	versions           int // versions that a voter has applied
	changes            int // changes of the versions that a node acts on
	ownershipRevisions int // ownership revisions that were confirmed
	answeredReads      int

	probeRNG     *rand.Rand    // used only by probeOwner
	ownerAnswers []fleet.Event // answers of the owners of task w0 to probeOwner
}

var simLeaseConfig = LeaseConfig{
	Duration: 1500 * time.Millisecond, MaxClockDrift: 0.1, ApplyTimeout: 100 * time.Millisecond,
}

// newSim starts a fleet that omits a guard; noGuard omits none.
func newSim(t testing.TB, seed uint64, voters, followers int, omitted guard) *fleetSim {
	s := &fleetSim{
		t:             t,
		rng:           rand.New(rand.NewPCG(seed, 39)),
		omitted:       omitted,
		leaseConfig:   simLeaseConfig,
		acked:         map[string]uint64{},
		pendingAt:     map[uint64]time.Duration{},
		highestTokens: map[string]uint64{},
		probeRNG:      rand.New(rand.NewPCG(seed, 40)),
	}
	if omitted == clockDriftMargin {
		s.leaseConfig.MaxClockDrift = 0
	}
	for i := range voters {
		s.voters = append(s.voters, uint64(i+1))
	}
	for i := range voters + followers {
		n := s.newNode(i)
		if i < voters {
			n.disk = InitialDiskState(s.voters)
		}
		s.nodes = append(s.nodes, n)
		s.start(n)
	}
	return s
}

// newNode creates a node with a random clock rate and offset.
func (s *fleetSim) newNode(i int) *simNode {
	n := &simNode{
		id:          uint64(i + 1),
		name:        fmt.Sprint("n", i+1),
		clockRate:   1 + simLeaseConfig.MaxClockDrift*(2*s.rng.Float64()-1),
		clockOffset: time.Duration(s.rng.Int64N(int64(time.Hour))),
	}
	if s.rng.IntN(3) == 0 { // the slowest or the fastest allowed clock
		n.clockRate = 1 + simLeaseConfig.MaxClockDrift*float64(2*s.rng.IntN(2)-1)
	}
	return n
}

// schedule calls do after a time.
func (s *fleetSim) schedule(in time.Duration, do func()) {
	s.lastOrder++
	heap.Push(&s.queue, simEvent{s.now + in, s.lastOrder, do})
}

// scheduleOn calls do on a node after a time, or at the end of the node's pause if it is paused then. If the node's
// process has ended by then, do is not called.
func (s *fleetSim) scheduleOn(n *simNode, in time.Duration, do func()) {
	incarnation := n.incarnation
	s.schedule(in, func() {
		if n.down || n.incarnation != incarnation {
			return
		}
		if n.pausedUntil > s.now {
			n.deferred = append(n.deferred, do)
			return
		}
		do()
		s.processReady(n)
	})
}

// send delivers a message from one node to another, unless the network loses it: do handles the message at the receiver.
func (s *fleetSim) send(from, to *simNode, do func()) {
	in := time.Millisecond + time.Duration(s.rng.Int64N(int64(8*time.Millisecond)))
	if from == to {
		s.scheduleOn(to, 0, do)
		return
	}
	if from.disconnectedUntil > s.now || to.disconnectedUntil > s.now || to.inboundCutUntil > s.now {
		return
	}
	if s.networkFaults {
		switch s.rng.IntN(40) {
		case 0:
			return
		case 1:
			s.scheduleOn(to, in+time.Duration(s.rng.Int64N(int64(maxMessageDelay))), do) // a late duplicate
		case 2:
			in += time.Duration(s.rng.Int64N(int64(3 * time.Second)))
		}
	}
	s.scheduleOn(to, in, do)
}

// publish makes a voter that is not down propose a version.
func (s *fleetSim) publish(id string, contradicts bool) {
	var up []*simNode
	for _, v := range s.voters {
		if n := s.nodes[v-1]; !n.down {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return
	}
	n := up[s.rng.IntN(len(up))]
	s.scheduleOn(n, 0, func() {
		m := &Manifest{ID: id, Base: n.voter.State().ActiveVersion, Contradicts: contradicts, Proposer: n.name,
			Parts: []Part{{Name: "a", Hash: fmt.Sprintf("%064d", 1)}}}
		if n.voter.State().CheckProposal(m) == nil {
			n.voter.Propose(&Entry{Propose: m})
		}
	})
}

// runUntil runs all events up to a time.
func (s *fleetSim) runUntil(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = until
}
