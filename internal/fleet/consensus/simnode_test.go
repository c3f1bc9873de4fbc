package consensus

import (
	"fmt"
	"maps"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// simNode is a node of the simulation: a voter, or a follower, which here is a node that does not vote.
type simNode struct {
	id          uint64
	name        string
	incarnation int
	clockRate   float64 // rate of the node's clock relative to true time
	clockOffset time.Duration
	voter       *Voter
	disk        DiskState
	lease       *Lease
	active      ActiveVersions
	ownedTasks  map[string]uint64 // token by task
	// permittedAtWake is whether the lease permitted the active versions when applyDesired last ran. It is used only if
	// leaseCheckAtUse is omitted.
	permittedAtWake bool
	pendingReads    map[uint64]uint64 // highest log index that any voter had applied before each read, by read

	down              bool
	pausedUntil       time.Duration
	deferred          []func()      // events that came during the pause
	disconnectedUntil time.Duration // until then, the node is disconnected from all other nodes
	inboundCutUntil   time.Duration // until then, messages to the node are lost
}

// clock returns what the node's clock shows at a true time.
func (n *simNode) clock(now time.Duration) time.Duration {
	return n.clockOffset + time.Duration(float64(now)*n.clockRate)
}

// start starts a node's next process on its disk.
func (s *fleetSim) start(n *simNode) {
	n.incarnation++
	n.down, n.pausedUntil, n.deferred = false, 0, nil
	n.active, n.ownedTasks, n.pendingReads = ActiveVersions{}, nil, map[uint64]uint64{}
	n.lease = NewLease(s.leaseConfig, len(s.voters), s.versionFetcher())
	if s.omitted == leaseQuorum {
		n.lease.voters = 1
	}
	if int(n.id) <= len(s.voters) {
		s.startVoter(n)
	}
	s.scheduleRenewal(n)
}

// versionFetcher returns the hasVersion function of a node, for which fetching a version takes up to 400 ms.
func (s *fleetSim) versionFetcher() func(number uint64) bool {
	fetchedAt := map[uint64]time.Duration{}
	return func(number uint64) bool {
		if _, known := fetchedAt[number]; !known {
			fetchedAt[number] = s.now + time.Duration(s.rng.Int64N(int64(400*time.Millisecond)))
		}
		return s.now >= fetchedAt[number]
	}
}

func (s *fleetSim) startVoter(n *simNode) {
	v, err := NewVoter(n.clock(s.now), n.id, s.leaseConfig, n.disk)
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
	for i := range s.voters {
		v.EligibleOwners = append(v.EligibleOwners, fmt.Sprint("n", i+1))
	}
	s.scheduleTick(n)
}

// scheduleTick makes a voter tick regularly from now on. Sometimes a tick also starts a read or probes the voter.
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

// scheduleRenewal makes a node renew its lease regularly from now on.
func (s *fleetSim) scheduleRenewal(n *simNode) {
	s.scheduleOn(n, time.Duration(float64(s.leaseConfig.RenewInterval())/n.clockRate), func() {
		s.renewLease(n)
		s.applyDesired(n)
		s.scheduleRenewal(n)
	})
}

// renewLease sends a lease request to all voters.
func (s *fleetSim) renewLease(n *simNode) {
	request := n.lease.NextRequest(n.clock(s.now))
	request.Node, request.Incarnation = n.name, fmt.Sprint(n.incarnation)
	if s.omitted == confirmAfterApply && n.lease.logStatus.PendingVersion != 0 {
		request.ConfirmedEpoch = n.lease.logStatus.Epoch + 1
	}
	for _, id := range s.voters {
		to := s.nodes[id-1]
		s.send(n, to, func() { s.grantLease(n, to, request) })
	}
}

// grantLease makes a voter answer a node's lease request.
func (s *fleetSim) grantLease(n, to *simNode, request LeaseRequest) {
	grant, err := to.voter.GrantLease(to.clock(s.now), request)
	if err != nil {
		return
	}
	to.voter.AcknowledgeEpoch(to.clock(s.now))
	s.send(to, n, func() {
		if s.omitted == leaseFromRequest {
			n.lease.requestedAt[grant.Sequence] = n.clock(s.now)
		}
		n.lease.HandleGrant(grant)
	})
}

// processReady does the work that is due after a node has handled an event, and checks the result.
func (s *fleetSim) processReady(n *simNode) {
	if n.voter != nil {
		for {
			work, some := n.voter.Ready()
			if !some {
				break
			}
			s.handleReadyWork(n, work)
		}
		s.omitLeaseWaits(n.voter)
		s.confirmOwnership(n)
		s.checkReads(n)
		s.checkOwners()
	}
	s.applyDesired(n)
}

// handleReadyWork saves, sends and applies a voter's ready work.
func (s *fleetSim) handleReadyWork(n *simNode, work ReadyWork) {
	v := n.voter
	s.saveReady(n, work)
	for _, m := range work.Messages {
		s.sendMessage(n, m)
	}
	before := v.State()
	snapshot, err := v.Advance(work)
	if err != nil {
		s.t.Fatal(err)
	}
	if snapshot != nil {
		last := snapshot.GetMetadata().GetIndex()
		n.disk.Snapshot = snapshot
		n.disk.Entries = slices.DeleteFunc(n.disk.Entries, func(e *pb.Entry) bool { return e.GetIndex() <= last })
	}
	s.recordApplied(before, v.State())
	if before.LogStatus() != v.State().LogStatus() {
		n.lease.UpdateLogStatus(v.State().LogStatus())
		s.notifyNodes(n)
	}
}

// sendMessage sends a raft message.
func (s *fleetSim) sendMessage(from *simNode, m *pb.Message) {
	data, err := proto.Marshal(m)
	if err != nil {
		s.t.Fatal(err)
	}
	to := s.nodes[m.GetTo()-1]
	s.send(from, to, func() {
		received := &pb.Message{}
		if err := proto.Unmarshal(data, received); err != nil {
			s.t.Fatal(err)
		}
		to.voter.Step(received)
	})
	if m.GetType() == pb.MsgSnap {
		from.voter.SnapshotSent(m.GetTo(), true)
	}
}

// notifyNodes sends a voter's log status to all nodes.
func (s *fleetSim) notifyNodes(n *simNode) {
	v := n.voter
	for _, to := range s.nodes {
		s.send(n, to, func() {
			status := v.State().LogStatus()
			if status.Index <= to.lease.logStatus.Index {
				return
			}
			to.lease.UpdateLogStatus(status)
			s.applyDesired(to)
			s.renewLease(to)
		})
	}
}

// omitLeaseWaits removes the leases that a voter should wait for, if the simulation omits that wait.
func (s *fleetSim) omitLeaseWaits(v *Voter) {
	transfers := func(task TaskOwnership) bool { return task.TransferIndex != 0 }
	omit := s.omitted == leaseExpiryWait && v.State().PendingVersion != 0 ||
		s.omitted == ownershipEndWait && slices.ContainsFunc(slices.Collect(maps.Values(v.State().Tasks)), transfers)
	if omit {
		v.leases.holders, v.leases.quietUntil = map[process]*processLeases{}, 0
	}
}

// confirmOwnership makes a node take over the tasks of its latest ownership revision.
func (s *fleetSim) confirmOwnership(n *simNode) {
	incarnation := fmt.Sprint(n.incarnation)
	revision := n.voter.State().OwnershipRevision(n.name, incarnation)
	if revision <= n.lease.ownershipRevision {
		return
	}
	n.ownedTasks = n.voter.State().OwnedTasks(n.name, incarnation)
	n.lease.ConfirmOwnership(revision)
	s.ownershipRevisions++
	s.renewLease(n)
}

// saveReady writes the snapshot, hard state and entries of a voter's ready work to its disk.
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

// applyDesired makes a node act on the versions that its lease desires.
func (s *fleetSim) applyDesired(n *simNode) {
	now := n.clock(s.now)
	if r := n.lease.DesiredVersions(now); r.Version != 0 && r != n.active {
		n.active = r
		n.lease.ConfirmVersions(r)
		s.changes++
		s.checkContradictions(n)
		if r.PendingVersion != 0 {
			s.renewLease(n) // sends the confirmation
		}
	}
	n.permittedAtWake = n.lease.Permits(now, n.active)
}
