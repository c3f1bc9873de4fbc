package consensus

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"
)

// StartRead starts a linearizable read: it requests the leader's commit index and returns a number for ReadDone. A read
// may get lost, for example when there is no leader, so callers have to retry it after a while.
func (v *Voter) StartRead() uint64 {
	v.readsStarted++
	v.node.ReadIndex(v.readContext())
	return v.readsStarted
}

// ReadDone reports whether State includes every entry that was committed when StartRead returned the number.
func (v *Voter) ReadDone(read uint64) bool {
	return v.readsAnswered >= read && v.state.Index >= v.readIndex
}

// ReadsAnswered returns the number of the latest read that the leader has answered.
func (v *Voter) ReadsAnswered() uint64 { return v.readsAnswered }

// Byte offsets in the context of a linearizable read, which tells the reads of all voters apart. The context is the
// voter's id, its incarnation and the number of the read, each a big-endian 64-bit integer.
const (
	readIncarnationAt = 8
	readNumberAt      = 16
)

// readContext returns the context of this voter's latest read.
func (v *Voter) readContext() (context []byte) {
	for _, n := range []uint64{v.ID, v.Incarnation, v.readsStarted} {
		context = binary.BigEndian.AppendUint64(context, n)
	}
	return context
}

// answerReads records the leader's answers to this voter's reads. An answer to a read also answers all earlier reads.
func (v *Voter) answerReads(answers []raft.ReadState) {
	for _, r := range answers {
		incarnation := binary.BigEndian.Uint64(r.RequestCtx[readIncarnationAt:])
		number := binary.BigEndian.Uint64(r.RequestCtx[readNumberAt:])
		if incarnation == v.Incarnation && number > v.readsAnswered {
			v.readsAnswered, v.readIndex = number, r.Index
		}
	}
}
