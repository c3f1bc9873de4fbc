package consensus

import (
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/cryptotest"
	"time"

	"github.com/anishathalye/porcupine"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"yokestall/internal/fake/fleet"
)

// A whole fleet in one thread, in virtual time: voters, followers, publishers, clocks that are fast or slow, a
// network that loses, delays, holds and repeats, processes that are stopped, killed, and start again on their disks.

// guard names a guard that is left out.
type guard string

const (
	noGuard              guard = ""
	leaseCheck           guard = "the lease is not looked at"
	leaseCheckAtUse      guard = "the lease is looked at by a timer"
	leaseExpiryWait      guard = "a version is in force at once"
	quietPeriod          guard = "a voter that starts clears at once"
	clockDriftMargin     guard = "clocks are taken to be exact"
	leaseFromRequest     guard = "a lease counts from its answer on"
	confirmAfterApplying guard = "a node confirms before it has changed over"
	leaseQuorum          guard = "one voter's promise is enough"
	ownerLeaseCheck      guard = "an owner does not look at its lease"
	ownershipEndWait     guard = "a work is given on at once"
	linearizableRead     guard = "a voter answers by what it has"
	readIncarnation      guard = "a read's answer may be an earlier life's"
)

// maxMessageDelay is how long the network may hold a message and deliver it all the same.
const maxMessageDelay = 12 * time.Second

var seedCount = flag.Int("seeds", 200, "how many TestFleetInVirtualTime plays")

type fleetSim struct {
	t                 testing.TB
	rng               *rand.Rand
	omitted           guard
	leaseConfig       LeaseConfig
	now               time.Duration
	queue             eventQueue
	lastOrder         int
	nodes             []*simNode
	voters            []uint64
	networkFaults     bool
	acked             map[string]uint64
	epochs            map[uint64]uint64 // of versions that were ever in force: number to first epoch
	violations        []string
	longestActivation time.Duration // from a version's commit to its being in force, with all well
	versions,
	changes int
	pendingAt          map[uint64]time.Duration
	ownershipRevisions int
	highestTokens      map[string]uint64 // by work: the highest that an owner acted by
	highestApplied     uint64            // the last entry that any voter has applied
	answeredReads      int               // that were answered
	probeRNG           *rand.Rand        // draws of probe alone
	ownerAnswers       []fleet.Event     // of owners of w0, by probe
}

type simNode struct {
	id                uint64
	name              string
	incarnation       int
	clockRate         float64
	clockOffset       time.Duration
	voter             *Voter
	disk              DiskState
	lease             *Lease
	active            ActiveVersions
	permittedAtWake   bool // for atWake
	ownedTasks        map[string]uint64
	down              bool
	pausedUntil       time.Duration
	disconnectedUntil time.Duration // all its links
	inboundCutUntil   time.Duration // what is sent to it is lost
	deferred          []func()
	pendingReads      map[uint64]uint64 // that wait for their answer: what was applied somewhere before
}

type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

var simLeaseConfig = LeaseConfig{Duration: 1500 * time.Millisecond, MaxClockDrift: 0.1, ApplyTimeout: 100 * time.Millisecond}

func newSim(t testing.TB, seed uint64, voters, followers int, out guard) *fleetSim {
	s := &fleetSim{t: t, rng: rand.New(rand.NewPCG(seed, 39)), omitted: out, leaseConfig: simLeaseConfig, acked: map[string]uint64{},
		epochs: map[uint64]uint64{}, pendingAt: map[uint64]time.Duration{}, highestTokens: map[string]uint64{},
		probeRNG: rand.New(rand.NewPCG(seed, 40))}
	if out == clockDriftMargin {
		s.leaseConfig.MaxClockDrift = 0
	}
	for i := range voters {
		s.voters = append(s.voters, uint64(i+1))
	}
	for i := range voters + followers {
		n := &simNode{id: uint64(i + 1), name: fmt.Sprint("n", i+1),
			clockRate: 1 + simLeaseConfig.MaxClockDrift*(2*s.rng.Float64()-1), clockOffset: time.Duration(s.rng.Int64N(int64(time.Hour)))}
		if s.rng.IntN(3) == 0 { // the ends of what is allowed
			n.clockRate = 1 + simLeaseConfig.MaxClockDrift*float64(2*s.rng.IntN(2)-1)
		}
		if i < voters {
			n.disk = InitialDiskState(s.voters)
		}
		s.nodes = append(s.nodes, n)
		s.start(n)
	}
	return s
}

