package agree

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

const (
	electionTicks  = 10 // without a word from a leader, before another is elected
	heartbeatTicks = 2
	clearTicks     = 5    // until a voter says again what the log has not taken
	compactEvery   = 1000 // entries, after which the log's begin is put together
	compactKeep    = 200  // entries that a voter that is behind may still need
	maxMessage     = 1 << 20
	maxInflight    = 64
	maxUncommitted = 16 << 20 // bytes of proposals that the leader takes up
)

// Tick is how often Voter.Tick is called. A leader is missed after ten of them.
const Tick = 30 * time.Millisecond

// Stored is what a voter keeps on its disk.
type Stored struct {
	Hard     *pb.HardState
	Snapshot *pb.Snapshot
	Entries  []*pb.Entry // that follow the snapshot's
}

// First is the disk of a voter of a new fleet: all of its voters start from the same.
func First(voters []uint64) Stored {
	index, term := uint64(1), uint64(1)
	data, err := json.Marshal(&State{Index: index})
	if err != nil {
		panic(err)
	}
	return Stored{
		Hard:     &pb.HardState{Term: &term, Commit: &index},
		Snapshot: &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &pb.ConfState{Voters: voters}}},
	}
}

// Work is what a voter wants done, in this order: Hard, Entries and Snapshot are on the disk, for good, before Messages
// are sent and Voter.Done is called.
type Work struct {
	Hard     *pb.HardState
	Entries  []*pb.Entry
	Snapshot *pb.Snapshot
	Messages []*pb.Message
	ready    raft.Ready
}

// Voter is a voter of the log. It is pure: what comes and the time are given to it, what it wants done is
// taken from it. It is not safe for concurrent use.
type Voter struct {
	ID uint64
	// Life is a number that no earlier life of the voter had: what comes late for one of these is told
	// apart by it.
	Life uint64
	// Works are to have owners among Eligible.
	Works    []string
	Eligible []string

	node    *raft.RawNode
	storage *raft.MemoryStorage
	conf    *pb.ConfState
	state   *State
	desk    *Desk
	said    int // ticks since it last said that it cleared the version that waits
	saidOf  uint64
	commit  uint64
	ticks   int
	told    map[string]told

	reads    uint64 // how often Read was called
	read     uint64 // the latest of them that was answered
	readUpto uint64 // what is to be applied for it
}

// NewVoter starts a voter from its disk.
func NewVoter(now time.Duration, id uint64, t LeaseConfig, disk Stored) (*Voter, error) {
	v := &Voter{ID: id, storage: raft.NewMemoryStorage(), state: &State{}, desk: NewDesk(now, t)}
	if disk.Snapshot == nil {
		return nil, errors.New("the store has no beginning: it was not made by init")
	}
	if err := v.restore(disk.Snapshot); err != nil {
		return nil, err
	}
	if err := v.storage.Append(disk.Entries); err != nil {
		return nil, err
	}
	if disk.Hard != nil {
		if err := v.storage.SetHardState(disk.Hard); err != nil {
			return nil, err
		}
		v.commit = disk.Hard.GetCommit()
	}
	var err error
	v.node, err = raft.NewRawNode(&raft.Config{
		ID: id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: v.storage, Applied: v.state.Index,
		MaxSizePerMsg: maxMessage, MaxInflightMsgs: maxInflight, MaxUncommittedEntriesSize: maxUncommitted,
		CheckQuorum: true, PreVote: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	})
	return v, err
}

func (v *Voter) restore(s *pb.Snapshot) error {
	state := &State{}
	if err := json.Unmarshal(s.Data, state); err != nil {
		return fmt.Errorf("snapshot at %d: %w", s.GetMetadata().GetIndex(), err)
	}
	if err := v.storage.ApplySnapshot(s); err != nil {
		return err
	}
	v.state, v.conf = state, s.GetMetadata().GetConfState()
	v.state.Index = s.GetMetadata().GetIndex()
	return nil
}

// State is what the log says, as far as this voter has it. It must not be changed.
func (v *Voter) State() *State { return v.state }

// Voters gives the ids of all voters.
func (v *Voter) Voters() []uint64 { return v.conf.GetVoters() }

// Leader gives the id of the leader; 0: none is known.
func (v *Voter) Leader() uint64 { return v.node.BasicStatus().Lead }

// Term gives the present term.
func (v *Voter) Term() uint64 { return v.node.BasicStatus().HardState.GetTerm() }

// Step takes a message of another voter.
func (v *Voter) Step(m *pb.Message) error { return v.node.Step(m) }

// Unreachable says that a message to a voter was lost.
func (v *Voter) Unreachable(id uint64) { v.node.ReportUnreachable(id) }

// SnapshotSent says how the sending of a snapshot ended.
func (v *Voter) SnapshotSent(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	v.node.ReportSnapshot(id, status)
}

