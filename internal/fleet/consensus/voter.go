package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Tick is the interval at which callers have to call Voter.Tick.
const Tick = 30 * time.Millisecond

const (
	electionTicks      = 10       // ticks without a heartbeat before an election: 300 ms
	heartbeatTicks     = 2        // ticks between two heartbeats of the leader: 60 ms
	ackRetryTicks      = 5        // ticks until a voter repeats an EpochAck that is not in the log yet: 150 ms
	compactionInterval = 1000     // applied entries between two snapshots
	compactionRetained = 200      // entries before a snapshot that stay in memory for voters that lag behind
	maxMessageBytes    = 1 << 20  // bytes of entries in one raft message
	maxInflight        = 64       // unacknowledged raft messages to one voter
	maxUncommitted     = 16 << 20 // bytes of uncommitted proposals that the leader accepts
)

// DiskState is a voter's durable state.
type DiskState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry // entries after the snapshot
}

// InitialDiskState returns the durable state of each voter of a new fleet.
func InitialDiskState(voters []uint64) DiskState {
	index, term := uint64(1), uint64(1)
	data, err := json.Marshal(&State{Index: index})
	if err != nil {
		panic(err)
	}
	return DiskState{
		HardState: &pb.HardState{Term: &term, Commit: &index},
		Snapshot: &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{
			Index: &index, Term: &term, ConfState: &pb.ConfState{Voters: voters},
		}},
	}
}

// ReadyWork is what a voter needs its caller to do. HardState, Entries and Snapshot have to be durable on the disk
// before the caller sends Messages and calls Voter.Advance.
type ReadyWork struct {
	HardState *pb.HardState
	Entries   []*pb.Entry
	Snapshot  *pb.Snapshot
	Messages  []*pb.Message
	ready     raft.Ready
}

// Voter is a voter's raft node with its state machine and lease table. It does no I/O and reads no clock: messages
// and the time are passed in, and Ready returns what is to be done. It is not safe for concurrent use.
type Voter struct {
	ID uint64
	// Incarnation is a number that no earlier process of the voter had. Late replies to an earlier process are recognized
	// by it.
	Incarnation uint64
	// Tasks are the singleton tasks, and EligibleOwners the nodes that may own them.
	Tasks          []string
	EligibleOwners []string

	node            *raft.RawNode
	storage         *raft.MemoryStorage
	conf            *pb.ConfState
	state           *State
	leases          *LeaseTable
	ticksSinceAck   int                       // calls of Tick since the latest EpochAck that this voter proposed
	ackedEpoch      uint64                    // epoch of the latest EpochAck that this voter proposed
	commit          uint64                    // commit index on the disk when the voter was started
	ticks           int                       // calls of Tick
	recentProposals map[string]recentProposal // by subject: see shouldPropose

	readsStarted  uint64 // number of the latest read that StartRead started
	readsAnswered uint64 // number of the latest read that the leader answered
	readIndex     uint64 // log index that has to be applied before the latest answered read is done
}

// NewVoter starts a voter from its durable state.
func NewVoter(now time.Duration, id uint64, t LeaseConfig, disk DiskState) (*Voter, error) {
	v := &Voter{ID: id, storage: raft.NewMemoryStorage(), state: &State{}, leases: NewLeaseTable(now, t)}
	if disk.Snapshot == nil {
		return nil, errors.New("the store has no snapshot: it was not made by `yokestall fleet init`")
	}
	if err := v.restore(disk.Snapshot); err != nil {
		return nil, err
	}
	if err := v.storage.Append(disk.Entries); err != nil {
		return nil, err
	}
	if disk.HardState != nil {
		if err := v.storage.SetHardState(disk.HardState); err != nil {
			return nil, err
		}
		v.commit = disk.HardState.GetCommit()
	}
	var err error
	v.node, err = raft.NewRawNode(&raft.Config{
		ID: id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: v.storage, Applied: v.state.Index,
		MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflight, MaxUncommittedEntriesSize: maxUncommitted,
		CheckQuorum: true, PreVote: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	})
	return v, err
}

// restore replaces the state and the log in memory by a snapshot.
func (v *Voter) restore(s *pb.Snapshot) error {
	state := &State{}
	if err := json.Unmarshal(s.Data, state); err != nil {
		return fmt.Errorf("voter's snapshot at log index %d is not readable: %w", s.GetMetadata().GetIndex(), err)
	}
	if err := v.storage.ApplySnapshot(s); err != nil {
		return err
	}
	v.state, v.conf = state, s.GetMetadata().GetConfState()
	v.state.Index = s.GetMetadata().GetIndex()
	return nil
}

// State returns the state after the entries that this voter has applied. Callers must not change the result.
func (v *Voter) State() *State { return v.state }

// Voters returns the ids of all voters.
func (v *Voter) Voters() []uint64 { return v.conf.GetVoters() }

// Leader returns the id of the leader; 0 if none is known.
func (v *Voter) Leader() uint64 { return v.node.BasicStatus().Lead }

// Term returns the current raft term.
func (v *Voter) Term() uint64 { return v.node.BasicStatus().HardState.GetTerm() }

// Step handles a message of another voter.
func (v *Voter) Step(m *pb.Message) error { return v.node.Step(m) }

