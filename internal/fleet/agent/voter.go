package agent

import (
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/fleet/consensus"
)

// errNotVoter is returned by a node that does not vote at present, for calls that only a voter serves. A node that votes
// returns it for a raft message that is addressed to another voter, or that does not come from another voter of the fleet.
var errNotVoter = status.Error(codes.FailedPrecondition, "this node is not a voter at present")

// runVoter waits until other voters have admitted this node's voter, and starts the goroutines that run it.
func (n *Node) runVoter() {
	if !n.waitForAdmission() {
		return
	}
	for id, queue := range n.outbox {
		n.background.Go(func() { n.sendRaftMessages(n.conns[id], queue) })
	}
	n.background.Go(n.runTicker)
	n.background.Go(n.renewOwnLease)
	n.background.Go(n.runReleases)
}

// runTicker calls the voter's Tick method every consensus.Tick until the node stops.
func (n *Node) runTicker() {
	t := time.NewTicker(consensus.Tick)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
			n.withVoter(func(v *consensus.Voter) error { v.Tick(n.Clock()); return nil })
		}
	}
}

// isVoter reports whether this node votes at present.
func (n *Node) isVoter() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.voter != nil
}

// state returns the state of the log as far as this node has applied it; nil on a node that does not vote.
func (n *Node) state() *consensus.State {
	s, _ := n.stateAndChange()
	return s
}

// stateAndChange returns the state, as the method state does, and a channel that is closed when the state changes or the
// node stops voting.
func (n *Node) stateAndChange() (*consensus.State, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.voter == nil {
		return nil, n.stateChanged
	}
	return n.voter.State(), n.stateChanged
}

// withVoter calls do with the voter while n.mu is held, and then does the work that the voter has ready. It returns
// errNotVoter on a node that does not vote.
func (n *Node) withVoter(do func(v *consensus.Voter) error) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.voter == nil {
		return errNotVoter
	}
	if err := do(n.voter); err != nil {
		return err
	}
	return n.processReady()
}

// processReady does all the work that the voter has ready; n.mu is held. After a failed write the node stops voting,
// since votes that it cast and log entries that it acknowledged may not be on the disk.
func (n *Node) processReady() error {
	before, reads := n.voter.State().LogStatus(), n.voter.ReadsAnswered()
	for {
		work, ready := n.voter.Ready()
		if !ready {
			break
		}
		if err := n.doWork(work); err != nil {
			n.stopVoting(err)
			return err
		}
	}
	if after := n.voter.State(); after.LogStatus() != before || n.voter.ReadsAnswered() != reads {
		n.notifyStateChanged()
	}
	return nil
}

// doWork saves the voter's state and log entries, sends its messages, and applies committed entries; n.mu is held.
func (n *Node) doWork(work consensus.ReadyWork) error {
	if err := n.store.Save(work); err != nil {
		return err
	}
	for _, m := range work.Messages {
		n.queueRaftMessage(m)
	}
	snapshot, err := n.voter.Advance(work)
	if err != nil || snapshot == nil {
		return err
	}
	return n.compactLog(snapshot)
}

// notifyStateChanged wakes all goroutines that wait for a change of the state; n.mu is held.
func (n *Node) notifyStateChanged() {
	close(n.stateChanged)
	n.stateChanged = make(chan struct{})
}

// stopVoting makes the node a non-voter until the process is restarted; n.mu is held.
func (n *Node) stopVoting(err error) {
	n.votingError, n.voter, n.unadmitted = err, nil, nil
	n.Log.Error("voting stopped", "err", err)
	n.notifyStateChanged()
}

// compactLog replaces the start of the log by a snapshot, and deletes content that no version in the history refers to,
// unless it was stored within recentContentRetention; n.mu is held.
func (n *Node) compactLog(snapshot *pb.Snapshot) error {
	if err := n.store.CompactTo(snapshot); err != nil {
		return err
	}
	retained := n.voter.State().ContentHashes()
	for hash, at := range n.recentContent {
		if time.Since(at) < recentContentRetention {
			retained[hash] = 0
		} else {
			delete(n.recentContent, hash)
		}
	}
	return n.store.Sweep(retained)
}

// queueRaftMessage queues a message for another voter, or drops it if the queue is full; n.mu is held.
func (n *Node) queueRaftMessage(m *pb.Message) {
	select {
	case n.outbox[m.GetTo()] <- m:
	default:
		reportUndelivered(n.voter, m)
	}
}

// reportUndelivered reports to this node's voter that a message to another voter was not delivered.
func reportUndelivered(v *consensus.Voter, m *pb.Message) {
	v.Unreachable(m.GetTo())
	if m.GetType() == pb.MsgSnap {
		v.SnapshotSent(m.GetTo(), false)
	}
}

// handleRaftMessage handles another voter's message.
func (n *Node) handleRaftMessage(m *pb.Message) error {
	return n.withVoter(func(v *consensus.Voter) error {
		if m.GetTo() != v.ID || !slices.Contains(v.Voters(), m.GetFrom()) || m.GetFrom() == v.ID {
			return errNotVoter
		}
		v.Step(m) // an error means that the message arrived too late and was ignored
		return nil
	})
}

func (n *Node) propose(e *consensus.Entry) error {
	return n.withVoter(func(v *consensus.Voter) error { return v.Propose(e) })
}

// grantLease grants a node a lease as a voter. It then checks at once whether this voter can acknowledge the pending
// version's epoch, which the request may have made possible.
func (n *Node) grantLease(request consensus.LeaseRequest) (grant consensus.Grant, err error) {
	err = n.withVoter(func(v *consensus.Voter) error {
		if grant, err = v.GrantLease(n.Clock(), request); err != nil {
			return err
		}
		v.AcknowledgeEpoch(n.Clock())
		return nil
	})
	return grant, err
}