// Propose hands an entry to the log. nil doesn't say that it got there: State does, in time.
func (v *Voter) Propose(e *Entry) error {
	data := e.Marshal()
	if len(data) > MaxEntry {
		return fmt.Errorf("an entry of %d bytes; %d at most", len(data), MaxEntry)
	}
	return v.node.Propose(data)
}

// Read asks the leader how far the log goes at this moment, and gives a number for Seen. Without a
// leader, or where a message is lost, there is no answer: it is to be called again after a while.
func (v *Voter) Read() uint64 {
	v.reads++
	var of []byte // a leader tells the reads of all voters apart by this alone
	for _, n := range []uint64{v.ID, v.Life, v.reads} {
		of = binary.BigEndian.AppendUint64(of, n)
	}
	v.node.ReadIndex(of)
	return v.reads
}

// Seen tells whether State has all that was committed anywhere when a Read was called.
func (v *Voter) Seen(read uint64) bool { return v.read >= read && v.state.Index >= v.readUpto }

// Reads is how far reads have been answered: it grows.
func (v *Voter) Reads() uint64 { return v.read }

// Ask grants a lease, if the voter has caught up with what it knew before it started.
func (v *Voter) Ask(now time.Duration, a Ask) (Grant, error) {
	if v.state.Index < v.commit {
		return Grant{}, errors.New("the voter has not read its log yet")
	}
	return v.desk.Ask(now, v.ID, a, v.state)
}

// Nodes names who holds a lease of this voter's.
func (v *Voter) Nodes(now time.Duration) []string { return v.desk.Nodes(now) }

// Tick is called every Tick.
func (v *Voter) Tick(now time.Duration) {
	v.node.Tick()
	v.said++
	v.ticks++
	v.Clear(now)
	if v.state.Index >= v.commit {
		v.works(now)
	}
}

// Clear says that nobody whom this voter granted a lease acts on what came before the version that waits, once that is
// so; it names those that are waited for. Tick does it too; it may be called as soon as a node has confirmed.
func (v *Voter) Clear(now time.Duration) (waits []string) {
	s := v.state
	if s.Pending == 0 || v.state.Index < v.commit {
		return nil
	}
	ok, waits := v.desk.Clear(now, s.Epoch+1)
	if !ok || v.saidOf == s.Epoch+1 && v.said < clearTicks {
		return waits
	}
	if v.Propose(&Entry{Clear: &Clear{Epoch: s.Epoch + 1, Voter: v.ID}}) == nil {
		v.said, v.saidOf = 0, s.Epoch+1
	}
	return nil
}

// Ready gives what is to be done next, and whether there is anything.
func (v *Voter) Ready() (Work, bool) {
	if !v.node.HasReady() {
		return Work{}, false
	}
	r := v.node.Ready()
	w := Work{Hard: r.HardState, Entries: r.Entries, Messages: r.Messages, ready: r}
	if !raft.IsEmptySnap(r.Snapshot) {
		w.Snapshot = r.Snapshot
	}
	if w.Hard != nil && raft.IsEmptyHardState(w.Hard) {
		w.Hard = nil
	}
	return w, true
}

// Done takes note that the work is done, and applies what has been committed. The snapshot that it may return begins the log
// anew: it is to be saved in its own time, with what follows it.
func (v *Voter) Done(w Work) (*pb.Snapshot, error) {
	if w.Snapshot != nil {
		if err := v.restore(w.Snapshot); err != nil {
			return nil, err
		}
	}
	if w.Hard != nil {
		if err := v.storage.SetHardState(w.Hard); err != nil {
			return nil, err
		}
	}
	if err := v.storage.Append(w.Entries); err != nil {
		return nil, err
	}
	for _, r := range w.ready.ReadStates {
		life, n := binary.BigEndian.Uint64(r.RequestCtx[8:]), binary.BigEndian.Uint64(r.RequestCtx[16:])
		if life == v.Life && n > v.read { // each answers those before it too
			v.read, v.readUpto = n, r.Index
		}
	}
	if len(w.ready.CommittedEntries) > 0 {
		next := v.state.Clone() // those who were given the state keep theirs
		for _, e := range w.ready.CommittedEntries {
			if e.GetType() != pb.EntryNormal {
				next.Index = e.GetIndex()
				continue
			}
			if err := next.Apply(e.GetIndex(), e.Data, len(v.Voters())); err != nil {
				return nil, err
			}
		}
		v.state = next
	}
	v.node.Advance(w.ready)
	return v.compact()
}

func (v *Voter) compact() (*pb.Snapshot, error) {
	first, err := v.storage.FirstIndex()
	if err != nil || v.state.Index < first+compactEvery+compactKeep {
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
	return s, v.storage.Compact(v.state.Index - compactKeep)
}
