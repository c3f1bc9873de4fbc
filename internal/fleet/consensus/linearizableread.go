package consensus

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"
)

// StartRead starts a linearizable read: it requests the commit index of the leader and returns a number for ReadDone. A
// read may get lost, as without a leader, so it has to be retried after a while.
func (v *Voter) StartRead() uint64 {
	v.readsStarted++
	v.node.ReadIndex(v.readContext())
	return v.readsStarted
}

// ReadDone reports whether State has everything that was committed anywhere when StartRead returned the number.
func (v *Voter) ReadDone(read uint64) bool {
	return v.readsAnswered >= read && v.state.Index >= v.readIndex
}

// ReadsAnswered returns the number of the latest read that the leader has answered.
func (v *Voter) ReadsAnswered() uint64 { return v.readsAnswered }

// The context of a linearizable read tells the reads of all voters apart. It is these numbers, one after the other.
const (
	readIncarnationAt = 8  // after the voter's id
	readNumberAt      = 16 // of the voter's read
)

// readContext is the context of this voter's latest read.
func (v *Voter) readContext() (context []byte) {
	for _, n := range []uint64{v.ID, v.Incarnation, v.readsStarted} {
		context = binary.BigEndian.AppendUint64(context, n)
	}
	return context
}

// answerReads records the answers to this voter's reads. Each answers the reads before it too.
func (v *Voter) answerReads(answers []raft.ReadState) {
	for _, r := range answers {
		incarnation := binary.BigEndian.Uint64(r.RequestCtx[readIncarnationAt:])
		number := binary.BigEndian.Uint64(r.RequestCtx[readNumberAt:])
		if incarnation == v.Incarnation && number > v.readsAnswered {
			v.readsAnswered, v.readIndex = number, r.Index
		}
	}
}