func (s *fleetSim) schedule(in time.Duration, do func()) {
	s.lastOrder++
	heap.Push(&s.queue, simEvent{s.now + in, s.lastOrder, do})
}

// scheduleOn has a node do something, once it is awake, if it still lives the same life.
func (s *fleetSim) scheduleOn(n *simNode, in time.Duration, do func()) {
	life := n.incarnation
	s.schedule(in, func() {
		if n.down || n.incarnation != life {
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

func (n *simNode) clock(now time.Duration) time.Duration {
	return n.clockOffset + time.Duration(float64(now)*n.clockRate)
}

func (s *fleetSim) start(n *simNode) {
	n.incarnation++
	n.down, n.active, n.deferred, n.pausedUntil, n.ownedTasks, n.pendingReads = false, ActiveVersions{}, nil, 0, nil, map[uint64]uint64{}
	now := n.clock(s.now)
	voters := len(s.voters)
	heard := map[uint64]time.Duration{}
	n.lease = NewLease(s.leaseConfig, voters, func(number uint64) bool { // it takes a while to get it and to read it
		if _, known := heard[number]; !known {
			heard[number] = s.now + time.Duration(s.rng.Int64N(int64(400*time.Millisecond)))
		}
		return s.now >= heard[number]
	})
	if s.omitted == leaseQuorum {
		n.lease.voters = 1
	}
	if int(n.id) <= voters {
		v, err := NewVoter(now, n.id, s.leaseConfig, n.disk)
		if err != nil {
			s.t.Fatal(err)
		}
		if s.omitted == quietPeriod {
			v.leases.quietUntil = 0
		}
		n.voter = v
		if s.omitted != readIncarnation {
			v.Incarnation = uint64(n.incarnation)
		}
		for i := range 6 {
			v.Tasks = append(v.Tasks, fmt.Sprint("w", i))
		}
		for i := range voters {
			v.EligibleOwners = append(v.EligibleOwners, fmt.Sprint("n", i+1))
		}
		s.scheduleTick(n)
	}
	s.scheduleRenewal(n)
}

func (s *fleetSim) scheduleTick(n *simNode) {
	s.scheduleOn(n, time.Duration(float64(Tick)/n.clockRate), func() {
		n.voter.Tick(n.clock(s.now))
		if s.rng.IntN(10) == 0 {
			n.pendingReads[n.voter.StartRead()] = s.highestApplied
		}
		s.probeOwner(n)
		s.scheduleTick(n)
	})
}

// probeOwner has somebody ask a voter now and then whether it owns a work, over a network that takes its time.
func (s *fleetSim) probeOwner(n *simNode) {
	if s.probeRNG.IntN(5) > 0 {
		return
	}
	asked, way := s.now, func() time.Duration { return time.Duration(s.probeRNG.Int64N(int64(200 * time.Millisecond))) }
	s.scheduleOn(n, way(), func() {
		if token, owns := s.ownedTasks(n)["w0"]; owns {
			s.ownerAnswers = append(s.ownerAnswers, fleet.Event{What: fleet.Owned, Who: int(n.id), Stamp: int(token), By: asked,
				At: s.now + way()})
		}
	})
}

// checkReads holds what a voter says is all of the log against what had been applied when it was asked.
func (s *fleetSim) checkReads(n *simNode) {
	for id, upto := range n.pendingReads {
		if s.omitted != linearizableRead && !n.voter.ReadDone(id) {
			continue
		}
		if delete(n.pendingReads, id); n.voter.State().Index < upto {
			s.violations = append(s.violations, fmt.Sprintf("%v: %s says that the log ends at %d, and %d had been applied", s.now,
				n.name, n.voter.State().Index, upto))
		}
		s.answeredReads++
	}
}

func (s *fleetSim) scheduleRenewal(n *simNode) {
	s.scheduleOn(n, time.Duration(float64(s.leaseConfig.RenewInterval())/n.clockRate), func() {
		s.renewLease(n)
		s.applyDesired(n)
		s.scheduleRenewal(n)
	})
}

func (s *fleetSim) renewLease(n *simNode) {
	a := n.lease.NextRequest(n.clock(s.now))
	a.Node, a.Incarnation = n.name, fmt.Sprint(n.incarnation)
	if s.omitted == confirmAfterApplying && n.lease.logStatus.PendingVersion != 0 {
		a.ConfirmedEpoch = n.lease.logStatus.Epoch + 1
	}
	for _, id := range s.voters {
		to := s.nodes[id-1]
		s.send(n, to, func() {
			g, err := to.voter.GrantLease(to.clock(s.now), a)
			if err == nil {
				to.voter.AcknowledgeEpoch(to.clock(s.now))
				s.send(to, n, func() {
					if s.omitted == leaseFromRequest {
						n.lease.requestedAt[g.Sequence] = n.clock(s.now)
					}
					n.lease.HandleGrant(g)
				})
			}
		})
	}
}

// send carries something from node to node as the network is.
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
			s.scheduleOn(to, in+time.Duration(s.rng.Int64N(int64(maxMessageDelay))), do) // twice, the second time late
		case 2:
			in += time.Duration(s.rng.Int64N(int64(3 * time.Second)))
		}
	}
	s.scheduleOn(to, in, do)
}

// processReady does what a node's state asks for once something has happened to it.
func (s *fleetSim) processReady(n *simNode) {
	if v := n.voter; v != nil {
		for {
			w, some := v.Ready()
			if !some {
				break
			}
			s.saveReady(n, w)
			for _, m := range w.Messages {
				to := s.nodes[m.GetTo()-1]
				data, err := proto.Marshal(m)
				if err != nil {
					s.t.Fatal(err)
				}
				s.send(n, to, func() {
					got := &pb.Message{}
					if err := proto.Unmarshal(data, got); err != nil {
						s.t.Fatal(err)
					}
					to.voter.Step(got)
				})
				if m.GetType() == pb.MsgSnap {
					v.SnapshotSent(m.GetTo(), true)
				}
			}
			before := v.State()
			snap, err := v.Advance(w)
			if err != nil {
				s.t.Fatal(err)
			}
			if snap != nil {
				n.disk.Snapshot = snap
				n.disk.Entries = slices.DeleteFunc(n.disk.Entries,
					func(e *pb.Entry) bool { return e.GetIndex() <= snap.GetMetadata().GetIndex() })
			}
			s.recordApplied(before, v.State())
			if before.LogStatus() != v.State().LogStatus() {
				n.lease.UpdateLogStatus(v.State().LogStatus())
				for _, to := range s.nodes { // who is connected hears of it
					s.send(n, to, func() {
						if f := v.State().LogStatus(); f.Index > to.lease.logStatus.Index {
							to.lease.UpdateLogStatus(f)
							s.applyDesired(to)
							s.renewLease(to)
						}
					})
				}
			}
		}
		if s.omitted == ownershipEndWait && slices.ContainsFunc(slices.Collect(maps.Values(v.State().Tasks)),
			func(w TaskOwnership) bool { return w.TransferIndex != 0 }) {
			v.leases.holders, v.leases.quietUntil = map[process]*processLeases{}, 0
		}
		if set := v.State().OwnershipRevision(n.name, fmt.Sprint(n.incarnation)); set > n.lease.ownershipRevision {
			n.ownedTasks = v.State().OwnedTasks(n.name, fmt.Sprint(n.incarnation))
			n.lease.ConfirmOwnership(set)
			s.ownershipRevisions++
			s.renewLease(n)
		}
		s.checkReads(n)
		s.checkOwners()
		if s.omitted == leaseExpiryWait && v.State().PendingVersion != 0 {
			v.leases.holders, v.leases.quietUntil = map[process]*processLeases{}, 0
		}
	}
	s.applyDesired(n)
}

// recordApplied books what a voter has newly applied.
func (s *fleetSim) recordApplied(before, now *State) {
	s.highestApplied = max(s.highestApplied, now.Index)
	for _, m := range now.History {
		if before.Version(m.Number) == nil {
			if was, known := s.acked[m.ID]; known && was != m.Number {
				s.violations = append(s.violations, fmt.Sprintf("%s is version %d and %d", m.ID, was, m.Number))
			}
			if s.acked[m.ID] == 0 {
				s.versions++
			}
			s.acked[m.ID] = m.Number
		}
	}
	if p := now.PendingVersion; p != 0 && s.pendingAt[p] == 0 {
		s.pendingAt[p] = s.now
	}
	if p := before.PendingVersion; p != 0 && now.ActiveVersion == p && s.pendingAt[p] > 0 {
		s.longestActivation = max(s.longestActivation, s.now-s.pendingAt[p])
		s.pendingAt[p] = -1
	}
}

func (s *fleetSim) saveReady(n *simNode, w ReadyWork) {
	if w.Snapshot != nil {
		n.disk.Snapshot, n.disk.Entries = w.Snapshot, nil
	}
	if w.HardState != nil {
		n.disk.HardState = w.HardState
	}
	if len(w.Entries) > 0 {
		first := w.Entries[0].GetIndex()
		n.disk.Entries = slices.DeleteFunc(slices.Clone(n.disk.Entries),
			func(e *pb.Entry) bool { return e.GetIndex() >= first })
		n.disk.Entries = append(n.disk.Entries, w.Entries...)
	}
}

// applyDesired has a node change over to what it should act on.
func (s *fleetSim) applyDesired(n *simNode) {
	now := n.clock(s.now)
	if r := n.lease.DesiredVersions(now); r.Version != 0 && r != n.active {
		n.active = r
		n.lease.ConfirmVersions(r)
		s.changes++
		s.checkContradictions(n)
		if r.PendingVersion != 0 {
			s.renewLease(n) // confirms
		}
	}
	n.permittedAtWake = n.lease.Permits(now, n.active)
}

// activeVersions gives what a node activeVersions on at this moment.
func (s *fleetSim) activeVersions(n *simNode) ActiveVersions {
	switch {
	case n.down || n.pausedUntil > s.now:
		return ActiveVersions{}
	case s.omitted == leaseCheck:
		return n.active
	case s.omitted == leaseCheckAtUse && n.permittedAtWake || n.lease.Permits(n.clock(s.now), n.active):
		return n.active
	}
	return ActiveVersions{}
}

// ownedTasks gives the works that a node acts as the owner of at this moment.
func (s *fleetSim) ownedTasks(n *simNode) map[string]uint64 {
	if n.down || n.pausedUntil > s.now || len(n.ownedTasks) == 0 ||
		s.omitted != ownerLeaseCheck && !n.lease.PermitsOwnership(n.clock(s.now)) {
		return nil
	}
	return n.ownedTasks
}

// checkOwners looks for two owners of one work at one moment, and for an owner by a token that was passed.
func (s *fleetSim) checkOwners() {
	owner := map[string]*simNode{}
	for _, id := range s.voters {
		n := s.nodes[id-1]
		for work, token := range s.ownedTasks(n) {
			if other := owner[work]; other != nil {
				s.violations = append(s.violations, fmt.Sprintf("%v: %s is owned by %s and %s", s.now, work, other.name, n.name))
			}
			if owner[work] = n; token < s.highestTokens[work] {
				s.violations = append(s.violations, fmt.Sprintf("%v: %s owns %s by token %d after %d", s.now, n.name, work, token,
					s.highestTokens[work]))
			}
			s.highestTokens[work] = max(s.highestTokens[work], token)
		}
	}
}

// checkContradictions holds what a node acts on against all others: from the epochs alone, by the table in contradict.go.
func (s *fleetSim) checkContradictions(n *simNode) {
	a := s.activeVersions(n)
	if a.Version == 0 {
		return
	}
	for _, other := range s.nodes {
		b := s.activeVersions(other)
		if other == n || b.Version == 0 || a.Version == b.Version ||
			a.PendingVersion != 0 && a.PendingVersion == b.Version || b.PendingVersion != 0 && b.PendingVersion == a.Version {
			continue
		}
		if a.Epoch == b.Epoch || a.PendingVersion != 0 && b.Epoch == a.Epoch-1 ||
			b.PendingVersion != 0 && a.Epoch == b.Epoch-1 {
			continue
		}
		if a.PendingVersion != 0 && b.PendingVersion != 0 &&
			(a.Version == b.PendingVersion || b.Version == a.PendingVersion) {
			continue
		}
		s.violations = append(s.violations, fmt.Sprintf("%v: %s acts on %v, %s on %v", s.now, n.name, a, other.name, b))
	}
}

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

func (s *fleetSim) runUntil(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// injectFault has one fault befall the fleet.
func (s *fleetSim) injectFault() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	length := 50*time.Millisecond + time.Duration(s.rng.Int64N(int64(5*time.Second)))
	switch s.rng.IntN(6) {
	case 0: // stopped where it stands
		if n.down || n.pausedUntil > s.now {
			return
		}
		n.pausedUntil = s.now + length
		life := n.incarnation
		s.schedule(length, func() {
			if n.incarnation != life || n.down {
				return
			}
			n.pausedUntil = 0
			s.checkOwners()
			s.checkContradictions(n) // before it has done anything
			late := n.deferred
			n.deferred = nil
			for _, do := range late {
				do()
				s.processReady(n)
			}
		})
	case 1: // killed, and started on its disk
		if n.down {
			return
		}
		n.down = true
		s.schedule(length/4, func() { s.start(n) })
	case 2:
		n.disconnectedUntil = s.now + length
	case 3:
		n.inboundCutUntil = s.now + length
	case 4: // all voters lose power, and one node hears nothing of it
		n.disconnectedUntil = s.now + length
		for _, id := range s.voters {
			if v := s.nodes[id-1]; !v.down && v != n {
				v.down = true
				s.schedule(length/50, func() { s.start(v) })
			}
		}
	case 5: // half of them from the others
		for _, other := range s.nodes {
			if s.rng.IntN(2) == 0 {
				other.disconnectedUntil = s.now + length
			}
		}
	}
}

// playWithFaults runs a fleet under faults, and lets it heal.
func playWithFaults(t testing.TB, seed uint64, voters, followers int, out guard) *fleetSim {
	s := newSim(t, seed, voters, followers, out)
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

// checkHealed checks what must hold once all is well again: one history at all voters, with everything that was
// acknowledged, and all nodes on its last version.
func (s *fleetSim) checkHealed() {
	first := s.nodes[0].voter.State()
	for _, id := range s.voters[1:] {
		if other := s.nodes[id-1].voter.State(); !reflect.DeepEqual(first, other) {
			s.violations = append(s.violations, fmt.Sprintf("voters 1 and %d differ: %+v, %+v", id, first, other))
		}
	}
	for id, number := range s.acked {
		if m := first.Version(number); (m == nil || m.ID != id) &&
			number >= first.History[0].Number { // older ones are trimmed
			s.violations = append(s.violations, fmt.Sprintf("version %d, %s, was acknowledged and is gone", number, id))
		}
	}
	if first.PendingVersion != 0 {
		s.violations = append(s.violations, fmt.Sprintf("version %d still waits", first.PendingVersion))
	}
	for _, work := range s.nodes[0].voter.Tasks {
		owners := 0
		for _, id := range s.voters {
			if _, owns := s.ownedTasks(s.nodes[id-1])[work]; owns {
				owners++
			}
		}
		if owners != 1 {
			s.violations = append(s.violations, fmt.Sprintf("%s has %d owners", work, owners))
		}
	}
	for _, n := range s.nodes {
		if a := s.activeVersions(n); a.Version != first.ActiveVersion || a.PendingVersion != 0 {
			s.violations = append(s.violations, fmt.Sprintf("%s acts on %v, not on %d", n.name, a, first.ActiveVersion))
		}
	}
}

// No two nodes act on versions that contradict, no version is lost, and there is one history, whatever befalls them.
func TestFleetInVirtualTime(t *testing.T) {
	seeds := *seedCount
	if testing.Short() || raced { // the whole number is played without the detector
		seeds = min(seeds, 8)
	}
	versions, changes, takeovers, reads := 0, 0, 0, 0
	for seed := range uint64(seeds) {
		cryptotest.SetGlobalRandom(t, seed)
		s := playWithFaults(t, seed, 3+2*int(seed%3), int(seed%5), noGuard)
		s.checkHealed()
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %d findings, first: %s", seed, len(s.violations), s.violations[0])
		}
		versions, changes, takeovers, reads = versions+s.versions, changes+s.changes, takeovers+s.ownershipRevisions, reads+s.answeredReads
	}
	if versions < seeds || changes < 4*seeds || takeovers < 4*seeds || reads < 100*seeds {
		t.Errorf("%d versions, %d changes, %d ownership revisions, %d reads: too few to say anything", versions, changes,
			takeovers, reads)
	}
	t.Logf("%d seeds: %d versions, %d changes of a node's rules, no contradiction; "+
		"%d ownership revisions confirmed, never two owners; %d reads, none of a stale log",
		seeds, versions, changes, takeovers, reads)
}

// Each guard that is left out is found by the same runs.
func TestGuardsInVirtualTime(t *testing.T) {
	if raced {
		t.Skip("played without the race detector")
	}
	for _, out := range []guard{leaseCheck, leaseCheckAtUse, leaseExpiryWait, quietPeriod, clockDriftMargin, leaseFromRequest, confirmAfterApplying, leaseQuorum,
		ownerLeaseCheck, ownershipEndWait, linearizableRead, readIncarnation} {
		t.Run(string(out), func(t *testing.T) {
			for seed := range uint64(400) {
				cryptotest.SetGlobalRandom(t, seed)
				if s := playWithFaults(t, seed, 3+2*int(seed%3), int(seed%5), out); len(s.violations) > 0 {
					t.Logf("seed %d: %s", seed, s.violations[0])
					return
				}
			}
			t.Error("not found in 400 seeds")
		})
	}
}

// What owners answered, each asked and heard over a network that takes its time, has one order in which each owner
// follows the one before it by a higher token; with the owner's look at its lease taken out it has none. The checker
// knows nothing of the program.
func TestOwnersHaveOneOrder(t *testing.T) {
	if raced {
		t.Skip("played without the race detector")
	}
	seeds, answers := uint64(40), 0
	for seed := range seeds {
		cryptotest.SetGlobalRandom(t, seed)
		n, found := fleet.CheckOwners(playWithFaults(t, seed, 3+2*int(seed%3), int(seed%5), noGuard).ownerAnswers)
		if len(found) > 0 {
			t.Fatalf("seed %d: %v", seed, found)
		}
		answers += n
	}
	if answers < 100*int(seeds) {
		t.Errorf("%d answers: too few to say anything", answers)
	}
	t.Logf("%d answers over %d seeds", answers, seeds)
	for seed := range uint64(400) {
		cryptotest.SetGlobalRandom(t, seed)
		if _, found := fleet.CheckOwners(playWithFaults(t, seed, 3+2*int(seed%3), int(seed%5), ownerLeaseCheck).ownerAnswers); len(found) > 0 {
			if !strings.Contains(found[0].Rule, string(porcupine.Illegal)) {
				t.Fatalf("seed %d: %v", seed, found[0])
			}
			t.Logf("with the look taken out, seed %d: %v", seed, found[0])
			return
		}
	}
	t.Error("not found in 400 seeds with the look taken out")
}