// Unreachable reports that a message to a voter was lost.
func (v *Voter) Unreachable(id uint64) { v.node.ReportUnreachable(id) }

// SnapshotSent reports how the sending of a snapshot ended.
func (v *Voter) SnapshotSent(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	v.node.ReportSnapshot(id, status)
}

// Propose proposes an entry. A nil error doesn't mean that the entry will be committed; once it is, State shows its
// effect.
func (v *Voter) Propose(e *Entry) error {
	data := e.Marshal()
	if len(data) > MaxEntryBytes {
		return fmt.Errorf("proposed log entry has %d bytes, at most %d are allowed", len(data), MaxEntryBytes)
	}
	return v.node.Propose(data)
}

// ErrLogNotApplied is returned by a voter that has not yet applied the entries that it knew to be committed when it was
// started.
var ErrLogNotApplied = errors.New("the voter has not yet applied the log entries committed before its start")

// GrantLease grants a lease. Until the voter has applied the entries that it knew to be committed when it was started,
// it returns ErrLogNotApplied.
func (v *Voter) GrantLease(now time.Duration, request LeaseRequest) (Grant, error) {
	if v.state.Index < v.commit {
		return Grant{}, ErrLogNotApplied
	}
	return v.leases.Grant(now, v.ID, request, v.state)
}

// LeaseHolders returns the nodes that hold a lease of this voter.
func (v *Voter) LeaseHolders(now time.Duration) []string { return v.leases.Holders(now) }

// Tick advances the voter's timers. Callers have to call it at the interval Tick.
func (v *Voter) Tick(now time.Duration) {
	v.node.Tick()
	v.ticksSinceAck++
	v.ticks++
	v.AcknowledgeEpoch(now)
	if v.state.Index >= v.commit {
		v.manageTasks(now)
	}
}

// AcknowledgeEpoch proposes this voter's EpochAck for the pending version if no lease of this voter prevents that, and
// returns the nodes whose leases do. Tick calls it too; calling it after a grant saves the time until the next Tick.
func (v *Voter) AcknowledgeEpoch(now time.Duration) (waitingFor []string) {
	s := v.state
	if s.PendingVersion == 0 || v.state.Index < v.commit {
		return nil
	}
	ok, waitingFor := v.leases.CanAcknowledge(now, s.Epoch+1)
	if !ok || v.ackedEpoch == s.Epoch+1 && v.ticksSinceAck < ackRetryTicks {
		return waitingFor
	}
	if v.Propose(&Entry{EpochAck: &EpochAck{Epoch: s.Epoch + 1, VoterID: v.ID}}) == nil {
		v.ticksSinceAck, v.ackedEpoch = 0, s.Epoch+1
	}
	return nil
}

// Ready returns what is to be done next, and whether there is anything.
func (v *Voter) Ready() (ReadyWork, bool) {
	if !v.node.HasReady() {
		return ReadyWork{}, false
	}
	r := v.node.Ready()
	w := ReadyWork{HardState: r.HardState, Entries: r.Entries, Messages: r.Messages, ready: r}
	if !raft.IsEmptySnap(r.Snapshot) {
		w.Snapshot = r.Snapshot
	}
	if w.HardState != nil && raft.IsEmptyHardState(w.HardState) {
		w.HardState = nil
	}
	return w, true
}

// Advance records that the work is done and applies the entries that were committed. If it returns a snapshot, the
// entries up to the snapshot are no longer needed, and the store may replace them by the snapshot at any later time.
func (v *Voter) Advance(w ReadyWork) (*pb.Snapshot, error) {
	if err := v.recordWork(w); err != nil {
		return nil, err
	}
	v.answerReads(w.ready.ReadStates)
	if err := v.apply(w.ready.CommittedEntries); err != nil {
		return nil, err
	}
	v.node.Advance(w.ready)
	return v.compact()
}

// recordWork adds the snapshot, hard state and entries that were written to the disk to the voter's log in memory.
func (v *Voter) recordWork(w ReadyWork) error {
	if w.Snapshot != nil {
		if err := v.restore(w.Snapshot); err != nil {
			return err
		}
	}
	if w.HardState != nil {
		if err := v.storage.SetHardState(w.HardState); err != nil {
			return err
		}
	}
	return v.storage.Append(w.Entries)
}

// apply applies committed entries to a copy of the state, since callers of State may still use the old one.
func (v *Voter) apply(entries []*pb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	next := v.state.Clone()
	for _, e := range entries {
		if e.GetType() != pb.EntryNormal {
			next.Index = e.GetIndex()
			continue
		}
		if err := next.Apply(e.GetIndex(), e.Data, len(v.Voters())); err != nil {
			return err
		}
	}
	v.state = next
	return nil
}

// compact returns a snapshot when enough entries have been applied since the last one, and drops older entries from
// memory.
func (v *Voter) compact() (*pb.Snapshot, error) {
	first, err := v.storage.FirstIndex()
	if err != nil || v.state.Index < first+compactionInterval+compactionRetained {
		return nil, err
	}
	data, err := json.Marshal(v.state)
	if err != nil {
		return nil, err
	}
	s, err := v.storage.CreateSnapshot(v.state.Index, v.conf, data)
	if err != nil {
		return nil, err
	}
	return s, v.storage.Compact(v.state.Index - compactionRetained)
}
